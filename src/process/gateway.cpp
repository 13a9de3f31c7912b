#include <geraniumcart/gateway.h>

#include "process/log_p.h"

#include <geraniumcart/load_shedding.h>

#include <algorithm>
#include <utility>

namespace geraniumcart {

namespace {

/// Retry time given to a caller if the daemon has no configuration, or no searcher of the service.
constexpr std::chrono::milliseconds NotReadyRetryAfter{250};
/// Retry time given to a caller whose request arrived completely only after its deadline. It does
/// not depend on the load.
constexpr std::chrono::milliseconds LateRetryAfter{100};
/// A caller that was refused because of load retries after 0.5 to 1.5 times the predicted wait.
constexpr double MinRetryFactor = 0.5;
/// Callers that were refused until the same moment return spread over this share of their wait.
constexpr double RetrySpread = 0.5;
/// During a planned stop, a request is refused if less than this multiple of its latency objective
/// is left. A request that must not be repeated cannot be tried elsewhere once it has been sent.
constexpr int ObjectivesLeft = 1;
constexpr int ObjectivesLeftAtMostOnce = 4;
/// Maximum length of a host or path in a log line.
constexpr std::size_t MaxLoggedBytes = 120;

/// @return true if a planned stop may end a request along @p route before it is answered
bool endsTooSoon(const Route &route, const ServingView &view, TimePoint now)
{
    const int objectives =
            route.kind == RouteKind::AtMostOnce ? ObjectivesLeftAtMostOnce : ObjectivesLeft;
    return view.endsAt && now + objectives * route.latencyObjective > *view.endsAt;
}

/// @return when the timeout of the route or of the caller ends, whichever is first
TimePoint deadlineOf(const RoutedRequest &request, const Route &route)
{
    return request.arrival +
           std::min<Duration>(route.timeout, request.callerTimeout.value_or(route.timeout));
}

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

/// @return the target of @p request without its query
std::string_view pathOf(const RoutedRequest &request)
{
    const std::string_view target = request.forward->target;
    return target.substr(0, target.find('?'));
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
    Call call;
    call.view = m_views.pin();
    call.request = std::move(request);
    call.done = std::move(done);
    if (!call.view->routes)
        return refuse(call, RoutedStatus::NotReady, NotReadyRetryAfter);
    call.route = call.view->routes->match(call.request.host, pathOf(call.request));
    if (!call.route)
        return refuse(call, RoutedStatus::NoRoute, {});

    const std::string service = call.route->isScattered() ? std::string() : pickTarget(*call.route);
    if (!call.route->isScattered() && !call.view->find(service))
        return refuse(call, RoutedStatus::Refused, NotReadyRetryAfter);
    const TimePoint now = m_calls.timers.now();
    if (endsTooSoon(*call.route, *call.view, now))
        return refuse(call, RoutedStatus::Refused, NotReadyRetryAfter);
    if (now >= deadlineOf(call.request, *call.route))
        return refuse(call, RoutedStatus::Refused, LateRetryAfter);
    const Duration predicted = predictedWait(*call.route, service, *call.view, now);
    std::uniform_real_distribution<double> chance(0, 1);
    if (chance(m_random) >= admittedShare(predicted, *call.route)) {
        m_stats.add(Counter::Overloaded);
        // Randomized, so that callers that were refused together do not retry together.
        const double retryFactor = MinRetryFactor + chance(m_random);
        return refuse(call, RoutedStatus::Refused,
                      std::chrono::duration_cast<Duration>(predicted * retryFactor), predicted);
    }
    return start(std::move(call), service);
}

std::uint64_t Gateway::start(Call call, const std::string &service)
{
    const Route &route = *call.route;
    const std::uint64_t id = ++m_lastId;
    call.trace = std::make_shared<RequestTrace>(call.request.arrival);
    RoutedRunSpec spec{m_calls,
                       call.view,
                       &route,
                       service,
                       call.request.forward,
                       call.request.arrival,
                       deadlineOf(call.request, route),
                       m_answerMargin.latestEnd(call.request.arrival, route.latencyObjective,
                                                call.request.isFirstOnConnection),
                       call.trace};
    const auto onDone = [this, id](RoutedAnswer answer) { finish(id, std::move(answer)); };
    call.run = route.isScattered() ? makeScatterRun(std::move(spec), onDone)
                                   : makeForwardRun(std::move(spec), onDone);
    const std::shared_ptr<RoutedRun> run = call.run;
    m_openCalls[id] = std::move(call);
    m_running.fetch_add(1, std::memory_order_acq_rel);
    run->start();
    return id;
}

std::uint64_t Gateway::refuse(const Call &call, RoutedStatus status, Duration retryAfter,
                              Duration predicted)
{
    RoutedAnswer answer;
    answer.status = status;
    answer.retryAfter = retryAfter;
    answer.shouldClose = call.view->isLeaving;
    m_stats.add(counterOf(answer));
    if (m_traceLog.shouldLog(m_calls.timers.now(), false))
        logEvent(LogLevel::Info, "requestRefused",
                 {{"id", call.request.forward->id},
                  {"outcome", toString(status)},
                  {"route", call.route ? call.route->name : std::string()},
                  {"host", std::string_view(call.request.host).substr(0, MaxLoggedBytes)},
                  {"path", pathOf(call.request).substr(0, MaxLoggedBytes)},
                  {"configuration", call.view->routes ? call.view->routes->version : 0},
                  {"predictedWait", predicted},
                  {"objective", call.route ? call.route->latencyObjective : Duration::zero()},
                  {"retryAfter", retryAfter},
                  {"requestsNotLogged", m_traceLog.takeSuppressed()}});
    call.done(std::move(answer));
    return 0;
}

const std::string &Gateway::pickTarget(const Route &route)
{
    if (route.targets.size() == 1)
        return route.targets.front().service;
    // Smooth weighted round robin: the current weight of each target grows by its weight; the
    // target with the largest current weight is picked, and the total is subtracted from it.
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
    const auto found = m_openCalls.find(id);
    if (found == m_openCalls.end())
        return;
    found->second.run->abandon();
    m_openCalls.erase(found);
    m_running.fetch_sub(1, std::memory_order_acq_rel);
}

void Gateway::endOpenRequests()
{
    std::vector<std::shared_ptr<RoutedRun>> runs;
    for (const auto &[id, call] : m_openCalls)
        runs.push_back(call.run);
    for (const std::shared_ptr<RoutedRun> &run : runs)
        run->expire();
}

void Gateway::logRequest(const Call &call, const RoutedAnswer &answer, Duration took)
{
    const TimePoint now = m_calls.timers.now();
    const bool isComplete =
            answer.status == RoutedStatus::Reply
                    ? answer.reply.isSuccess()
                    : answer.status == RoutedStatus::Merged && answer.missingShards == 0;
    const bool isInTime = took <= call.route->latencyObjective;
    if (!m_traceLog.shouldLog(now, isComplete && isInTime))
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
              {"queued", call.trace->queueTime()},
              {"objective", call.route->latencyObjective},
              {"timeout", call.route->timeout},
              {"stepsOmitted", call.trace->omitted()},
              {"requestsNotLogged", m_traceLog.takeSuppressed()}});
}

