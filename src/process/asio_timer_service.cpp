#include "process/asio_timer_service_p.h"

#include <algorithm>

namespace geraniumcart {

TimerId AsioTimerService::schedule(Duration delay, std::function<void()> callback)
{
    const TimerId id = ++m_lastId;
    const TimePoint due = now() + std::max(delay, Duration::zero());
    m_timers.emplace(Key{due, id}, std::move(callback));
    m_dueById.emplace(id, due);
    if (due < m_armedFor)
        arm();
    return id;
}

void AsioTimerService::cancel(TimerId id)
{
    const auto found = m_dueById.find(id);
    if (found == m_dueById.end())
        return;
    m_timers.erase(Key{found->second, id});
    m_dueById.erase(found);
}

void AsioTimerService::arm()
{
    if (m_timers.empty()) {
        m_armedFor = TimePoint::max();
        return;
    }
    m_armedFor = m_timers.begin()->first.due;
    m_timer.expires_at(m_armedFor);
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            fire();
    });
}

void AsioTimerService::fire()
{
    // Keeps schedule() from arming the Asio timer for each timer that a callback adds.
    m_armedFor = TimePoint::min();
    try {
        runDue();
    } catch (...) {
        // The other timers that are due fire in the next iteration of the event loop.
        arm();
        throw;
    }
    arm();
}

void AsioTimerService::runDue()
{
    // Timers added by the callbacks run in the next iteration of the event loop, so that a callback
    // that schedules itself without delay cannot block the thread.
    const TimerId lastId = m_lastId;
    const TimePoint due = now();
    while (!m_timers.empty() && m_timers.begin()->first.due <= due) {
        if (m_timers.begin()->first.id > lastId)
            break;
        auto timer = m_timers.extract(m_timers.begin());
        m_dueById.erase(timer.key().id);
        timer.mapped()();
    }
}

} // namespace geraniumcart
