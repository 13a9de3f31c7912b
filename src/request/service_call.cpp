#include <geraniumcart/service_call.h>
#include <geraniumcart/sub_request.h>

#include "process/log_p.h"

#include <algorithm>
#include <array>
#include <utility>

namespace geraniumcart {

namespace {

/// Interval at which a call looks for a searcher with capacity while there is none. It is about a
/// third of the duration of a short request.
constexpr std::chrono::milliseconds CapacityPollInterval{4};
/// Sends allowed in addition to the route's attempts, to make up for those that searchers refuse
/// without running the request.
constexpr std::uint32_t ExtraSendsAfterRefusal = 2;

/// Once a call has its answer, its other attempts are cancelled if even the fastest searcher of the
/// service has a latency above this, which indicates queues. The slot that such an attempt would
/// occupy later is then worth more than the setup of a new connection, which occupies one for up to
/// 6 ms.
constexpr std::chrono::milliseconds CancelLoserThreshold{30};

/// True for a status that tells a caller that its request was not run and may be repeated. A
/// searcher's answer with such a status is not passed on unless the searcher has stated that it did
/// not run the request.
bool promisesNotRun(std::uint32_t status)
{
    constexpr std::array<std::uint32_t, 4> Statuses{408, 421, 429, 503};
    return std::ranges::find(Statuses, status) != Statuses.end();
}

TraceStep stepOf(ExchangeFailure failure)
{
    switch (failure) {
    case ExchangeFailure::NotSent:
        return TraceStep::NotSent;
    case ExchangeFailure::Malformed:
        return TraceStep::Malformed;
    case ExchangeFailure::TimedOut:
        return TraceStep::TimedOut;
    case ExchangeFailure::Lost:
    case ExchangeFailure::Cancelled:
        break;
    }
    return TraceStep::Lost;
}

} // namespace

const char *toString(ExchangeFailure failure)
{
    switch (failure) {
    case ExchangeFailure::NotSent:
        return "notSent";
    case ExchangeFailure::Lost:
        return "lost";
    case ExchangeFailure::Malformed:
        return "malformed";
    case ExchangeFailure::TimedOut:
        return "timedOut";
    case ExchangeFailure::Cancelled:
        return "cancelled";
    }
    return "unknown";
}

const char *toString(CallFailure failure)
{
    switch (failure) {
    case CallFailure::NoUpstream:
        return "noUpstream";
    case CallFailure::Refused:
        return "refused";
    case CallFailure::NoRoom:
        return "noRoom";
    case CallFailure::Unknown:
        return "unknown";
    case CallFailure::TimedOut:
        return "timedOut";
    }
    return "unknown";
}

ServiceCall::ServiceCall(const CallContext &context, ServiceCallSpec spec, Callback done)
    : m_context(context)
    , m_spec(std::move(spec))
    , m_done(std::move(done))
{
}

void ServiceCall::start()
{
    m_startedAt = m_context.timers.now();
    m_spec.budget->addFirstAttempts(1);
    const Duration remaining = m_spec.deadline - m_startedAt;
    m_deadlineTimer = m_context.timers.schedule(remaining, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->onDeadline();
    });
    proceed(Cause::First);
}

void ServiceCall::release()
{
    m_done = nullptr;
    disarm();
}

void ServiceCall::expire()
{
    if (isOpen())
        onDeadline();
}

void ServiceCall::cancelExchanges()
{
    for (auto &[id, attempt] : std::exchange(m_attempts, {})) {
        m_context.transport.cancel(id);
        const Upstream &upstream = *attempt.request.upstream();
        const TimePoint now = m_context.timers.now();
        if (AnswerCounters *counters = countersOf(upstream))
            counters->addCancelled(now - attempt.sentAt, upstream.isCold(now));
    }
}

