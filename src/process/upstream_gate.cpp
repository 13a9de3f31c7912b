#include <geraniumcart/upstream_gate.h>

#include <algorithm>
#include <cmath>

namespace geraniumcart {

namespace {

/// Time for which a searcher counts as shedding after it shed a request.
constexpr Duration RecentShedTime = std::chrono::seconds(1);
/// An answer is slow if its latency exceeds this multiple of the usual latency plus
/// SlowAnswerFloor.
constexpr int SlowAnswerFactor = 3;
constexpr Duration SlowAnswerFloor = std::chrono::milliseconds(5);
/// Number of consecutive slow answers that counts as a jump in latency. One answer in 100 of a warm
/// searcher may be a straggler, so that two in a row are rare unless the searcher has slowed down.
constexpr std::uint32_t SlowAnswersInJump = 2;
/// Weight of one sample in the usual latency is 1 / UsualLatencySmoothing.
constexpr int UsualLatencySmoothing = 32;
/// Smallest cold rate in requests per second; keeps intervals finite.
constexpr double MinColdRate = 0.01;
/// Maximum number of doublings of the cold rate; after that many it is too high to limit requests.
constexpr Duration::rep MaxDoublings = 30;

} // namespace

std::uint32_t UpstreamGate::slotShare() const
{
    return std::max(1U, m_limits.slots / std::max(1U, m_share.senders));
}

std::uint32_t UpstreamGate::connectionShare() const
{
    return std::max(1U, m_limits.connections / std::max(1U, m_share.senders));
}

bool UpstreamGate::isCold(TimePoint now) const
{
    return now < coldUntil();
}

TimePoint UpstreamGate::coldUntil() const
{
    return m_firstAnswer ? *m_firstAnswer + m_limits.warmUp : TimePoint::max();
}

UpstreamGate::Pace UpstreamGate::coldPace(TimePoint now) const
{
    double rate = m_limits.coldRequestsPerSecond / std::max(1U, m_share.senders);
    if (m_share.isQuarantined)
        rate /= 2;
    if (m_firstAnswer && m_limits.coldDoubling > Duration::zero()) {
        const Duration::rep doublings = (now - *m_firstAnswer) / m_limits.coldDoubling;
        rate = std::ldexp(rate,
                          static_cast<int>(std::clamp<Duration::rep>(doublings, 0, MaxDoublings)));
    }
    rate = std::max(rate, MinColdRate);
    // A sender can only send an integer number of requests in a window, so the fraction is not
    // used.
    if (rate >= 1)
        return {std::floor(rate), ColdWindow};
    return {1, std::chrono::duration_cast<Duration>(ColdWindow / rate)};
}

TimePoint UpstreamGate::nextAllowed(TimePoint now) const
{
    if (!isCold(now))
        return now;
    const Pace pace = coldPace(now);
    // With this spacing, dispatches + 1 requests span at least the window plus the margin.
    const auto interval = std::chrono::duration_cast<Duration>((pace.window + ColdArrivalMargin) /
                                                               pace.dispatches);
    TimePoint next = now;
    if (m_lastDispatch)
        next = std::max(next, *m_lastDispatch + interval);
    // The last request may have arrived at the searcher as late as the time at which it ended.
    if (m_lastFinish)
        next = std::max(next, *m_lastFinish + interval - ColdArrivalMargin);
    return next;
}

UpstreamGate::Decision UpstreamGate::tryDispatch(TimePoint now)
{
    if (!isCold(now)) {
        if (m_running >= slotShare())
            return Decision::WaitForSlot;
        ++m_running;
        return Decision::Dispatch;
    }
    if (m_running > 0)
        return Decision::WaitForSlot;
    if (nextAllowed(now) > now)
        return Decision::WaitForWarmUp;
    m_lastDispatch = now;
    ++m_running;
    return Decision::Dispatch;
}

void UpstreamGate::finish(TimePoint now)
{
    --m_running;
    m_lastFinish = now;
}

bool UpstreamGate::observeBoot(std::uint64_t bootId, TimePoint now)
{
    const bool changed = m_bootId && *m_bootId != bootId;
    if (!m_bootId && bootId == m_warmBootId && !m_firstAnswer)
        m_firstAnswer = now - m_limits.warmUp;
    m_warmBootId = 0;
    m_bootId = bootId;
    if (changed)
        becomeCold(now);
    return changed;
}

void UpstreamGate::becomeCold(TimePoint now)
{
    m_warmBootId = 0;
    m_firstAnswer.reset();
    m_lastShed.reset();
    m_slowAnswers = 0;
    // A request that was sent just before may arrive after the restart, and then counts towards the
    // cold bound.
    m_lastDispatch = now;
}

bool UpstreamGate::observeAnswer(TimePoint now, Duration latency)
{
    if (!m_firstAnswer)
        m_firstAnswer = now;
    if (m_usualLatency == Duration::zero())
        m_usualLatency = latency;
    if (latency > m_usualLatency * SlowAnswerFactor + SlowAnswerFloor)
        ++m_slowAnswers;
    else
        m_slowAnswers = 0;
    m_usualLatency += (latency - m_usualLatency) / UsualLatencySmoothing;
    return becomeColdIfShedding(now);
}

bool UpstreamGate::observeShed(TimePoint now)
{
    m_lastShed = now;
    return becomeColdIfShedding(now);
}

bool UpstreamGate::becomeColdIfShedding(TimePoint now)
{
    if (m_slowAnswers < SlowAnswersInJump || !m_lastShed || now - *m_lastShed > RecentShedTime)
        return false;
    becomeCold(now);
    return true;
}

} // namespace geraniumcart
