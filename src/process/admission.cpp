#include "process/concurrency_limit_p.h"

#include <geraniumcart/admission.h>

#include <algorithm>
#include <deque>
#include <iterator>
#include <map>
#include <string_view>
#include <utility>

namespace geraniumcart {

namespace {

/// Interval at which waiting requests that can no longer finish in time are shed.
constexpr Duration ExpirySweepInterval = std::chrono::milliseconds(5);
/// While the concurrency limit is not reached, a request is shed only if the observed service time
/// exceeds the time to its deadline. One in this many of those is admitted anyway; otherwise
/// no new latency would be observed after the service has become fast again.
constexpr std::uint32_t InfeasibleTrialInterval = 16;
/// A request may wait if its expected waiting time is at most its spare time divided by this. The
/// rest of the spare time covers errors of the estimate.
constexpr int SpareTimeDivisor = 2;

/// Token bucket that enforces one tenant's rate limit on this daemon.
class TenantBucket
{
public:
    TenantBucket(const LimitRule &rule, std::uint32_t liveMembers, TimePoint now)
        : m_tokens(0)
        , m_filledAt(now)
    {
        configure(rule, liveMembers, now);
        m_tokens = m_limit.localBurst;
    }

    void configure(const LimitRule &rule, std::uint32_t liveMembers, TimePoint now)
    {
        fill(now);
        const double members = std::max(liveMembers, 1U);
        // With a burst below one the bucket would never hold a complete token.
        m_limit = {rule.tenant, rule.ratePerSecond, rule.burst, rule.ratePerSecond / members,
                   std::max(1.0, rule.burst / members)};
        m_tokens = std::min(m_tokens, m_limit.localBurst);
    }

    /// @return false if the tenant is over its limit
    bool tryTake(TimePoint now)
    {
        fill(now);
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }
    /// Returns the token of a request that was shed after tryTake() had succeeded.
    void returnToken() { m_tokens = std::min(m_tokens + 1, m_limit.localBurst); }

    const TenantLimit &limit() const { return m_limit; }

private:
    void fill(TimePoint now)
    {
        const double seconds = std::chrono::duration<double>(now - m_filledAt).count();
        m_tokens = std::min(m_tokens + seconds * m_limit.localRatePerSecond, m_limit.localBurst);
        m_filledAt = now;
    }

    TenantLimit m_limit;
    double m_tokens;
    TimePoint m_filledAt;
};

/// Request in a class queue.
struct WaitingRequest
{
    TimePoint deadline{};
    AdmissionPolicy::Callback done;
};

/// Waiting requests of one class, and the class's virtual time in the weighted fair queue.
class ClassQueue
{
public:
    void setWeight(std::uint32_t weight) { m_weight = std::max(weight, 1U); }
    std::uint32_t weight() const { return m_weight; }
    bool empty() const { return m_waiting.empty(); }
    std::size_t size() const { return m_waiting.size(); }
    /// Virtual start time of the first request; the class with the smallest one is served next.
    double nextStart() const { return m_nextStart; }

    void push(WaitingRequest waiting, double virtualTime)
    {
        // A class gets no credit for the time in which it had no waiting requests.
        if (m_waiting.empty())
            m_nextStart = std::max(m_nextStart, virtualTime);
        m_waiting.push_back(std::move(waiting));
    }
    WaitingRequest pop()
    {
        WaitingRequest first = std::move(m_waiting.front());
        m_waiting.pop_front();
        return first;
    }
    /// Advances the virtual time by the cost of one admitted request.
    void charge() { m_nextStart += 1.0 / m_weight; }

    /// Moves the requests whose deadline is before @p time to @p expired.
    void removeExpired(TimePoint time, std::vector<WaitingRequest> &expired)
    {
        const auto firstExpired = std::stable_partition(
                m_waiting.begin(), m_waiting.end(),
                [time](const WaitingRequest &w) { return w.deadline >= time; });
        std::move(firstExpired, m_waiting.end(), std::back_inserter(expired));
        m_waiting.erase(firstExpired, m_waiting.end());
    }
    /// Appends all waiting requests to the queue of another class.
    void moveTo(ClassQueue &other, double virtualTime)
    {
        for (WaitingRequest &waiting : m_waiting)
            other.push(std::move(waiting), virtualTime);
        m_waiting.clear();
    }

private:
    std::uint32_t m_weight = 1;
    double m_nextStart = 0;
    std::deque<WaitingRequest> m_waiting;
};

/// Token bucket for each tenant, weighted fair queue of classes, adaptive concurrency limit.
class WeightedAdmission final : public AdmissionPolicy
{
public:
    explicit WeightedAdmission(TimerService &timers)
        : m_timers(timers)
        , m_limit(timers)
    {
        m_classes[DefaultClassName];
    }

    ~WeightedAdmission() override { m_timers.cancel(m_sweepTimer); }

    void configure(const RuleSet &rules, std::uint32_t liveMembers) override;
    void setParallelism(std::uint32_t queries, std::uint32_t liveMembers) override
    {
        if (queries > 0)
            m_limit.setParallelism(static_cast<double>(queries) / std::max(liveMembers, 1U));
    }
    void admit(AdmissionRequest request, Callback done) override;
    void finish(Duration latency, bool wasOverloaded) override;
    LimitReport report() const override;

private:
    using Classes = std::map<std::string, ClassQueue, std::less<>>;

