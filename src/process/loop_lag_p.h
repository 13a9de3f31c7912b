#pragma once

#include <geraniumcart/timer_service.h>

#include <functional>

namespace geraniumcart {

/// Measures how late a worker's timers fire, to detect that the worker has more work than its share
/// of the processor allows. Used on that worker's thread only.
class LoopLag
{
public:
    /// Interval between two measurements.
    static constexpr std::chrono::milliseconds Interval{50};

    /// @param changed called on the worker's thread when it becomes busy or is no longer busy
    LoopLag(TimerService &timers, std::function<void(bool isBusy)> changed)
        : m_timers(timers)
        , m_changed(std::move(changed))
    {
    }

    /// Schedules the next measurement; each measurement schedules another one.
    void start();
    bool isBusy() const { return m_isBusy; }

private:
    void measure(TimePoint due);

    TimerService &m_timers;
    std::function<void(bool)> m_changed;
    Duration m_smoothed{};
    TimePoint m_busyUntil{};
    bool m_isBusy = false;
};

} // namespace geraniumcart
