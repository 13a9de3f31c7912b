#include <geraniumcart/gateway.h>
#include <geraniumcart/load_shedding.h>
#include <geraniumcart/record_merge.h>

#include <algorithm>
#include <utility>

namespace geraniumcart {

namespace {

/// Time that searchers get to finish a request whose caller has disconnected. Short requests end
/// within it; longer ones are cancelled.
constexpr std::chrono::milliseconds AbandonGrace{200};
/// While latencies are unknown, a slow request is hedged after the latency objective divided by
/// this.
constexpr int FirstHedgeDivisor = 4;
/// Minimum time after which a refused caller should retry. A few requests have ended by then, which
/// frees capacity.
constexpr std::chrono::milliseconds RefusalRetryAfter{100};

RoutedAnswer refusal(const RoutedRunSpec &run)
{
    RoutedAnswer answer;
    answer.status = RoutedStatus::Refused;
    answer.retryAfter =
            std::max<Duration>(RefusalRetryAfter, pauseLeft(*run.route, run.service, *run.view,
                                                            run.calls.timers.now()));
    return answer;
}

ServiceCallSpec callSpec(const RoutedRunSpec &run, const std::string &service)
{
    ServiceCallSpec spec;
    spec.request = run.request;
    spec.view = run.view;
    spec.service = run.view->find(service);
    spec.deadline = run.deadline;
    spec.kind = run.route->kind;
    spec.attempts = std::max(1U, run.route->attempts);
    spec.hedging = run.view->hedging.at(run.route->name).get();
    spec.firstHedgeDelay = run.route->latencyObjective / FirstHedgeDivisor;
    spec.budget = spec.service->budget.get();
    spec.trace = run.trace;
    return spec;
}

/// Releases @p calls, and cancels the attempts that are still open after AbandonGrace.
void releaseCalls(TimerService &timers, std::vector<std::shared_ptr<ServiceCall>> calls)
{
    for (const auto &call : calls)
        call->release();
    timers.schedule(AbandonGrace, [calls = std::move(calls)] {
        for (const auto &call : calls)
            call->cancelExchanges();
    });
}

/// Forwards a request to one searcher of one service.
class ForwardRun final : public RoutedRun, public std::enable_shared_from_this<ForwardRun>
{
public:
    ForwardRun(RoutedRunSpec spec, Callback done)
        : m_spec(std::move(spec))
        , m_done(std::move(done))
    {
    }

    void start() override
    {
        ServiceCallSpec spec = callSpec(m_spec, m_spec.service);
        spec.acceptsFailureReply = true;
        spec.tracesFirstSend = true;
        m_call = std::make_shared<ServiceCall>(m_spec.calls, std::move(spec),
                                               [weak = weak_from_this()](CallResult result) {
                                                   if (const auto self = weak.lock())
                                                       self->onResult(std::move(result));
                                               });
        m_call->start();
    }

    void abandon() override
    {
        m_done = nullptr;
        // An at-most-once request is not cancelled but runs to its end, so that its outcome is
        // certain.
        if (m_spec.route->kind == RouteKind::AtMostOnce)
            m_call->release();
        else
            releaseCalls(m_spec.calls.timers, {m_call});
    }

    void expire() override { m_call->expire(); }

private:
    void onResult(CallResult result)
    {
        RoutedAnswer answer;
        if (result.reply) {
            answer.status = RoutedStatus::Reply;
            answer.reply = std::move(*result.reply);
        } else if (result.isProvenNotRun) {
            answer = refusal(m_spec);
        } else {
            answer.status = result.failure == CallFailure::TimedOut ? RoutedStatus::TimedOut
                                                                    : RoutedStatus::Failed;
        }
        if (m_done)
            std::exchange(m_done, nullptr)(std::move(answer));
    }

    RoutedRunSpec m_spec;
    Callback m_done;
    std::shared_ptr<ServiceCall> m_call;
};

/// Sends a request to one searcher of each shard and merges their answers.
class ScatterRun final : public RoutedRun, public std::enable_shared_from_this<ScatterRun>
{
public:
    ScatterRun(RoutedRunSpec spec, Callback done)
        : m_spec(std::move(spec))
        , m_done(std::move(done))
        , m_parts(m_spec.route->shards.size())
    {
    }

    void start() override
    {
        const auto &shards = m_spec.route->shards;
        m_open = static_cast<std::uint32_t>(shards.size());
        if (servableShards() < m_spec.route->minShards()) {
            m_spec.calls.timers.schedule(Duration::zero(),
                                         [self = shared_from_this()] { self->refuse(); });
            return;
        }
        for (std::size_t shard = 0; shard < shards.size(); ++shard)
            startShard(shard);
        armTimer(m_spec.latestPartialEnd);
    }

    void abandon() override
    {
        m_done = nullptr;
        disarm();
        releaseCalls(m_spec.calls.timers, std::exchange(m_calls, {}));
    }

