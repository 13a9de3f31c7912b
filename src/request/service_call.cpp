#include <geraniumcart/service_call.h>
#include <geraniumcart/sub_request.h>

#include <algorithm>
#include <utility>

namespace geraniumcart {

namespace {

/// Interval at which a call that found no room looks again; about a third of a short request.
constexpr std::chrono::milliseconds RoomInterval{4};
/// Sends beyond the route's attempts that searchers may refuse without running the request.
constexpr std::uint32_t ExtraSendsAfterRefusal = 2;

/// The loser of a hedge is stopped while even the best searcher of the service takes longer than
/// this, which shows a queue: the slot that it would take later is worth more than the setup of a
/// new connection, which holds one for up to 6 ms.
constexpr std::chrono::milliseconds CancelAbove{30};

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
    m_spec.budget->earn(1);
    const Duration left = m_spec.deadline - m_startedAt;
    m_deadlineTimer = m_context.timers.schedule(left, [weak = weak_from_this()] {
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

void ServiceCall::cancelExchanges()
{
    for (const auto &[id, attempt] : std::exchange(m_attempts, {})) {
        m_context.transport.cancel(id);
        attempt.upstream->noteEnded();
        const TimePoint now = m_context.timers.now();
        if (AnswerCounters *evidence = countersOf(*attempt.upstream))
            evidence->addCancelled(now - attempt.sentAt, attempt.upstream->isCold(now));
    }
}

void ServiceCall::proceed(Cause cause)
{
    if (m_roomTimer != 0)
        m_context.timers.cancel(std::exchange(m_roomTimer, 0));
    const Dispatch outcome = dispatch(cause);
    if (outcome == Dispatch::Sent || !m_attempts.empty())
        return;
    if (outcome == Dispatch::NoRoom) {
        m_roomTimer = m_context.timers.schedule(RoomInterval, [weak = weak_from_this(), cause] {
            const auto self = weak.lock();
            if (!self || !self->isOpen())
                return;
            self->m_roomTimer = 0;
            self->proceed(cause);
        });
        return;
    }
    // Not from within start(): the owner may still be setting up.
    m_roomTimer = m_context.timers.schedule(Duration::zero(), [weak = weak_from_this(), outcome] {
        const auto self = weak.lock();
        if (!self || !self->isOpen() || !self->m_attempts.empty())
            return;
        self->m_roomTimer = 0;
        if (outcome == Dispatch::NoUpstream)
            self->note(TraceStep::NoUpstream);
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
    if (m_mayHaveRun >= m_spec.attempts || m_sends >= m_spec.attempts + ExtraSendsAfterRefusal)
        return Dispatch::NoAttempts;
    const auto &upstreams = m_spec.service->upstreams;
    const bool hasUntried = std::any_of(upstreams.begin(), upstreams.end(), [this](const auto &u) {
        return !u->isReplaced() && isUntried(*u);
    });
    if (!hasUntried)
        return Dispatch::NoUpstream;
    const TimePoint now = m_context.timers.now();
    const std::shared_ptr<Upstream> upstream = m_context.choice.choose(
            *m_spec.service, now, [this, now](const Upstream &u) { return mayUse(u, now); });
    if (!upstream) {
        // Looked for again every few milliseconds; the first time tells enough.
        if (!std::exchange(m_wasWithoutRoom, true))
            note(TraceStep::NoRoom);
        return Dispatch::NoRoom;
    }
    if (m_arrivals > 0 && !tryTakeBudget())
        return Dispatch::NoBudget;
    const Duration interval = warmUpInterval(m_spec.service->profile, m_spec.view->senders);
    if (interval > Duration::zero() && upstream->isCold(now) &&
        !upstream->tryTakeWarmUp(now, interval))
        return Dispatch::NoRoom;

    const ExchangeId id =
            m_context.transport.send(upstream, m_spec.request, m_spec.deadline, shared_from_this());
    upstream->noteSent(now);
    if (cause != Cause::First || m_spec.tracesFirstSend)
        note(cause == Cause::First   ? TraceStep::Sent
             : cause == Cause::Hedge ? TraceStep::Hedged
                                     : TraceStep::Retried,
             upstream.get());
    if (m_sends == 0 && m_spec.trace)
        m_spec.trace->noteQueueTime(now - m_startedAt);
    m_attempts[id] = {upstream, now, cause == Cause::Hedge};
    m_tried.push_back(upstream.get());
    ++m_sends;
    ++m_mayHaveRun;
    ++m_arrivals;
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

bool ServiceCall::mayUse(const Upstream &upstream, TimePoint now)
{
    const ServiceProfile &profile = m_spec.service->profile;
    if (upstream.isReplaced() || !isUntried(upstream))
        return false;
    // A searcher that has just refused or failed gets nothing more from this call for a moment.
    if (m_sends > 0 && now < upstream.suspectUntil())
        return false;
    return m_context.transport.hasRoom(upstream, connectionShare(profile, m_spec.view->listed()));
}

bool ServiceCall::tryTakeBudget()
{
    if (m_spec.budget->tryTake())
        return true;
    ++m_context.counts.budgetExhausted;
    note(TraceStep::BudgetExhausted);
    return false;
}

void ServiceCall::note(TraceStep step, const Upstream *upstream)
{
    if (m_spec.trace && isOpen())
        m_spec.trace->note(m_context.timers.now(), step, m_spec.service->profile.name, upstream);
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
    // Room or budget may come back while the first attempt still hangs.
    if (outcome == Dispatch::NoRoom || outcome == Dispatch::NoBudget)
        armHedge();
}

ServiceCall::Attempt ServiceCall::takeAttempt(ExchangeId id)
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
    const Attempt attempt = takeAttempt(id);
    if (!attempt.upstream)
        return;
    const TimePoint now = m_context.timers.now();
    if (reply.isNotRun) {
        note(reply.isOtherInstance ? TraceStep::OtherInstance : TraceStep::Refused,
             attempt.upstream.get());
        attempt.upstream->noteRefusal(now);
        if (reply.isOtherInstance)
            attempt.upstream->noteReplaced();
        m_wasRefused = true;
        --m_mayHaveRun;
        // The same searcher may have room a moment later.
        std::erase(m_tried, attempt.upstream.get());
        if (isOpen())
            continueAfterFailure();
        return;
    }
    if (reply.isSuccess()) {
        attempt.upstream->noteAnswer(now, now - attempt.sentAt);
        if (m_spec.hedging)
            m_spec.hedging->observe(now - attempt.sentAt);
        if (AnswerCounters *evidence = countersOf(*attempt.upstream))
            evidence->addGood(now - attempt.sentAt, attempt.upstream->isCold(now));
        if (isOpen()) {
            finish({std::move(reply), CallFailure::Unknown, false});
            if (lowestLatency(m_spec.service->upstreams) > CancelAbove)
                cancelExchanges();
        }
        return;
    }
    note(TraceStep::FailureReply, attempt.upstream.get());
    attempt.upstream->noteFailure(now);
    if (AnswerCounters *evidence = countersOf(*attempt.upstream))
        evidence->addBad();
    if (!isOpen())
        return;
    if (m_spec.acceptsFailureReply)
        m_failureReply = std::move(reply);
    continueAfterFailure();
}

void ServiceCall::onFailure(ExchangeId id, ExchangeFailure failure)
{
    const Attempt attempt = takeAttempt(id);
    if (!attempt.upstream)
        return;
    note(stepOf(failure), attempt.upstream.get());
    attempt.upstream->noteFailure(m_context.timers.now());
    if (failure == ExchangeFailure::NotSent) {
        --m_mayHaveRun;
        --m_arrivals;
        std::erase(m_tried, attempt.upstream.get());
    } else if (AnswerCounters *evidence = countersOf(*attempt.upstream)) {
        evidence->addBad();
    }
    if (isOpen())
        continueAfterFailure();
}

AnswerCounters *ServiceCall::countersOf(const Upstream &upstream) const
{
    const VersionDivision &division = m_spec.service->division;
    const auto &evidence = upstream.version() == division.version ? division.versionCounters
                                                                  : division.otherCounters;
    if (!evidence)
        return nullptr;
    const RequestKind kind =
            m_spec.kind == RouteKind::Idempotent ? RequestKind::Search : RequestKind::Book;
    return &evidence->routes[static_cast<std::size_t>(kind)];
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
        note(TraceStep::TimedOut, attempt.upstream.get());
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
    for (TimerId *timer : {&m_hedgeTimer, &m_roomTimer, &m_deadlineTimer})
        if (*timer != 0)
            m_context.timers.cancel(std::exchange(*timer, 0));
}

} // namespace geraniumcart
