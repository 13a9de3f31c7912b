#include "process/gateway_metrics_p.h"

#include "process/cold_searchers_p.h"
#include "process/event_loop_p.h"
#include "process/log_p.h"

#include <algorithm>
#include <initializer_list>
#include <utility>

namespace geraniumcart {

namespace {

void gauge(std::string &text, const std::string &name, const std::string &labels, double value)
{
    text += "geraniumcart_" + name + labels + ' ' + std::to_string(value) + '\n';
}

/// Formats metric labels. Values are service names, which are identifiers, or constants, so nothing
/// has to be escaped.
std::string labels(std::initializer_list<std::pair<const char *, std::string>> pairs)
{
    std::string text = "{";
    for (const auto &[name, value] : pairs)
        text += std::string(text.size() > 1 ? "," : "") + name + "=\"" + value + '"';
    return text + '}';
}

std::string storeCalls(const StoreCallCounts &calls, TimePoint now)
{
    std::string text;
    for (std::size_t kind = 0; kind < StoredKinds; ++kind) {
        const auto ofKind = static_cast<StoredKind>(kind);
        gauge(text, "store_objects_unreadable_total", labels({{"kind", toString(ofKind)}}),
              static_cast<double>(calls.unreadable(ofKind)));
        if (const auto era = calls.era(ofKind))
            gauge(text, "store_era", labels({{"kind", toString(ofKind)}}),
                  static_cast<double>(*era));
        if (const auto age = calls.answerAge(ofKind, now))
            gauge(text, "store_answer_age_seconds", labels({{"kind", toString(ofKind)}}),
                  std::chrono::duration<double>(*age).count());
        for (std::size_t result = 0; result < StoreCallResults; ++result) {
            const auto callResult = static_cast<StoreCallResult>(result);
            gauge(text, "store_calls_total",
                  labels({{"kind", toString(ofKind)}, {"result", toString(callResult)}}),
                  static_cast<double>(calls.value(ofKind, callResult)));
        }
    }
    return text;
}

} // namespace

std::string gatewayGauges(const ServingView &view, const GatewayHealth &health,
                          const StoreCallCounts &calls, TimePoint now)
{
    std::string text = storeCalls(calls, now);
    for (const auto &[state, count] :
         {std::pair("opening", health.links.opening), std::pair("idle", health.links.idle),
          std::pair("busy", health.links.busy)})
        gauge(text, "searcher_connections", labels({{"state", state}}), count);
    for (std::size_t i = 0; i < health.linkCounts.opened.size(); ++i)
        gauge(text, "searcher_connections_opened_total",
              labels({{"cause", toString(static_cast<OpenCause>(i))}}),
              static_cast<double>(health.linkCounts.opened[i]));
    for (std::size_t i = 0; i < health.linkCounts.closed.size(); ++i)
        gauge(text, "searcher_connections_closed_total",
              labels({{"cause", toString(static_cast<CloseCause>(i))}}),
              static_cast<double>(health.linkCounts.closed[i]));
    for (std::size_t i = 0; i < static_cast<std::size_t>(ColdCause::Count); ++i)
        gauge(text, "searchers_became_cold_total",
              labels({{"cause", toString(static_cast<ColdCause>(i))}}),
              static_cast<double>(coldSearchers(static_cast<ColdCause>(i))));
    gauge(text, "fleet_state_age_seconds", "",
          std::chrono::duration<double>(health.stateAge).count());
    gauge(text, "fleet_state_difference_seconds", "",
          std::chrono::duration<double>(health.stateDifferenceAge).count());
    gauge(text, "objects_refused_total", "", static_cast<double>(health.refusedObjects));
    gauge(text, "configuration_version", "",
          view.routes ? static_cast<double>(view.routes->version) : 0);
    gauge(text, "view_age_seconds", "",
          std::chrono::duration<double>(now - view.publishedAt).count());
    gauge(text, "daemons", "", view.senders);
    gauge(text, "daemons_listed", "", static_cast<double>(view.entries.size()));
    gauge(text, "leaving", "", view.isLeaving ? 1 : 0);
    gauge(text, "unexpected_errors_total", "", static_cast<double>(unexpectedErrors()));
    gauge(text, "log_lines_dropped_total", "", static_cast<double>(droppedLogLines()));
    for (const auto &[name, service] : view.services) {
        const auto suspects = std::count_if(
                service.upstreams.begin(), service.upstreams.end(),
                [now](const auto &upstream) { return now < upstream->suspectUntil(); });
        const auto cold =
                std::count_if(service.upstreams.begin(), service.upstreams.end(),
                              [now](const auto &upstream) { return upstream->isCold(now); });
        gauge(text, "searchers", labels({{"service", name}}),
              static_cast<double>(service.upstreams.size()));
        gauge(text, "searchers_suspected", labels({{"service", name}}),
              static_cast<double>(suspects));
        gauge(text, "searchers_cold", labels({{"service", name}}), static_cast<double>(cold));
        const auto paused = std::count_if(
                service.upstreams.begin(), service.upstreams.end(),
                [now](const auto &upstream) { return now < upstream->pausedUntil(); });
        gauge(text, "searchers_paused", labels({{"service", name}}), static_cast<double>(paused));
        const auto limited = std::count_if(
                service.upstreams.begin(), service.upstreams.end(),
                [](const auto &upstream) { return upstream->rateLimit().has_value(); });
        gauge(text, "searchers_limited", labels({{"service", name}}), static_cast<double>(limited));
        const auto leaving = std::count_if(
                service.upstreams.begin(), service.upstreams.end(),
                [](const auto &upstream) { return upstream->leavingSince().has_value(); });
        gauge(text, "searchers_leaving", labels({{"service", name}}), static_cast<double>(leaving));
        gauge(text, "attempt_budget_left", labels({{"service", name}}),
              service.budget->available());
    }
    return text;
}

} // namespace geraniumcart
