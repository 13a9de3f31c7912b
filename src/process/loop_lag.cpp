#include "process/loop_lag_p.h"

#include <algorithm>

namespace geraniumcart {

namespace {

/// Weight of a new sample in the smoothed lateness.
constexpr int SmoothingDivisor = 4;
/// A single pause of the process counts for no more than this.
constexpr std::chrono::milliseconds LargestSample{200};
/// Lateness that costs a request of a short objective a fifth of its 50 ms.
constexpr std::chrono::milliseconds BusyLag{10};
/// A worker counts as busy for at least this long, so that callers are not moved back and forth.
constexpr std::chrono::seconds BusyTime{4};

} // namespace

void LoopLag::start()
{
    const TimePoint due = m_timers.now() + Interval;
    m_timers.schedule(Interval, [this, due] { measure(due); });
}

void LoopLag::measure(TimePoint due)
{
    const TimePoint now = m_timers.now();
    const Duration lag = std::clamp<Duration>(now - due, Duration::zero(), LargestSample);
    m_smoothed += (lag - m_smoothed) / SmoothingDivisor;
    if (m_smoothed > BusyLag)
        m_busyUntil = now + BusyTime;
    const bool isBusy = now < m_busyUntil;
    if (isBusy != m_isBusy) {
        m_isBusy = isBusy;
        m_changed(isBusy);
    }
    start();
}

} // namespace geraniumcart
