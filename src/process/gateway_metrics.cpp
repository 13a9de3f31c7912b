#include "process/gateway_metrics_p.h"

#include "process/log_p.h"

#include <algorithm>

namespace geraniumcart {

namespace {

void gauge(std::string &text, const std::string &name, const std::string &labels, double value)
{
    text += "geraniumcart_" + name + labels + ' ' + std::to_string(value) + '\n';
}

std::string label(const char *name, const std::string &value)
{
    // Names of services are identifiers, so nothing has to be escaped.
    return std::string("{") + name + "=\"" + value + "\"}";
}

} // namespace

std::string gatewayGauges(const ServingView &view, TimePoint now)
{
    std::string text;
    gauge(text, "configuration_version", "",
          view.routes ? static_cast<double>(view.routes->version) : 0);
    gauge(text, "view_age_seconds", "",
          std::chrono::duration<double>(now - view.publishedAt).count());
    gauge(text, "daemons", "", view.senders);
    gauge(text, "daemons_listed", "", static_cast<double>(view.entries.size()));
    gauge(text, "leaving", "", view.isLeaving ? 1 : 0);
    gauge(text, "log_lines_dropped_total", "", static_cast<double>(droppedLogLines()));
    for (const auto &[name, service] : view.services) {
        const auto suspects = std::count_if(
                service.upstreams.begin(), service.upstreams.end(),
                [now](const auto &upstream) { return now < upstream->suspectUntil(); });
        const auto cold =
                std::count_if(service.upstreams.begin(), service.upstreams.end(),
                              [now](const auto &upstream) { return upstream->isCold(now); });
        gauge(text, "searchers", label("service", name),
              static_cast<double>(service.upstreams.size()));
        gauge(text, "searchers_suspected", label("service", name), static_cast<double>(suspects));
        gauge(text, "searchers_cold", label("service", name), static_cast<double>(cold));
        gauge(text, "attempt_budget_left", label("service", name), service.budget->left());
    }
    return text;
}

} // namespace geraniumcart
