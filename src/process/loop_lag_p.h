#pragma once

#include <geraniumcart/timer_service.h>

#include <functional>

namespace geraniumcart {

/// Tells whether a worker has more to do than its processor share allows, by how late its timers
/// fire. Belongs to the worker.
class LoopLag
{
public:
    /// Interval between two measurements.
    static constexpr std::chrono::milliseconds Interval{50};

    /// @param changed called when the worker becomes busy or stops being so
    LoopLag(TimerService &timers, std::function<void(bool isBusy)> changed)
        : m_timers(timers)
        , m_changed(std::move(changed))
    {
    }

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
