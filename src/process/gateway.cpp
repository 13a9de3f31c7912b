#include <geraniumcart/gateway.h>

#include "process/log_p.h"

#include <geraniumcart/load_shedding.h>

#include <algorithm>
#include <utility>

namespace geraniumcart {

namespace {

/// How long a caller waits for a daemon that knows no configuration yet.
constexpr std::chrono::milliseconds NotReadyRetryAfter{250};

} // namespace

namespace {

Counter counterOf(const RoutedAnswer &answer)
{
    switch (answer.status) {
    case RoutedStatus::Reply:
        return answer.reply.isSuccess() ? Counter::RoutedReplies : Counter::RoutedFailureReplies;
    case RoutedStatus::Merged:
        return answer.missingShards == 0 ? Counter::RoutedMerged : Counter::RoutedPartial;
    case RoutedStatus::NotReady:
    case RoutedStatus::Refused:
        return Counter::RoutedRefused;
    case RoutedStatus::NoRoute:
        return Counter::RoutedNoRoute;
    case RoutedStatus::Failed:
        return Counter::RoutedFailed;
    case RoutedStatus::TimedOut:
        return Counter::RoutedTimedOut;
    }
    return Counter::RoutedFailed;
}

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
        m_stats.add(counterOf(refusal));
        done(std::move(refusal));
        return 0;
    }
    const std::string_view target = request.forward->target;
    const Route *route = view->routes->match(request.host, target.substr(0, target.find('?')));
    if (!route) {
        refusal.status = RoutedStatus::NoRoute;
        m_stats.add(counterOf(refusal));
        logEvent(LogLevel::Debug, "noRoute",
                 {{"id", request.forward->id}, {"configuration", view->routes->version}});
        done(std::move(refusal));
        return 0;
    }
    RoutedRunSpec spec{m_calls, view, route, {}, request.forward, request.arrival, {}, {}};
    const auto trace = std::make_shared<RequestTrace>(request.arrival);
    spec.trace = trace;
    spec.deadline =
            request.arrival +
            std::min<Duration>(route->timeout, request.callerWaits.value_or(route->timeout));
    const std::uint64_t id = ++m_lastId;
    const auto onDone = [this, id](RoutedAnswer answer) { finish(id, std::move(answer)); };
    if (!route->isScattered())
        spec.service = pickTarget(*route);
    const Duration predicted = predictedWait(*route, spec.service, *view, m_calls.timers.now());
    std::uniform_real_distribution<double> chance(0, 1);
    if (chance(m_random) >= admittedShare(predicted, route->latencyObjective)) {
        refusal.status = RoutedStatus::Refused;
        // Spread, so that callers that were refused together do not come back together.
        refusal.retryAfter =
                std::chrono::duration_cast<Duration>(predicted * (0.5 + chance(m_random)));
        m_stats.add(Counter::Overloaded);
        logEvent(LogLevel::Info, "requestShed",
                 {{"id", request.forward->id},
                  {"route", route->name},
                  {"predictedWait", predicted},
                  {"objective", route->latencyObjective}});
        done(std::move(refusal));
        return 0;
    }
    std::shared_ptr<RoutedRun> run;
    if (route->isScattered()) {
        run = makeScatterRun(std::move(spec), onDone);
    } else {
        if (!view->find(spec.service)) {
            refusal.status = RoutedStatus::Refused;
            refusal.retryAfter = NotReadyRetryAfter;
            m_stats.add(counterOf(refusal));
            logEvent(LogLevel::Warn, "serviceUnknown",
                     {{"id", request.forward->id}, {"service", spec.service}});
            done(std::move(refusal));
            return 0;
        }
        run = makeForwardRun(std::move(spec), onDone);
    }
    m_open[id] = {run, std::move(done), std::move(request), view, route, trace};
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

void Gateway::logRequest(const Call &call, const RoutedAnswer &answer, Duration took)
{
    const TimePoint now = m_calls.timers.now();
    const bool isWhole =
            answer.status == RoutedStatus::Reply
                    ? answer.reply.isSuccess()
                    : answer.status == RoutedStatus::Merged && answer.missingShards == 0;
    const bool isInTime = took <= call.route->latencyObjective;
    if (!m_traceLog.shouldLog(now, isWhole && isInTime))
        return;
    const std::string &id = call.request.forward->id;
    for (const TraceEntry &entry : call.trace->entries())
        logEvent(LogLevel::Info, "requestStep",
                 {{"id", id},
                  {"at", entry.at},
                  {"step", toString(entry.step)},
                  {"service", entry.service},
                  {"instance", entry.instanceId},
                  {"inFlight", entry.inFlight},
                  {"latency", entry.latency},
                  {"silence", entry.silence}});
    logEvent(LogLevel::Info, "requestEnded",
             {{"id", id},
              {"route", call.route->name},
              {"configuration", call.view->routes->version},
              {"outcome", toString(answer.status)},
              {"status", answer.status == RoutedStatus::Reply ? answer.reply.status : 0},
              {"shards", call.route->shards.size()},
              {"missingShards", answer.missingShards},
              {"took", took},
              {"objective", call.route->latencyObjective},
              {"timeout", call.route->timeout},
              {"stepsOmitted", call.trace->omitted()},
              {"requestsNotLogged", m_traceLog.takeSuppressed()}});
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
    logRequest(call, answer, took);
    const std::size_t shards = call.route->shards.size();
    const double coverage = shards == 0 ? 1
                                        : 1 - static_cast<double>(answer.missingShards) /
                                                          static_cast<double>(shards);
    if (answer.status == RoutedStatus::Reply || answer.status == RoutedStatus::Merged)
        m_stats.recordRequest(call.route->host, call.route->name, took, coverage);
    m_stats.add(counterOf(answer));
    call.done(std::move(answer));
}

} // namespace geraniumcart
