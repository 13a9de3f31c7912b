#pragma once

#include "connection/upstream_connections_p.h"

#include <geraniumcart/serving_view.h>
#include <geraniumcart/store_calls.h>
#include <geraniumcart/timer_service.h>

#include <cstdint>
#include <string>

namespace geraniumcart {

/// State of a daemon that is exported as gauges but is not part of its serving view.
struct GatewayHealth
{
    LinkStates links;
    LinkCounts linkCounts;
    /// Time since the last message from the store or from a daemon that watches it.
    Duration stateAge{};
    /// Time for which the daemon's objects have differed from those of the daemons that watch the
    /// store.
    Duration stateDifferenceAge{};
    /// Objects of the store that counted as older than those held, see FleetRelay.
    std::uint64_t refusedObjects = 0;
};

/// Formats the state of a daemon as Prometheus gauges: versions, numbers of searchers and daemons,
/// the remaining attempt budget of each service, connections by state, and calls to the store.
std::string gatewayGauges(const ServingView &view, const GatewayHealth &health,
                          const StoreCallCounts &calls, TimePoint now);

} // namespace geraniumcart
