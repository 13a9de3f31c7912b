#pragma once

#include "connection/upstream_connections_p.h"

#include <geraniumcart/serving_view.h>
#include <geraniumcart/store_calls.h>
#include <geraniumcart/timer_service.h>

#include <string>

namespace geraniumcart {

/// What else a daemon knows of itself, beside its view.
struct GatewayHealth
{
    LinkStates links;
    /// Time since the store or a daemon that follows it was last heard.
    Duration stateAge{};
};

/// Gauges of what a daemon believes, as Prometheus text: versions, numbers of searchers and of
/// daemons, what is left of each service's budget, connections by state, and calls to the store.
std::string gatewayGauges(const ServingView &view, const GatewayHealth &health,
                          const StoreCallCounts &calls, TimePoint now);

} // namespace geraniumcart