    void expire() override
    {
        if (m_done)
            finish(RoutedStatus::TimedOut, m_spec.calls.timers.now());
    }

private:
    bool isServableShard(const std::string &shard) const
    {
        const ServiceUpstreams *service = m_spec.view->find(shard);
        return service && isServable(*service, m_spec.calls.timers.now(), m_spec.view->leavingUse);
    }

    /// Number of shards with a searcher that may get a request.
    std::uint32_t servableShards() const
    {
        return static_cast<std::uint32_t>(
                std::ranges::count_if(m_spec.route->shards, [this](const std::string &shard) {
                    return isServableShard(shard);
                }));
    }

    void startShard(std::size_t shard)
    {
        const std::string &service = m_spec.route->shards[shard];
        if (!isServableShard(service)) {
            --m_open;
            return;
        }
        m_calls.push_back(
                std::make_shared<ServiceCall>(m_spec.calls, callSpec(m_spec, service),
                                              [weak = weak_from_this(), shard](CallResult result) {
                                                  if (const auto self = weak.lock())
                                                      self->onResult(shard, std::move(result));
                                              }));
        m_calls.back()->start();
    }

    void onResult(std::size_t shard, CallResult result)
    {
        if (!m_done)
            return;
        --m_open;
        if (result.reply && !result.reply->signature.empty()) {
            m_parts[shard] = std::move(result.reply);
            ++m_answered;
        }
        const std::uint32_t needed = m_spec.route->minShards();
        if (m_open == 0 || m_answered + m_open < needed ||
            (m_isObjectivePast && m_answered >= needed))
            finish(result.failure == CallFailure::TimedOut ? RoutedStatus::TimedOut
                                                           : RoutedStatus::Failed,
                   m_spec.calls.timers.now());
    }

    void armTimer(TimePoint time)
    {
        m_timer = m_spec.calls.timers.schedule(time - m_spec.calls.timers.now(),
                                               [weak = weak_from_this()] {
                                                   if (const auto self = weak.lock())
                                                       self->onTimer();
                                               });
    }

    void onTimer()
    {
        m_timer = 0;
        if (!m_done)
            return;
        const bool isDeadline = m_spec.calls.timers.now() >= m_spec.deadline;
        const TimePoint due = isDeadline ? m_spec.deadline : m_spec.latestPartialEnd;
        if (!m_isObjectivePast && m_open > 0)
            m_spec.trace->record(m_spec.calls.timers.now(), TraceStep::ObjectivePassed, {});
        m_isObjectivePast = true;
        if (m_answered >= m_spec.route->minShards() || isDeadline)
            finish(RoutedStatus::TimedOut, due);
        else
            armTimer(m_spec.deadline);
    }

    /// @param incompleteStatus status of the answer if too few shards have answered
    /// @param endedAt when the run was to end
    void finish(RoutedStatus incompleteStatus, TimePoint endedAt)
    {
        disarm();
        RoutedAnswer answer;
        answer.endedAt = endedAt;
        answer.status =
                m_answered >= m_spec.route->minShards() ? RoutedStatus::Merged : incompleteStatus;
        if (answer.status == RoutedStatus::Merged)
            merge(answer);
        // Open attempts are not cancelled: for searchers, a closed connection costs more than
        // finishing a short request.
        for (const auto &call : m_calls)
            call->release();
        std::exchange(m_done, nullptr)(std::move(answer));
    }

    void merge(RoutedAnswer &answer) const
    {
        std::vector<std::string_view> bodies;
        for (const auto &part : m_parts) {
            if (!part)
                continue;
            bodies.push_back(part->body);
            answer.signatures.push_back(part->signature);
        }
        answer.missingShards = static_cast<std::uint32_t>(m_parts.size() - bodies.size());
        answer.body = mergeGreatestRecords(bodies, m_spec.route->resultLimit);
    }

    void refuse()
    {
        if (!m_done)
            return;
        std::exchange(m_done, nullptr)(refusal(m_spec));
    }

    void disarm()
    {
        if (m_timer != 0)
            m_spec.calls.timers.cancel(std::exchange(m_timer, 0));
    }

    RoutedRunSpec m_spec;
    Callback m_done;
    std::vector<std::shared_ptr<ServiceCall>> m_calls;
    /// Answers by shard; empty where a shard has not answered.
    std::vector<std::optional<UpstreamReply>> m_parts;
    /// Shards whose call has not ended.
    std::uint32_t m_open = 0;
    /// Shards with a successful, signed answer.
    std::uint32_t m_answered = 0;
    bool m_isObjectivePast = false;
    TimerId m_timer = 0;
};

} // namespace

std::shared_ptr<RoutedRun> makeForwardRun(RoutedRunSpec spec, RoutedRun::Callback done)
{
    return std::make_shared<ForwardRun>(std::move(spec), std::move(done));
}

std::shared_ptr<RoutedRun> makeScatterRun(RoutedRunSpec spec, RoutedRun::Callback done)
{
    return std::make_shared<ScatterRun>(std::move(spec), std::move(done));
}

} // namespace geraniumcart
