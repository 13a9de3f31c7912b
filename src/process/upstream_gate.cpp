#include <geraniumcart/upstream_gate.h>

#include <algorithm>
#include <cmath>

namespace geraniumcart {

namespace {

/// A searcher that shed load this recently counts as shedding.
constexpr Duration ShedMemory = std::chrono::seconds(1);
/// An answer counts as slow beyond this multiple of the usual latency plus SlowAnswerFloor.
constexpr int SlowAnswerFactor = 3;
constexpr Duration SlowAnswerFloor = std::chrono::milliseconds(5);
/// Slow answers in a row that make a latency jump. One answer in 100 may be a straggler of a warm
/// searcher, so that two in a row are rare without a cause.
constexpr std::uint32_t SlowAnswersOfJump = 2;
/// Weight of one sample in the usual latency is 1 / UsualLatencySmoothing.
constexpr int UsualLatencySmoothing = 32;
/// Smallest cold bound, in requests a second; keeps intervals finite.
constexpr double MinColdRate = 0.01;
/// Doublings beyond this leave the bound without effect.
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
    // The count in a window is a whole number for each sender, so the fraction is left unused.
    if (rate >= 1)
        return {std::floor(rate), ColdWindow};
    return {1, std::chrono::duration_cast<Duration>(ColdWindow / rate)};
}

TimePoint UpstreamGate::nextAllowed(TimePoint now) const
{
    if (!isCold(now))
        return now;
    const Pace pace = coldPace(now);
    // Evenly spaced, dispatches + 1 requests span more than the window plus the margin.
    const auto interval = std::chrono::duration_cast<Duration>((pace.window + ColdArrivalMargin) /
                                                               pace.dispatches);
    TimePoint next = now;
    if (m_lastDispatch)
        next = std::max(next, *m_lastDispatch + interval);
    // The last request may have arrived as late as its end.
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
    // A request sent just before may arrive after the restart and counts towards the bound.
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
    if (m_slowAnswers < SlowAnswersOfJump || !m_lastShed || now - *m_lastShed > ShedMemory)
        return false;
    becomeCold(now);
    return true;
}

} // namespace geraniumcart