void Gateway::finish(std::uint64_t id, RoutedAnswer answer)
{
    const auto found = m_openCalls.find(id);
    if (found == m_openCalls.end())
        return;
    const Call call = std::move(found->second);
    m_openCalls.erase(found);
    m_running.fetch_sub(1, std::memory_order_acq_rel);
    answer.shouldClose = m_views.pin()->isLeaving;
    std::uniform_real_distribution<double> spread(1, 1 + RetrySpread);
    answer.retryAfter = std::chrono::duration_cast<Duration>(answer.retryAfter * spread(m_random));
    const Duration took = m_calls.timers.now() - call.request.arrival;
    logRequest(call, answer, took);
    const std::size_t shards = call.route->shards.size();
    const double coverage = shards == 0 ? 1
                                        : 1 - static_cast<double>(answer.missingShards) /
                                                          static_cast<double>(shards);
    if (answer.status == RoutedStatus::Reply || answer.status == RoutedStatus::Merged)
        m_stats.recordRequest(call.route->host, call.route->name, took, coverage);
    m_stats.recordQueueTime(call.route->host, call.route->name, call.trace->queueTime());
    m_stats.add(counterOf(answer));
    const bool isMerged = answer.status == RoutedStatus::Merged;
    const TimePoint endedAt = answer.endedAt;
    call.done(std::move(answer));
    if (isMerged)
        m_answerMargin.recordEnd(m_calls.timers.now() - endedAt);
}

} // namespace geraniumcart
