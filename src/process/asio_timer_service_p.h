#pragma once

#include <geraniumcart/timer_service.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <unordered_map>

namespace geraniumcart {

/// Timer service on one io_context. All timers share one Asio timer, so that a cancelled timer
/// costs no system call.
class AsioTimerService final : public TimerService
{
public:
    explicit AsioTimerService(boost::asio::io_context &context)
        : m_timer(context)
    {
    }

    TimePoint now() const override { return std::chrono::steady_clock::now(); }
    WallTime wallNow() const override { return std::chrono::system_clock::now(); }
    TimerId schedule(Duration delay, std::function<void()> callback) override;
    void cancel(TimerId id) override;

private:
    struct Key
    {
        TimePoint due;
        TimerId id;
        auto operator<=>(const Key &) const = default;
    };

    /// Makes the Asio timer wait for the earliest timer.
    void arm();
    /// Runs the timers that are due, then arms the Asio timer again, also if a callback throws.
    void fire();
    void runDue();

    boost::asio::steady_timer m_timer;
    std::map<Key, std::function<void()>> m_timers;
    std::unordered_map<TimerId, TimePoint> m_dueById;
    TimerId m_lastId = 0;
    /// Due time for which the Asio timer waits; max() while it does not wait.
    TimePoint m_armedFor = TimePoint::max();
};

} // namespace geraniumcart
