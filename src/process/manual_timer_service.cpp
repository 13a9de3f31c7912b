#include <geraniumcart/manual_timer_service.h>

#include <algorithm>

namespace geraniumcart {

TimerId ManualTimerService::schedule(Duration delay, std::function<void()> callback)
{
    const TimerId id = ++m_lastId;
    m_timers.emplace(Key{m_now + std::max(delay, Duration::zero()), id}, std::move(callback));
    return id;
}

void ManualTimerService::cancel(TimerId id)
{
    std::erase_if(m_timers, [id](const auto &timer) { return timer.first.id == id; });
}

void ManualTimerService::advance(Duration step)
{
    const TimePoint end = m_now + step;
    while (!m_timers.empty() && m_timers.begin()->first.due <= end) {
        auto timer = m_timers.extract(m_timers.begin());
        const Duration elapsed = timer.key().due - m_now;
        m_now += elapsed;
        m_wallNow += elapsed;
        timer.mapped()();
    }
    m_wallNow += end - m_now;
    m_now = end;
}

} // namespace geraniumcart