void ServiceCall::proceed(Cause cause)
{
    if (m_proceedTimer != 0)
        m_context.timers.cancel(std::exchange(m_proceedTimer, 0));
    const Dispatch outcome = dispatch(cause);
    if (outcome == Dispatch::Sent || !m_attempts.empty())
        return;
    // The deadline timer is due.
    if (outcome == Dispatch::TooLate)
        return;
    if (outcome == Dispatch::NoRoom) {
        m_proceedTimer =
                m_context.timers.schedule(CapacityPollInterval, [weak = weak_from_this(), cause] {
                    const auto self = weak.lock();
                    if (!self || !self->isOpen())
                        return;
                    self->m_proceedTimer = 0;
                    self->proceed(cause);
                });
        return;
    }
    // The call must not fail inside start(), since its owner may not be set up completely.
    m_proceedTimer =
            m_context.timers.schedule(Duration::zero(), [weak = weak_from_this(), outcome] {
                const auto self = weak.lock();
                if (!self || !self->isOpen() || !self->m_attempts.empty())
                    return;
                self->m_proceedTimer = 0;
                if (outcome == Dispatch::NoUpstream)
                    self->recordStep(TraceStep::NoUpstream);
                if (self->m_failureReply)
                    self->finish({std::move(self->m_failureReply), CallFailure::Unknown, false});
                else if (self->mayHaveRun())
                    self->fail(CallFailure::Unknown);
                else
                    self->fail(self->m_wasRefused ? CallFailure::Refused : CallFailure::NoUpstream);
            });
}

ServiceCall::Dispatch ServiceCall::dispatch(Cause cause)
{
    if (m_possibleRuns >= m_spec.attempts || m_sends >= m_spec.attempts + ExtraSendsAfterRefusal)
        return Dispatch::NoAttempts;
    const auto &upstreams = m_spec.service->upstreams;
    const TimePoint now = m_context.timers.now();
    if (now >= m_spec.deadline)
        return Dispatch::TooLate;
    confirmWarmUps(now);
    const bool hasUntried = std::ranges::any_of(upstreams, [&](const auto &u) {
        return availability(*u, now) != Availability::None && isUntried(*u);
    });
    if (!hasUntried)
        return Dispatch::NoUpstream;
    // A hedge is not worth a request to a searcher that is about to stop, since the first attempt
    // may still be answered.
    const bool allowsLeaving =
            cause != Cause::Hedge && std::ranges::none_of(upstreams, [&](const auto &u) {
                return availability(*u, now) == Availability::Usable && isCandidate(*u, now);
            });
    const std::shared_ptr<Upstream> upstream =
            m_context.choice.choose(*m_spec.service, now, [&](const Upstream &u) {
                // What a searcher with a rate limit, or a cold one, takes is kept for requests that
                // need it.
                return isEligible(u, now, allowsLeaving) &&
                       (cause != Cause::Hedge || (!u.rateLimit() && !u.isPaced(now)));
            });
    if (!upstream) {
        // Recorded only the first time, since the call looks again every few milliseconds.
        if (!std::exchange(m_isNoRoomRecorded, true))
            recordStep(TraceStep::NoRoom);
        return Dispatch::NoRoom;
    }
    if (m_possibleArrivals > 0 && !tryTakeBudget(cause))
        return Dispatch::NoBudget;
    if (!upstream->tryTakeWarmUp(now) || !upstream->tryTakeRate(now))
        return Dispatch::NoRoom;

    InFlightRequest request(upstream, now);
    const ExchangeId id =
            m_context.transport.send(upstream, m_spec.request, m_spec.deadline, shared_from_this());
    if (cause != Cause::First || m_spec.tracesFirstSend)
        recordStep(cause == Cause::First   ? TraceStep::Sent
                   : cause == Cause::Hedge ? TraceStep::Hedged
                                           : TraceStep::Retried,
                   upstream.get());
    if (m_sends == 0 && m_spec.trace)
        m_spec.trace->recordQueueTime(now - m_startedAt);
    m_attempts[id] = {std::move(request), now, cause == Cause::Hedge};
    m_tried.push_back(upstream.get());
    ++m_sends;
    ++m_possibleRuns;
    ++m_possibleArrivals;
    ++m_context.counts.sent;
    if (cause == Cause::Hedge)
        ++m_context.counts.hedged;
    else if (cause == Cause::Retry)
        ++m_context.counts.retried;
    armHedge();
    return Dispatch::Sent;
}

bool ServiceCall::isUntried(const Upstream &upstream) const
{
    return std::find(m_tried.begin(), m_tried.end(), &upstream) == m_tried.end();
}

Availability ServiceCall::availability(const Upstream &upstream, TimePoint now) const
{
    return availabilityOf(upstream, now, m_spec.view->leavingUse);
}

bool ServiceCall::isCandidate(const Upstream &upstream, TimePoint now) const
{
    // A searcher that has just refused or failed a request is not used for further attempts of this
    // call until it is no longer suspect.
    return isUntried(upstream) && (m_sends == 0 || now >= upstream.suspectUntil());
}

