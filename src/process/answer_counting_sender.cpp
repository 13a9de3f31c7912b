#include "process/answer_counting_sender_p.h"

#include <geraniumcart/answer_counters.h>

#include <algorithm>
#include <optional>
#include <vector>

namespace geraniumcart {

namespace {

/// Counts the answers and failures of one batch of sub-requests and forwards them to the batch's
/// listener.
class CountingListener final : public SubRequestListener
{
public:
    CountingListener(TimerService &timers, std::shared_ptr<SubRequestListener> next,
                     std::span<const SubRequest> requests)
        : m_timers(timers)
        , m_next(std::move(next))
        , m_sentAt(timers.now())
    {
        for (const SubRequest &request : requests)
            if (request.versionCounters)
                m_open.push_back(
                        {request.id, request.kind, request.versionCounters, request.upstream});
    }

    void onAnswer(SubRequestAnswer answer) override
    {
        if (const auto open = take(answer.id))
            counter(*open).addGood(m_timers.now() - m_sentAt, open->upstream->isCold());
        m_next->onAnswer(std::move(answer));
    }

    void onFailure(SubRequestId id, SubRequestFailure failure) override
    {
        if (const auto open = take(id))
            count(*open, failure);
        m_next->onFailure(id, failure);
    }

private:
    /// Sub-request that has not ended.
    struct OpenRequest
    {
        SubRequestId id;
        RequestKind kind;
        std::shared_ptr<VersionCounters> versionCounters;
        std::shared_ptr<UpstreamState> upstream;
    };

    /// Removes a sub-request from the open ones.
    /// @return nothing if it is not counted or has ended already
    std::optional<OpenRequest> take(SubRequestId id)
    {
        const auto found = std::find_if(m_open.begin(), m_open.end(),
                                        [id](const OpenRequest &open) { return open.id == id; });
        if (found == m_open.end())
            return std::nullopt;
        std::swap(*found, m_open.back());
        OpenRequest open = std::move(m_open.back());
        m_open.pop_back();
        return open;
    }

    static AnswerCounters &counter(const OpenRequest &open)
    {
        return open.versionCounters->routes[static_cast<std::size_t>(open.kind)];
    }

    void count(const OpenRequest &open, SubRequestFailure failure)
    {
        // A sub-request that never ran says nothing about the version. Shedding and lack of
        // capacity are due to the searcher's load, not to its software.
        if (failure == SubRequestFailure::Cancelled)
            counter(open).addCancelled(m_timers.now() - m_sentAt, open.upstream->isCold());
        else if (failure == SubRequestFailure::Failed)
            counter(open).addBad();
        else if (!isProvenNotRun(failure))
            counter(open).addLost();
    }

    TimerService &m_timers;
    std::shared_ptr<SubRequestListener> m_next;
    TimePoint m_sentAt;
    std::vector<OpenRequest> m_open;
};

} // namespace

void AnswerCountingSender::send(std::span<const SubRequest> requests,
                                std::shared_ptr<SubRequestListener> listener)
{
    const bool isCounted =
            std::any_of(requests.begin(), requests.end(),
                        [](const SubRequest &request) { return request.versionCounters; });
    if (isCounted)
        listener = std::make_shared<CountingListener>(m_timers, std::move(listener), requests);
    m_next.send(requests, std::move(listener));
}

} // namespace geraniumcart
