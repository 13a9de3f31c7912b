#pragma once

#include <geraniumcart/sub_request.h>

#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace geraniumcart::test {

/// Scripted end of one sub-request: the failure if one is set, otherwise an answer.
struct Reply
{
    Duration delay = std::chrono::milliseconds(5);
    std::optional<SubRequestFailure> failure = {};
    /// Index version and shard of the answer; by default those of the sub-request.
    std::optional<std::uint64_t> indexVersion = {};
    std::optional<std::uint32_t> shard = {};
    /// Number of further calls with the same answer, which violate the contract of the sender.
    std::uint32_t duplicates = 0;
    /// The answer arrives although the sub-request was cancelled, as when it was already on its
    /// way.
    bool ignoresCancel = false;
};

/// Sender that ends each sub-request as a script defines, and records what was sent, cancelled and
/// answered.
class ScriptedSender final : public SubRequestSender
{
public:
    /// Returns how a sub-request ends. The second argument is the number of earlier attempts at its
    /// shard.
    using Script = std::function<Reply(const SubRequest &, std::uint32_t)>;

    ScriptedSender(TimerService &timers, Script script)
        : m_timers(timers)
        , m_script(std::move(script))
    {
    }

    void send(std::span<const SubRequest> requests,
              std::shared_ptr<SubRequestListener> listener) override
    {
        for (const SubRequest &request : requests) {
            sent.push_back(request);
            const Reply reply = m_script(request, m_attempts[request.shard]++);
            Open &open = m_open[request.id];
            open.listener = listener;
            open.ignoresCancel = reply.ignoresCancel;
            open.timer = m_timers.schedule(reply.delay, [this, request, reply] {
                const auto target = m_open.extract(request.id).mapped().listener;
                for (std::uint32_t i = 0; i <= reply.duplicates; ++i)
                    end(request, reply, *target);
            });
        }
    }

    void cancel(const SubRequest &request) override
    {
        cancelled.push_back(request.id);
        const auto found = m_open.find(request.id);
        if (found == m_open.end() || found->second.ignoresCancel)
            return;
        m_timers.cancel(found->second.timer);
        m_timers.schedule(Duration::zero(), [this, id = request.id] {
            m_open.extract(id).mapped().listener->onFailure(id, SubRequestFailure::Cancelled);
        });
    }

    /// Sub-requests that have not ended.
    std::size_t openCount() const { return m_open.size(); }

    std::vector<SubRequest> sent;
    std::vector<SubRequestId> cancelled;

    struct Delivered
    {
        std::uint32_t shard = 0;
        std::uint64_t indexVersion = 0;
        TimePoint at{};
    };
    std::vector<Delivered> delivered;

private:
    struct Open
    {
        std::shared_ptr<SubRequestListener> listener;
        TimerId timer = 0;
        bool ignoresCancel = false;
    };

    void end(const SubRequest &request, const Reply &reply, SubRequestListener &listener)
    {
        if (reply.failure)
            return listener.onFailure(request.id, *reply.failure);
        SubRequestAnswer answer;
        answer.id = request.id;
        answer.shard = reply.shard.value_or(request.shard);
        answer.indexVersion = reply.indexVersion.value_or(request.indexVersion);
        answer.body = std::to_string(request.shard);
        answer.latency = reply.delay;
        delivered.push_back({answer.shard, answer.indexVersion, m_timers.now()});
        listener.onAnswer(std::move(answer));
    }

    TimerService &m_timers;
    Script m_script;
    std::map<std::uint32_t, std::uint32_t> m_attempts;
    std::map<SubRequestId, Open> m_open;
};

} // namespace geraniumcart::test
