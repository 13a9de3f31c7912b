#pragma once

#include <geraniumcart/sub_request.h>
#include <geraniumcart/timer_service.h>

#include <memory>
#include <span>

namespace geraniumcart {

/// Counts how the sub-requests of services under a move end, on their way to this daemon's own
/// connections. One instance for each worker.
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
