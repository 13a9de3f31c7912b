#include <geraniumcart/gateway.h>

#include "process/log_p.h"

#include <algorithm>
#include <utility>

namespace geraniumcart {

namespace {

/// How long a caller waits for a daemon that knows no configuration yet.
constexpr std::chrono::milliseconds NotReadyRetryAfter{250};

} // namespace

const char *toString(RoutedStatus status)
{
    switch (status) {
    case RoutedStatus::Reply:
        return "reply";
    case RoutedStatus::Merged:
        return "merged";
    case RoutedStatus::NotReady:
        return "notReady";
    case RoutedStatus::NoRoute:
        return "noRoute";
    case RoutedStatus::Refused:
        return "refused";
    case RoutedStatus::Failed:
        return "failed";
    case RoutedStatus::TimedOut:
        return "timedOut";
    }
    return "unknown";
}

std::uint64_t Gateway::handle(RoutedRequest request, Callback done)
{
    ServingViewPin view = m_views.pin();
    RoutedAnswer refusal;
    refusal.shouldClose = view->isLeaving;
    if (!view->routes) {
        refusal.status = RoutedStatus::NotReady;
        refusal.retryAfter = NotReadyRetryAfter;
        done(std::move(refusal));
        return 0;
    }
    const std::string_view target = request.forward->target;
    const Route *route = view->routes->match(request.host, target.substr(0, target.find('?')));
    if (!route) {
        refusal.status = RoutedStatus::NoRoute;
        done(std::move(refusal));
        return 0;
    }
    RoutedRunSpec spec{m_calls, view, route, {}, request.forward, request.arrival, {}};
    spec.deadline =
            request.arrival +
            std::min<Duration>(route->timeout, request.callerWaits.value_or(route->timeout));
    const std::uint64_t id = ++m_lastId;
    const auto onDone = [this, id](RoutedAnswer answer) { finish(id, std::move(answer)); };
    std::shared_ptr<RoutedRun> run;
    if (route->isScattered()) {
        run = makeScatterRun(std::move(spec), onDone);
    } else {
        spec.service = pickTarget(*route);
        if (!view->find(spec.service)) {
            refusal.status = RoutedStatus::Refused;
            refusal.retryAfter = NotReadyRetryAfter;
            done(std::move(refusal));
            return 0;
        }
        run = makeForwardRun(std::move(spec), onDone);
    }
    m_open[id] = {run, std::move(done), std::move(request), route->name};
    m_running.fetch_add(1, std::memory_order_acq_rel);
    run->start();
    return id;
}

const std::string &Gateway::pickTarget(const Route &route)
{
    if (route.targets.size() == 1)
        return route.targets.front().service;
    // Each part collects its weight; the fullest is picked and pays for all.
    SplitState &state = m_splits[route.name];
    double total = 0;
    const RouteTarget *picked = nullptr;
    for (const RouteTarget &target : route.targets) {
        total += target.weight;
        state[target.service] += target.weight;
        if (target.weight > 0 && (!picked || state[target.service] > state[picked->service]))
            picked = &target;
    }
    if (!picked)
        picked = &route.targets.front();
    state[picked->service] -= total;
    return picked->service;
}

void Gateway::abandon(std::uint64_t id)
{
    const auto found = m_open.find(id);
    if (found == m_open.end())
        return;
    found->second.run->abandon();
    m_open.erase(found);
    m_running.fetch_sub(1, std::memory_order_acq_rel);
}

void Gateway::finish(std::uint64_t id, RoutedAnswer answer)
{
    const auto found = m_open.find(id);
    if (found == m_open.end())
        return;
    const Call call = std::move(found->second);
    m_open.erase(found);
    m_running.fetch_sub(1, std::memory_order_acq_rel);
    answer.shouldClose = m_views.pin()->isLeaving;
    const Duration took = m_calls.timers.now() - call.request.arrival;
    if (answer.status != RoutedStatus::Reply &&
        (answer.status != RoutedStatus::Merged || answer.missingShards > 0))
        logEvent(LogLevel::Info, "requestEnded",
                 {{"id", call.request.forward->id},
                  {"route", call.route},
                  {"outcome", toString(answer.status)},
                  {"missingShards", answer.missingShards},
                  {"took", took}});
    call.done(std::move(answer));
}

} // namespace geraniumcart
