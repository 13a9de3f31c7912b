#pragma once

#include <chrono>
#include <cstdint>
#include <functional>

namespace geraniumcart {

using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;
using WallTime = std::chrono::system_clock::time_point;
using TimerId = std::uint64_t;

/// Time and timers. Every part that waits subscribes here, so that tests can drive it with
/// ManualTimerService. An instance belongs to one thread; only now() and wallNow() may be called
/// from others.
class TimerService
{
public:
    virtual ~TimerService() = default;

    /// Monotonic time.
    virtual TimePoint now() const = 0;
    /// Calendar time; may jump.
    virtual WallTime wallNow() const = 0;
    /// Calls @p callback once, after @p delay; a delay of zero or less runs it on the next turn.
    /// @return an id for cancel(), never 0.
    virtual TimerId schedule(Duration delay, std::function<void()> callback) = 0;
    /// Drops a timer. An id that has already fired or was cancelled is ignored.
    virtual void cancel(TimerId id) = 0;
};

} // namespace geraniumcart
