#pragma once

#include <chrono>
#include <cstdint>
#include <functional>

namespace geraniumcart {

using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;
using WallTime = std::chrono::system_clock::time_point;
using TimerId = std::uint64_t;

/// Clocks and timers. All code that waits does so through this interface, so that tests can drive
/// it with ManualTimerService. An instance belongs to one thread; only now() and wallNow() may be
/// called from other threads.
class TimerService
{
public:
    virtual ~TimerService() = default;

    /// Monotonic time.
    virtual TimePoint now() const = 0;
    /// Calendar time; may jump forwards or backwards.
    virtual WallTime wallNow() const = 0;
    /// Calls @p callback once, after @p delay. With a delay of zero or less it runs in the next
    /// iteration of the event loop.
    /// @return id of the timer for cancel(), never 0
    virtual TimerId schedule(Duration delay, std::function<void()> callback) = 0;
    /// Calls @p callback each time that @p interval has passed, for as long as the service exists.
    /// The next call is scheduled before the callback runs, so that one that throws is not the last
    /// one.
    void scheduleEvery(Duration interval, std::function<void()> callback);
    /// Cancels a timer. The id of a timer that has fired or was cancelled is ignored.
    virtual void cancel(TimerId id) = 0;
};

} // namespace geraniumcart