bool ServiceCall::isEligible(const Upstream &upstream, TimePoint now, bool allowsLeaving) const
{
    const Availability available = availability(upstream, now);
    if (available == Availability::None ||
        (available == Availability::LastResort && !allowsLeaving) || !isCandidate(upstream, now) ||
        !upstream.allowsAnother() || !upstream.allowsWarmUp(now))
        return false;
    const ServiceProfile &profile = m_spec.service->profile;
    return m_context.transport.hasCapacity(upstream,
                                           connectionShare(profile, m_spec.view->listed()));
}

void ServiceCall::confirmWarmUps(TimePoint now)
{
    for (const auto &upstream : m_spec.service->upstreams)
        if (upstream->isInUse() && now >= upstream->pausedUntil() &&
            upstream->awaitsConfirmation(now))
            m_context.transport.warmUp(upstream);
}

void ServiceCall::applyAnnouncements(const Attempt &attempt, const UpstreamReply &reply)
{
    Upstream &upstream = *attempt.request.upstream();
    // Another instance at the address speaks of itself.
    if (reply.isOtherInstance)
        return;
    const TimePoint now = m_context.timers.now();
    if (reply.isLeaving && upstream.markLeaving(now))
        logEvent(LogLevel::Info, "searcherLeaving",
                 {{"instance", upstream.instanceId()},
                  {"service", upstream.service()},
                  {"address", upstream.address()},
                  {"inFlight", upstream.inFlight()}});
    if (reply.pause > Duration::zero() && upstream.pause(now, reply.pause))
        logEvent(LogLevel::Info, "searcherPaused",
                 {{"instance", upstream.instanceId()},
                  {"service", upstream.service()},
                  {"address", upstream.address()},
                  {"inFlight", upstream.inFlight()},
                  {"pause", reply.pause}});
    applyRateLimit(attempt, reply);
}

void ServiceCall::applyRateLimit(const Attempt &attempt, const UpstreamReply &reply)
{
    Upstream &upstream = *attempt.request.upstream();
    bool hasChanged = false;
    if (reply.rateLimit) {
        const ServingView &view = *m_spec.view;
        const double part =
                rateLimitPart(*reply.rateLimit, upstream.instanceId(), view.senders, view.part);
        hasChanged = upstream.limitRate(m_context.timers.now(), *reply.rateLimit, part);
    } else if (!reply.isRateLimitUnreadable) {
        hasChanged = upstream.clearRateLimit(attempt.sentAt);
    }
    if (hasChanged)
        logEvent(LogLevel::Info, reply.rateLimit ? "searcherLimited" : "searcherUnlimited",
                 {{"instance", upstream.instanceId()},
                  {"service", upstream.service()},
                  {"address", upstream.address()},
                  {"limit", std::to_string(reply.rateLimit.value_or(0))}});
}

bool ServiceCall::tryTakeBudget(Cause cause)
{
    m_spec.budget->refill(m_context.timers.now());
    if (cause == Cause::Hedge ? m_spec.budget->tryTakeForHedge() : m_spec.budget->tryTake())
        return true;
    ++m_context.counts.budgetExhausted;
    recordStep(TraceStep::BudgetExhausted);
    return false;
}

void ServiceCall::recordStep(TraceStep step, const Upstream *upstream)
{
    if (m_spec.trace && isOpen())
        m_spec.trace->record(m_context.timers.now(), step, m_spec.service->profile.name, upstream);
}

void ServiceCall::armHedge()
{
    if (m_spec.kind != RouteKind::Idempotent || !m_spec.hedging || m_hedgeTimer != 0)
        return;
    const Duration delay = m_spec.hedging->delay().value_or(m_spec.firstHedgeDelay);
    m_hedgeTimer = m_context.timers.schedule(delay, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->onHedgeDue();
    });
}

void ServiceCall::onHedgeDue()
{
    m_hedgeTimer = 0;
    if (!isOpen() || m_attempts.empty())
        return;
    const Dispatch outcome = dispatch(Cause::Hedge);
    // Capacity or budget may become available while the first attempt is still open.
    if (outcome == Dispatch::NoRoom || outcome == Dispatch::NoBudget)
        armHedge();
}

ServiceCall::Attempt ServiceCall::removeAttempt(ExchangeId id)
{
    const auto found = m_attempts.find(id);
    if (found == m_attempts.end())
        return {};
    Attempt attempt = std::move(found->second);
    m_attempts.erase(found);
    return attempt;
}

