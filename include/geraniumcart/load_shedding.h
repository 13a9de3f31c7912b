#pragma once

#include <geraniumcart/route_table.h>
#include <geraniumcart/serving_view.h>
#include <geraniumcart/timer_service.h>

namespace geraniumcart {

/// Estimates the time until a request can have an answer that the route counts as a success. The
/// estimate uses what this daemon observes of the searchers: latency, which includes queueing,
/// requests in flight, and the time for which requests have been unanswered. On a route over
/// shards, as many of the slowest shards are ignored as may be missing from the answer.
/// @param service service of a route without shards; unused otherwise
/// @return zero if nothing is known of the searchers
Duration predictedWait(const Route &route, const std::string &service, const ServingView &view,
                       TimePoint now);

/// Time until enough searchers that asked for a pause, or stated a rate limit, may get requests
/// again, so that a request along the route can be served. It answers the load that makes all
/// searchers of a service, or of too many shards, ask for that: callers return when there is room
/// instead of repeatedly before.
/// @param service service of a route without shards; unused otherwise
/// @return zero if no pause keeps the request from being served
Duration pauseLeft(const Route &route, const std::string &service, const ServingView &view,
                   TimePoint now);

/// Share of the requests to admit under overload, 0 to 1. Beyond the searchers' capacity all
/// requests would be answered late. Requests that cannot be served in time are therefore refused
/// immediately, so that the admitted ones are served in time. Some requests are always admitted,
/// since only their answers show that the overload has ended.
/// @param predicted result of predictedWait() for the route
double admittedShare(Duration predicted, const Route &route);

} // namespace geraniumcart
