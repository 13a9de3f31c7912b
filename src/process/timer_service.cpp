#include <geraniumcart/timer_service.h>

#include <memory>
#include <utility>

namespace geraniumcart {

namespace {

void repeat(TimerService &timers, Duration interval,
            const std::shared_ptr<const std::function<void()>> &callback)
{
    timers.schedule(interval, [&timers, interval, callback] {
        repeat(timers, interval, callback);
        (*callback)();
    });
}

} // namespace

void TimerService::scheduleEvery(Duration interval, std::function<void()> callback)
{
    repeat(*this, interval, std::make_shared<const std::function<void()>>(std::move(callback)));
}

} // namespace geraniumcart
