// Timeouts of a pool: deadlines of sub-requests, and links on which no answer arrives.

#include "connection/searcher_pool_p.h"

#include <geraniumcart/config.h>

#include <algorithm>

namespace geraniumcart {

using namespace std::chrono_literals;

namespace {

/// A link counts as silent early after this multiple of the usual latency, but not before
/// EarlySilenceFloor: one answer in 100 of a healthy searcher takes 200 ms.
constexpr int SilenceLatencyFactor = 16;
constexpr Duration EarlySilenceFloor = 400ms;
/// Number of answers on other links that prove that the searcher itself makes progress.
constexpr std::uint64_t MinProgressAnswers = 8;
/// Maximum time for which one exchange occupies a connection, even if its deadline is later.
constexpr Duration MaxExchangeDuration = 10s;

} // namespace

TimePoint SearcherPool::earlySilenceTime(const Link &link) const
{
    return link.since + std::max(EarlySilenceFloor, m_state->latency() * SilenceLatencyFactor);
}

TimePoint SearcherPool::latestSilenceTime(const Link &link) const
{
    switch (link.state) {
    case LinkState::Connecting:
        return link.since + ConnectTimeout;
    case LinkState::Control:
        return link.since + ControlTimeout;
    case LinkState::Busy:
        return std::min(link.since + MaxExchangeDuration, link.request.deadline + SilenceBound);
    case LinkState::Idle:
        break;
    }
    return TimePoint::max();
}

void SearcherPool::wakeAt(TimePoint time)
{
    if (time >= m_wakeAt)
        return;
    m_context.timers.cancel(m_timer);
    m_wakeAt = time;
    m_timer = m_context.timers.schedule(time - m_context.timers.now(), [this] { onTimer(); });
}

void SearcherPool::onTimer()
{
    m_wakeAt = TimePoint::max();
    const TimePoint now = m_context.timers.now();
    while (!m_waiting.empty() && m_waiting.begin()->first - now <= MinRemaining) {
        fail(m_waiting.begin()->second, SubRequestFailure::NoCapacity);
        m_waiting.erase(m_waiting.begin());
    }
    checkLinks(now);
    publishCold(now);
    proceed(now);
    if (!m_waiting.empty())
        wakeAt(m_waiting.begin()->first - MinRemaining);
}

void SearcherPool::checkLinks(TimePoint now)
{
    std::vector<Link *> silent;
    for (const auto &link : m_links) {
        const TimePoint latest = latestSilenceTime(*link);
        if (now >= latest) {
            silent.push_back(link.get());
            continue;
        }
        if (latest != TimePoint::max())
            wakeAt(latest);
        if (link->state != LinkState::Busy)
            continue;
        if (link->request.listener && now >= link->request.deadline) {
            m_state->recordFailure();
            fail(link->request, SubRequestFailure::TimedOut);
        }
        if (link->request.listener)
            wakeAt(link->request.deadline);
        // A booking cannot be repeated, so its connection is not closed early.
        if (link->request.kind == RequestKind::Book)
            continue;
        if (now < earlySilenceTime(*link))
            wakeAt(earlySilenceTime(*link));
        else if (m_answers - link->answersAtStart >= MinProgressAnswers)
            silent.push_back(link.get());
        else
            wakeAt(now + EarlySilenceFloor);
    }
    for (Link *link : silent) {
        const LinkState state = link->state;
        link->connection->close();
        if (state == LinkState::Busy) {
            m_gate.finish(now);
            if (link->request.listener) {
                m_state->recordFailure();
                fail(link->request, now >= link->request.deadline
                                            ? SubRequestFailure::TimedOut
                                            : SubRequestFailure::ConnectionLost);
            }
        }
        if (state == LinkState::Control && !link->hasAnswered) {
            // Some searchers serve requests but leave GET /info unanswered. Without its Boot-Id,
            // the next connection may belong to a new process.
            m_skipsProbe = true;
            becomeCold(now);
        }
        removeLink(*link);
        if (state == LinkState::Connecting)
            recordConnectFailure(now);
        else
            m_context.counters.silentConnections.fetch_add(1, std::memory_order_relaxed);
    }
}

} // namespace geraniumcart