    /// @return the queue of the default class if no rule names @p className
    ClassQueue &queueFor(std::string_view className);
    /// Estimated time until a request that joins @p queue now is admitted.
    Duration expectedWait(const ClassQueue &queue) const;
    /// True if the queue has space and a request would probably finish in time after waiting.
    bool mayWait(const ClassQueue &queue, TimePoint now, TimePoint deadline) const;
    /// True if a request of any class is waiting.
    bool hasQueue() const;
    /// Admits waiting requests until the concurrency limit is reached.
    void serveQueues();
    void serveWaiting();
    void armSweep();
    /// Refuses waiting requests that can no longer finish in time.
    void sweep();

    TimerService &m_timers;
    ConcurrencyLimit m_limit;
    std::map<std::string, TenantBucket, std::less<>> m_tenants;
    Classes m_classes;
    double m_virtualTime = 0;
    std::uint32_t m_running = 0;
    /// Number of requests that arrived while the concurrency limit was not reached, but whose
    /// deadline was too close for the observed latency. See InfeasibleTrialInterval.
    std::uint32_t m_infeasibleRequests = 0;
    TimerId m_sweepTimer = 0;
    /// True while serveQueues() runs.
    bool m_isServing = false;
};

void WeightedAdmission::configure(const RuleSet &rules, std::uint32_t liveMembers)
{
    const TimePoint now = m_timers.now();
    std::erase_if(m_tenants, [&](const auto &tenant) {
        return std::ranges::find(rules.limits, tenant.first, &LimitRule::tenant) ==
               rules.limits.end();
    });
    for (const LimitRule &rule : rules.limits) {
        const auto [tenant, isNew] = m_tenants.try_emplace(rule.tenant, rule, liveMembers, now);
        if (!isNew)
            tenant->second.configure(rule, liveMembers, now);
    }

    ClassQueue &defaultQueue = m_classes[DefaultClassName];
    defaultQueue.setWeight(1);
    for (auto it = m_classes.begin(); it != m_classes.end();) {
        const bool isNamed = it->first == DefaultClassName ||
                             std::ranges::find(rules.classes, it->first, &ClassRule::className) !=
                                     rules.classes.end();
        if (isNamed) {
            ++it;
            continue;
        }
        it->second.moveTo(defaultQueue, m_virtualTime);
        it = m_classes.erase(it);
    }
    for (const ClassRule &rule : rules.classes)
        m_classes[rule.className].setWeight(rule.weight);
}

void WeightedAdmission::admit(AdmissionRequest request, Callback done)
{
    const TimePoint now = m_timers.now();
    if (request.deadline <= now)
        return done(AdmissionDecision::DeadlinePassed);
    const auto tenant = m_tenants.find(request.tenant);
    if (tenant != m_tenants.end() && !tenant->second.tryTake(now))
        return done(AdmissionDecision::RateLimited);

    ClassQueue &queue = queueFor(request.className);
    if (m_running < m_limit.limit() && !hasQueue()) {
        const bool isInfeasible = now + m_limit.lowLatency() > request.deadline;
        if (!isInfeasible || ++m_infeasibleRequests % InfeasibleTrialInterval == 0) {
            ++m_running;
            return done(AdmissionDecision::Admitted);
        }
    } else {
        m_limit.recordLimitReached();
        if (mayWait(queue, now, request.deadline)) {
            queue.push({request.deadline, std::move(done)}, m_virtualTime);
            armSweep();
            return serveQueues();
        }
    }
    // A request that was shed did no work, so it does not count against the tenant's rate.
    if (tenant != m_tenants.end())
        tenant->second.returnToken();
    done(AdmissionDecision::Overloaded);
}

void WeightedAdmission::finish(Duration latency, bool wasOverloaded)
{
    if (latency > Duration::zero() || wasOverloaded)
        m_limit.observe(latency, wasOverloaded, m_running);
    --m_running;
    serveQueues();
}

LimitReport WeightedAdmission::report() const
{
    LimitReport report;
    for (const auto &[name, bucket] : m_tenants)
        report.tenants.push_back(bucket.limit());
    for (const auto &[name, queue] : m_classes)
        report.classes.push_back({name, queue.weight(), static_cast<std::uint32_t>(queue.size())});
    report.concurrency = m_limit.limit();
    report.running = m_running;
    return report;
}

ClassQueue &WeightedAdmission::queueFor(std::string_view className)
{
    const auto found = m_classes.find(className);
    return found != m_classes.end() ? found->second : m_classes.find(DefaultClassName)->second;
}

Duration WeightedAdmission::expectedWait(const ClassQueue &queue) const
{
    std::uint64_t weights = queue.empty() ? queue.weight() : 0;
    for (const auto &[name, other] : m_classes)
        if (!other.empty())
            weights += other.weight();
    // On average one running request finishes in each service time divided by the limit, and the
    // class gets its share of the slots that become free.
    const double serviceTimes = static_cast<double>(queue.size() + 1) *
                                static_cast<double>(weights) / queue.weight() /
                                std::max(m_limit.limit(), 1U);
    return std::chrono::duration_cast<Duration>(serviceTimes * m_limit.typicalLatency());
}

bool WeightedAdmission::mayWait(const ClassQueue &queue, TimePoint now, TimePoint deadline) const
{
    const Duration spare = deadline - now - m_limit.highLatency();
    return queue.size() < MaxQueuedPerClass && expectedWait(queue) <= spare / SpareTimeDivisor;
}

bool WeightedAdmission::hasQueue() const
{
    return std::ranges::any_of(m_classes, [](const auto &item) { return !item.second.empty(); });
}

void WeightedAdmission::serveQueues()
{
    // A callback may finish or admit requests and so call this function again. The outer loop
    // serves those requests too.
    if (std::exchange(m_isServing, true))
        return;
    try {
        serveWaiting();
    } catch (...) {
        m_isServing = false;
        throw;
    }
    m_isServing = false;
}

void WeightedAdmission::serveWaiting()
{
    while (m_running < m_limit.limit()) {
        ClassQueue *next = nullptr;
        for (auto &[name, queue] : m_classes)
            if (!queue.empty() && (!next || queue.nextStart() < next->nextStart()))
                next = &queue;
        if (!next)
            break;
        const WaitingRequest waiting = next->pop();
        const TimePoint now = m_timers.now();
        if (waiting.deadline <= now) {
            waiting.done(AdmissionDecision::DeadlinePassed);
        } else if (now + m_limit.highLatency() > waiting.deadline) {
            waiting.done(AdmissionDecision::Overloaded);
        } else {
            m_virtualTime = next->nextStart();
            next->charge();
            ++m_running;
            waiting.done(AdmissionDecision::Admitted);
        }
    }
}

void WeightedAdmission::armSweep()
{
    if (m_sweepTimer != 0)
        return;
    m_sweepTimer = m_timers.schedule(ExpirySweepInterval, [this] { sweep(); });
}

void WeightedAdmission::sweep()
{
    m_sweepTimer = 0;
    const TimePoint now = m_timers.now();
    std::vector<WaitingRequest> expired;
    for (auto &[name, queue] : m_classes)
        queue.removeExpired(now + m_limit.highLatency(), expired);
    // Before the callbacks, so that one that throws does not end the sweeps.
    if (hasQueue())
        armSweep();
    for (const WaitingRequest &waiting : expired)
        waiting.done(waiting.deadline <= now ? AdmissionDecision::DeadlinePassed
                                             : AdmissionDecision::Overloaded);
    serveQueues();
}

/// Baseline for comparisons: enforces no limit except the deadline.
class UnlimitedAdmission final : public AdmissionPolicy
{
public:
    explicit UnlimitedAdmission(TimerService &timers)
        : m_timers(timers)
    {
    }

