#include "connection/searcher_pool_p.h"

#include "connection/endpoint_p.h"

#include <geraniumcart/config.h>
#include <geraniumcart/invariants.h>

#include <algorithm>

namespace geraniumcart {

using namespace std::chrono_literals;

namespace {

/// Connections that are kept open in addition to one for each slot, for cancellations and as a
/// replacement for a lost connection.
constexpr std::uint32_t SpareConnections = 1;
/// Maximum number of sub-requests that wait for one searcher. Beyond it, a replica is the better
/// choice.
constexpr std::size_t MaxWaiting = 256;
/// Delay after the first failed connection attempt; doubles with each further failure.
constexpr Duration ConnectBackoffMin = 50ms;
constexpr Duration ConnectBackoffMax = 2s;
constexpr std::uint32_t MaxBackoffDoublings = 6;
/// A searcher without traffic is asked for its state at this interval, so that draining and new
/// index versions are known within a few seconds, as required.
constexpr Duration ProbeInterval = 2s;

} // namespace

SearcherPool::SearcherPool(const Context &context, std::shared_ptr<UpstreamState> state,
                           const SearcherLimits &limits, const UpstreamGate::Share &share)
    : m_context(context)
    , m_state(std::move(state))
    , m_gate(limits)
    , m_endpoint(parseEndpoint(m_state->address()))
{
    m_gate.setShare(share);
    m_gate.adoptWarmState(m_state->warmBootId());
    proceed(m_context.timers.now());
}

SearcherPool::~SearcherPool()
{
    m_context.timers.cancel(m_timer);
    for (const auto &link : m_links)
        link->connection->close();
}

void SearcherPool::configure(const SearcherLimits &limits, const UpstreamGate::Share &share)
{
    m_gate.setLimits(limits);
    m_gate.setShare(share);
    proceed(m_context.timers.now());
}

void SearcherPool::submit(PoolRequest request)
{
    const TimePoint now = m_context.timers.now();
    if (m_isRetiring || m_state->isDraining()) {
        fail(request, SubRequestFailure::NotSent);
        return;
    }
    if (!m_endpoint || (m_connectFailures > 0 && !isEstablished())) {
        fail(request, SubRequestFailure::ConnectFailed);
        return;
    }
    if (m_waiting.empty() && tryStart(request, now))
        return;
    if (m_waiting.size() >= MaxWaiting) {
        fail(request, SubRequestFailure::NoCapacity);
        return;
    }
    wakeAt(request.deadline - MinRemaining);
    const TimePoint deadline = request.deadline;
    m_waiting.emplace(deadline, std::move(request));
}

void SearcherPool::cancel(SubRequestId id)
{
    const auto waiting = std::find_if(m_waiting.begin(), m_waiting.end(),
                                      [id](const auto &entry) { return entry.second.id == id; });
    if (waiting != m_waiting.end()) {
        fail(waiting->second, SubRequestFailure::Cancelled);
        m_waiting.erase(waiting);
        return;
    }
    const auto busy = std::find_if(m_links.begin(), m_links.end(), [id](const auto &link) {
        return link->state == LinkState::Busy && link->request.id == id && link->request.listener;
    });
    if (busy == m_links.end())
        return;
    fail((*busy)->request, SubRequestFailure::Cancelled);
    Link *idle = idleLink();
    if (idle && sendControl(*idle, UpstreamCall::Cancel, id, m_context.timers.now()))
        m_context.counters.cancels.fetch_add(1, std::memory_order_relaxed);
}

void SearcherPool::retire()
{
    m_isRetiring = true;
    failWaiting(SubRequestFailure::NotSent);
    std::erase_if(m_links, [](const auto &link) {
        if (link->state != LinkState::Busy)
            link->connection->close();
        return link->state != LinkState::Busy;
    });
}

SearcherPool::Link &SearcherPool::linkOf(const SearcherConnection &connection)
{
    return **std::find_if(m_links.begin(), m_links.end(), [&connection](const auto &link) {
        return link->connection.get() == &connection;
    });
}

SearcherPool::Link *SearcherPool::idleLink()
{
    for (const auto &link : m_links)
        if (link->state == LinkState::Idle)
            return link.get();
    return nullptr;
}

void SearcherPool::removeLink(const Link &link)
{
    std::erase_if(m_links, [&link](const auto &other) { return other.get() == &link; });
}

bool SearcherPool::isEstablished() const
{
    return std::any_of(m_links.begin(), m_links.end(), [](const auto &link) {
        return link->hasAnswered || link->state == LinkState::Idle;
    });
}

void SearcherPool::proceed(TimePoint now)
{
    dispatchWaiting(now);
    maintainConnections(now);
    probeIfDue(now);
}

void SearcherPool::dispatchWaiting(TimePoint now)
{
    while (!m_waiting.empty()) {
        const auto first = m_waiting.begin();
        if (!tryStart(first->second, now))
            return;
        m_waiting.erase(first);
    }
}

bool SearcherPool::tryStart(PoolRequest &request, TimePoint now)
{
    while (true) {
        if (request.deadline - now <= MinRemaining) {
            fail(request, SubRequestFailure::NoCapacity);
            return true;
        }
        Link *link = idleLink();
        if (!link)
            return false;
        switch (m_gate.tryDispatch(now)) {
        case UpstreamGate::Decision::WaitForSlot:
            return false;
        case UpstreamGate::Decision::WaitForWarmUp:
            wakeAt(m_gate.nextAllowed(now));
            return false;
        case UpstreamGate::Decision::Dispatch:
            break;
        }
        checkInvariant(Invariant::ColdBound, !m_gate.isCold(now) || m_gate.running() == 1,
                       "more than one request in flight at a cold searcher");
        checkInvariant(Invariant::LeavingUpstream, !m_isRetiring && !m_state->isDraining(),
                       "dispatch to a searcher that drains or was removed");
        const UpstreamMessage message{
                request.kind == RequestKind::Book ? UpstreamCall::Book : UpstreamCall::Search,
                request.id,
                request.shard,
                request.indexVersion,
                request.deadline - now,
                request.body,
        };
        if (!link->connection->start(message)) {
            // No byte was accepted, so the request can be sent on another connection.
            m_gate.finish(now);
            m_mayHaveRestarted = true;
            removeLink(*link);
            maintainConnections(now);
            continue;
        }
        link->state = LinkState::Busy;
        link->since = now;
        link->answersAtStart = m_answers;
        link->request = std::move(request);
        link->request.wasWritten = true;
        wakeAt(std::min(link->request.deadline, earlySilenceTime(*link)));
        return true;
    }
}

void SearcherPool::maintainConnections(TimePoint now)
{
    if (m_isRetiring || !m_endpoint)
        return;
    const std::size_t wanted =
            std::min(m_gate.connectionShare(), m_gate.slotShare() + SpareConnections);
    while (m_links.size() > wanted) {
        Link *link = idleLink();
        if (!link)
            return;
        link->connection->close();
        removeLink(*link);
    }
    while (m_links.size() < wanted) {
        if (now < m_nextConnect) {
            wakeAt(m_nextConnect);
            return;
        }
        auto link = std::make_unique<Link>();
        link->connection = std::make_shared<SearcherConnection>(m_context.io, m_state->address(),
                                                                m_context.openAnswers, *this);
        link->since = now;
        link->connection->open(*m_endpoint);
        m_links.push_back(std::move(link));
        m_context.counters.connectionsOpened.fetch_add(1, std::memory_order_relaxed);
        wakeAt(now + ConnectTimeout);
    }
}

void SearcherPool::recordConnectFailure(TimePoint now)
{
    // Connections that are opened together usually fail together, so their failures count as one.
    if (now >= m_nextConnect) {
        const std::uint32_t doublings = std::min(m_connectFailures, MaxBackoffDoublings);
        m_nextConnect = now + std::min(ConnectBackoffMin * (1U << doublings), ConnectBackoffMax);
        ++m_connectFailures;
    }
    if (!isEstablished()) {
        m_state->recordFailure();
        failWaiting(SubRequestFailure::ConnectFailed);
    }
}

bool SearcherPool::sendControl(Link &link, UpstreamCall call, SubRequestId id, TimePoint now)
{
    UpstreamMessage message;
    message.call = call;
    message.id = id;
    if (!link.connection->start(message)) {
        removeLink(link);
        m_mayHaveRestarted = true;
        maintainConnections(now);
        return false;
    }
    link.state = LinkState::Control;
    link.since = now;
    link.call = call;
    if (call == UpstreamCall::Info) {
        m_lastProbe = now;
        m_context.counters.infoRequests.fetch_add(1, std::memory_order_relaxed);
    }
    wakeAt(now + ControlTimeout);
    return true;
}

void SearcherPool::probeIfDue(TimePoint now)
{
    if (m_isRetiring)
        return;
    // An unanswered probe is not repeated before the next interval, so that probes do not occupy
    // the connections that sub-requests need.
    const TimePoint due = std::max(m_lastAnswerTime, m_lastProbe) + ProbeInterval;
    if (now < due) {
        wakeAt(due);
        return;
    }
    wakeAt(now + ProbeInterval);
    if (Link *link = idleLink())
        sendControl(*link, UpstreamCall::Info, 0, now);
}

void SearcherPool::onOpen(SearcherConnection &connection)
{
    const TimePoint now = m_context.timers.now();
    Link &link = linkOf(connection);
    // Each connection belongs to one process of the searcher. Requesting its Boot-Id first reveals
    // a restart before any sub-request is sent on the connection.
    if (!m_skipsProbe) {
        sendControl(link, UpstreamCall::Info, 0, now);
        return;
    }
    link.state = LinkState::Idle;
    link.since = now;
    proceed(now);
}

void SearcherPool::onOpenFailed(SearcherConnection &connection, bool wasRefused)
{
    const TimePoint now = m_context.timers.now();
    removeLink(linkOf(connection));
    // A searcher that refuses a connection but answers on others has reached its connection limit
    // and has not restarted.
    if (wasRefused && !isEstablished())
        becomeCold(now);
    recordConnectFailure(now);
    proceed(now);
}

void SearcherPool::onAnswer(SearcherConnection &connection, UpstreamAnswer &answer, bool isLast)
{
    const TimePoint now = m_context.timers.now();
    Link &link = linkOf(connection);
    ++m_answers;
    m_lastAnswerTime = now;
    m_connectFailures = 0;
    link.hasAnswered = true;
    if (link.state == LinkState::Busy) {
        handleSubRequestAnswer(link, answer, now);
    } else if (link.call == UpstreamCall::Info) {
        m_context.counters.infoAnswers.fetch_add(1, std::memory_order_relaxed);
        m_skipsProbe = false;
        applySearcherState(answer, now);
    }
    link.state = LinkState::Idle;
    link.since = now;
    if (isLast || m_isRetiring) {
        connection.close();
        removeLink(link);
    }
    proceed(now);
}

void SearcherPool::handleSubRequestAnswer(Link &link, UpstreamAnswer &answer, TimePoint now)
{
    m_gate.finish(now);
    applySearcherState(answer, now);
    const bool wasCold = m_gate.isCold(now);
    const Duration latency = now - link.since;
    if (answer.status == 200) {
        m_state->recordLatency(latency);
        m_state->recordSuccess();
        m_gate.observeAnswer(now, latency);
    } else {
        m_state->recordFailure();
        if (answer.status == 503)
            m_gate.observeShed(now);
    }
    recordColdStart(wasCold, now);

    PoolRequest request = std::move(link.request);
    if (!request.listener) {
        if (answer.status == 200)
            m_context.counters.lateAnswers.fetch_add(1, std::memory_order_relaxed);
        return;
    }
    if (answer.status == 503 && answer.isNotRun) {
        fail(request, SubRequestFailure::Refused);
    } else if (answer.status != 200) {
        fail(request, SubRequestFailure::Failed);
    } else {
        checkInvariant(Invariant::OwnAnswer, answer.requestId == request.id,
                       "received an answer to another sub-request");
        SubRequestAnswer end{request.id,       request.shard,          answer.indexVersion,
                             answer.documents, std::move(answer.body), latency};
        m_context.poolListener.onAnswered(std::move(request), std::move(end));
    }
}

void SearcherPool::applySearcherState(const UpstreamAnswer &answer, TimePoint now)
{
    const bool wasCold = m_gate.isCold(now);
    if (answer.bootId)
        m_gate.observeBoot(*answer.bootId, now);
    else if (m_mayHaveRestarted)
        m_gate.becomeCold(now);
    m_mayHaveRestarted = false;
    recordColdStart(wasCold, now);
    if (answer.served)
        m_state->setServed(*answer.served);
    // Only a successful answer without the header field Draining proves that draining has ended.
    if (answer.isDraining) {
        m_state->setDraining(true);
        failWaiting(SubRequestFailure::NotSent);
    } else if (answer.status == 200) {
        m_state->setDraining(false);
    }
}

void SearcherPool::onLost(SearcherConnection &connection, ConnectionLoss loss)
{
    const TimePoint now = m_context.timers.now();
    Link &link = linkOf(connection);
    if (loss == ConnectionLoss::Malformed)
        m_context.counters.malformedAnswers.fetch_add(1, std::memory_order_relaxed);
    if (link.state == LinkState::Busy) {
        m_gate.finish(now);
        if (link.request.listener) {
            m_state->recordFailure();
            fail(link.request, loss == ConnectionLoss::Malformed
                                       ? SubRequestFailure::Malformed
                                       : SubRequestFailure::ConnectionLost);
        }
    }
    // An idle connection that is closed without an error may have reached the searcher's idle
    // timeout. The Boot-Id on the replacement connection shows whether the searcher restarted.
    if (loss == ConnectionLoss::Reset ||
        (loss == ConnectionLoss::Closed && link.state == LinkState::Busy))
        becomeCold(now);
    m_mayHaveRestarted = true;
    const bool hadAnswered = link.hasAnswered;
    removeLink(link);
    // Without this backoff, a searcher that accepts connections and closes them immediately would
    // be connected to in a tight loop.
    if (!hadAnswered)
        recordConnectFailure(now);
    proceed(now);
}

void SearcherPool::becomeCold(TimePoint now)
{
    const bool wasCold = m_gate.isCold(now);
    m_gate.becomeCold(now);
    recordColdStart(wasCold, now);
}

void SearcherPool::recordColdStart(bool wasCold, TimePoint now)
{
    if (!wasCold && m_gate.isCold(now))
        m_context.counters.coldStarts.fetch_add(1, std::memory_order_relaxed);
    publishCold(now);
}

void SearcherPool::publishCold(TimePoint now)
{
    const bool isCold = m_gate.isCold(now);
    m_state->setWarmBootId(isCold ? 0 : m_gate.bootId());
    m_state->setCold(isCold);
    if (isCold)
        wakeAt(m_gate.coldUntil());
}

void SearcherPool::fail(PoolRequest &request, SubRequestFailure failure)
{
    checkInvariant(Invariant::TrueNotRun,
                   !request.wasWritten || failure == SubRequestFailure::Refused ||
                           !isProvenNotRun(failure),
                   "a sub-request that was written ended as not run");
    // For a request in flight, the link keeps a copy with the id, which identifies a late answer.
    PoolRequest ended = request;
    request.listener = nullptr;
    m_context.poolListener.onFailed(std::move(ended), failure);
}

void SearcherPool::failWaiting(SubRequestFailure failure)
{
    for (auto &[deadline, request] : m_waiting)
        fail(request, failure);
    m_waiting.clear();
}

} // namespace geraniumcart
