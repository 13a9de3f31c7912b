#include "process/loop_lag_p.h"

#include <algorithm>

namespace geraniumcart {

namespace {

/// Weight of one sample in the smoothed lag is 1 / SmoothingDivisor.
constexpr int SmoothingDivisor = 4;
/// Longer samples are clamped to this, which bounds the effect of a single pause of the process.
constexpr std::chrono::milliseconds MaxLagSample{200};
/// A worker with more smoothed lag than this is busy. The lag takes a fifth of the 50 ms in which
/// requests with a short latency objective have to be answered.
constexpr std::chrono::milliseconds BusyLagThreshold{10};
/// Minimum time for which a worker counts as busy, so that callers are not moved back and forth.
constexpr std::chrono::seconds MinBusyTime{4};

} // namespace

void LoopLag::start()
{
    const TimePoint due = m_timers.now() + Interval;
    m_timers.schedule(Interval, [this, due] { measure(due); });
}

void LoopLag::measure(TimePoint due)
{
    const TimePoint now = m_timers.now();
    start();
    const Duration lag = std::clamp<Duration>(now - due, Duration::zero(), MaxLagSample);
    m_smoothed += (lag - m_smoothed) / SmoothingDivisor;
    if (m_smoothed > BusyLagThreshold)
        m_busyUntil = now + MinBusyTime;
    const bool isBusy = now < m_busyUntil;
    if (isBusy != m_isBusy) {
        m_isBusy = isBusy;
        m_changed(isBusy);
    }
}

} // namespace geraniumcart