    void configure(const RuleSet &, std::uint32_t) override {}
    void setParallelism(std::uint32_t, std::uint32_t) override {}
    void admit(AdmissionRequest request, Callback done) override
    {
        if (request.deadline <= m_timers.now())
            return done(AdmissionDecision::DeadlinePassed);
        ++m_running;
        done(AdmissionDecision::Admitted);
    }
    void finish(Duration, bool) override { --m_running; }
    LimitReport report() const override
    {
        LimitReport report;
        report.running = m_running;
        return report;
    }

private:
    TimerService &m_timers;
    std::uint32_t m_running = 0;
};

} // namespace

const char *toString(AdmissionDecision decision)
{
    switch (decision) {
    case AdmissionDecision::Admitted:
        return "admitted";
    case AdmissionDecision::RateLimited:
        return "rateLimited";
    case AdmissionDecision::Overloaded:
        return "overloaded";
    case AdmissionDecision::DeadlinePassed:
        return "deadlinePassed";
    }
    return "unknown";
}

std::unique_ptr<AdmissionPolicy> makeAdmissionPolicy(AdmissionKind kind, TimerService &timers)
{
    if (kind == AdmissionKind::Unlimited)
        return std::make_unique<UnlimitedAdmission>(timers);
    return std::make_unique<WeightedAdmission>(timers);
}

AdmissionClient::AdmissionClient(AdmissionPolicy &policy, Post toHome, Post toSelf)
    : m_policy(policy)
    , m_toHome(std::move(toHome))
    , m_toSelf(std::move(toSelf))
{
}

void AdmissionClient::admit(AdmissionRequest request, AdmissionPolicy::Callback done)
{
    m_toHome([&policy = m_policy, toSelf = m_toSelf, request = std::move(request),
              done = std::move(done)]() mutable {
        policy.admit(std::move(request), [toSelf = std::move(toSelf),
                                          done = std::move(done)](AdmissionDecision decision) {
            toSelf([done, decision] { done(decision); });
        });
    });
}

void AdmissionClient::finish(Duration latency, bool wasOverloaded)
{
    m_toHome([&policy = m_policy, latency, wasOverloaded] {
        policy.finish(latency, wasOverloaded);
    });
}

} // namespace geraniumcart