void ServiceCall::onReply(ExchangeId id, UpstreamReply reply)
{
    Attempt attempt = removeAttempt(id);
    Upstream *upstream = attempt.request.upstream().get();
    if (!upstream)
        return;
    const TimePoint now = m_context.timers.now();
    applyAnnouncements(attempt, reply);
    if (reply.isNotRun) {
        recordStep(reply.isOtherInstance ? TraceStep::OtherInstance : TraceStep::Refused, upstream);
        attempt.request.recordRefusal(now);
        if (reply.isOtherInstance)
            upstream->markReplaced();
        m_wasRefused = true;
        --m_possibleRuns;
        // The searcher stays a candidate, since it may have capacity a moment later.
        std::erase(m_tried, upstream);
        if (isOpen())
            continueAfterFailure();
        return;
    }
    if (reply.isSuccess()) {
        attempt.request.recordAnswer(now, now - attempt.sentAt);
        if (m_spec.hedging)
            m_spec.hedging->observe(now - attempt.sentAt);
        if (AnswerCounters *counters = countersOf(*upstream))
            counters->addGood(now - attempt.sentAt, upstream->isCold(now));
        if (isOpen()) {
            finish({std::move(reply), CallFailure::Unknown, false});
            if (lowestLatency(m_spec.service->upstreams) > CancelLoserThreshold)
                cancelExchanges();
        }
        return;
    }
    recordStep(TraceStep::FailureReply, upstream);
    attempt.request.recordFailedRequest(now);
    if (AnswerCounters *counters = countersOf(*upstream))
        counters->addBad();
    if (!isOpen())
        return;
    if (m_spec.acceptsFailureReply && !promisesNotRun(reply.status))
        m_failureReply = std::move(reply);
    continueAfterFailure();
}

void ServiceCall::onFailure(ExchangeId id, ExchangeFailure failure)
{
    Attempt attempt = removeAttempt(id);
    Upstream *upstream = attempt.request.upstream().get();
    if (!upstream)
        return;
    recordStep(stepOf(failure), upstream);
    attempt.request.recordFailedRequest(m_context.timers.now());
    if (failure == ExchangeFailure::NotSent) {
        --m_possibleRuns;
        --m_possibleArrivals;
        std::erase(m_tried, upstream);
    } else if (AnswerCounters *counters = countersOf(*upstream)) {
        counters->addLost();
    }
    if (isOpen())
        continueAfterFailure();
}

AnswerCounters *ServiceCall::countersOf(const Upstream &upstream) const
{
    const VersionDivision &division = m_spec.service->division;
    const auto &versionCounters = upstream.version() == division.version ? division.versionCounters
                                                                         : division.otherCounters;
    if (!versionCounters)
        return nullptr;
    const RequestKind kind =
            m_spec.kind == RouteKind::Idempotent ? RequestKind::Search : RequestKind::Book;
    return &versionCounters->routes[static_cast<std::size_t>(kind)];
}

void ServiceCall::continueAfterFailure()
{
    if (m_spec.kind == RouteKind::AtMostOnce && mayHaveRun()) {
        if (m_failureReply)
            finish({std::move(m_failureReply), CallFailure::Unknown, false});
        else
            fail(CallFailure::Unknown);
        return;
    }
    proceed(Cause::Retry);
}

void ServiceCall::onDeadline()
{
    m_deadlineTimer = 0;
    if (!isOpen())
        return;
    for (const auto &[id, attempt] : m_attempts)
        recordStep(TraceStep::TimedOut, attempt.request.upstream().get());
    if (m_failureReply)
        finish({std::move(m_failureReply), CallFailure::Unknown, false});
    else if (mayHaveRun())
        fail(CallFailure::TimedOut);
    else
        fail(m_wasRefused ? CallFailure::Refused : CallFailure::NoRoom);
}

void ServiceCall::fail(CallFailure failure)
{
    finish({std::nullopt, failure, !mayHaveRun()});
}

void ServiceCall::finish(CallResult result)
{
    disarm();
    const Callback done = std::exchange(m_done, nullptr);
    done(std::move(result));
}

void ServiceCall::disarm()
{
    for (TimerId *timer : {&m_hedgeTimer, &m_proceedTimer, &m_deadlineTimer})
        if (*timer != 0)
            m_context.timers.cancel(std::exchange(*timer, 0));
}

} // namespace geraniumcart
