#pragma once

#include <geraniumcart/route_table.h>
#include <geraniumcart/serving_view.h>
#include <geraniumcart/timer_service.h>

namespace geraniumcart {

/// Time until an answer that a route calls a success can be there, judged by what this daemon sees
/// of its searchers: latency with the queueing that it contains, work under way and silence. For a
/// route over shards, as many shards may be slower as may be missing. Zero where nothing is known.
/// @param service service of a route without shards
Duration predictedWait(const Route &route, const std::string &service, const ServingView &view,
                       TimePoint now);

/// Part of the requests that is let in, 0 to 1. Answers more load than the searchers bear: beyond
/// their capacity everyone would be served late, so that what cannot be served in time is refused
/// at once and the rest is served in time. Some requests are always let in, since only answers show
/// that the load has passed.
double admittedShare(Duration predicted, Duration latencyObjective);

} // namespace geraniumcart
