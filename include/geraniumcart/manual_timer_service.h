#pragma once

#include <geraniumcart/timer_service.h>

#include <map>

namespace geraniumcart {

/// Timer service for tests, whose time advances only when the test calls advance().
class ManualTimerService final : public TimerService
{
public:
    TimePoint now() const override { return m_now; }
    WallTime wallNow() const override { return m_wallNow; }
    TimerId schedule(Duration delay, std::function<void()> callback) override;
    void cancel(TimerId id) override;

    /// Advances both clocks by @p step and runs the timers that become due, in order of their due
    /// times.
    void advance(Duration step);
    /// Moves only the calendar clock, as a clock correction does.
    void shiftWall(Duration step) { m_wallNow += step; }
    /// Number of timers that have not fired.
    std::size_t pending() const { return m_timers.size(); }

private:
    struct Key
    {
        TimePoint due;
        TimerId id;
        auto operator<=>(const Key &) const = default;
    };

    TimePoint m_now{std::chrono::hours(1)};
    WallTime m_wallNow{std::chrono::hours(24 * 365 * 50)};
    TimerId m_lastId = 0;
    std::map<Key, std::function<void()>> m_timers;
};

} // namespace geraniumcart
