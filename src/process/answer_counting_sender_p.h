#pragma once

#include <geraniumcart/sub_request.h>
#include <geraniumcart/timer_service.h>

#include <memory>
#include <span>

namespace geraniumcart {

/// Counts answers and failures of the sub-requests that this daemon sends over its own connections
/// for services with a rollout in progress; forwards all sub-requests to the next sender. There is
/// one instance for each worker, used only on that worker's thread.
class AnswerCountingSender final : public SubRequestSender
{
public:
    AnswerCountingSender(TimerService &timers, SubRequestSender &next)
        : m_timers(timers)
        , m_next(next)
    {
    }

    void send(std::span<const SubRequest> requests,
              std::shared_ptr<SubRequestListener> listener) override;
    void cancel(const SubRequest &request) override { m_next.cancel(request); }

private:
    TimerService &m_timers;
    SubRequestSender &m_next;
};

} // namespace geraniumcart
