#pragma once

#include <geraniumcart/serving_view.h>
#include <geraniumcart/timer_service.h>

#include <string>

namespace geraniumcart {

/// Gauges of what a daemon believes, as Prometheus text: versions, numbers of searchers and of
/// daemons, and what is left of each service's budget.
std::string gatewayGauges(const ServingView &view, TimePoint now);

} // namespace geraniumcart
