#pragma once

#include "connection/searcher_connection_p.h"

#include <geraniumcart/sub_request.h>
#include <geraniumcart/timer_service.h>
#include <geraniumcart/upstream_gate.h>

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace geraniumcart {

/// Counters of all searcher connections of the process.
struct UpstreamCounters
{
    std::atomic<std::uint64_t> connectionsOpened{0};
    /// Connections that were closed because no answer arrived in time.
    std::atomic<std::uint64_t> silentConnections{0};
    /// Successful answers that arrived after their sub-request had been cancelled or timed out.
    std::atomic<std::uint64_t> lateAnswers{0};
    /// Cancellations that were sent to a searcher.
    std::atomic<std::uint64_t> cancels{0};
    /// Number of times that a warm searcher became cold.
    std::atomic<std::uint64_t> coldStarts{0};
    std::atomic<std::uint64_t> malformedAnswers{0};
    std::atomic<std::uint64_t> infoRequests{0};
    std::atomic<std::uint64_t> infoAnswers{0};
};

/// A sub-request as the home worker of its searcher processes it.
struct PoolRequest
{
    SubRequestId id = 0;
    RequestKind kind = RequestKind::Search;
    std::shared_ptr<UpstreamState> upstream;
    std::uint32_t shard = 0;
    std::uint64_t indexVersion = 0;
    TimePoint deadline{};
    std::shared_ptr<const std::string> body;
    std::shared_ptr<SubRequestListener> listener;
    /// Index of the worker that sent the sub-request and is notified of its end.
    std::uint32_t sender = 0;
    /// True if a byte of the request may have reached the searcher.
    bool wasWritten = false;
};

/// Notified exactly once of the end of each sub-request of a pool, on the pool's worker. A
/// notification may come from within SearcherPool::submit(), cancel(), retire() or configure().
class SearcherPoolListener
{
public:
    virtual ~SearcherPoolListener() = default;
    virtual void onAnswered(PoolRequest request, SubRequestAnswer answer) = 0;
    virtual void onFailed(PoolRequest request, SubRequestFailure failure) = 0;
};

/// All connections to one searcher, and the sub-requests that wait for a free one. Runs on the
/// searcher's home worker; may be destroyed only on this worker or after its thread has ended.
class SearcherPool final : public SearcherConnectionListener
{
public:
    /// Objects that a pool uses. All of them outlive the pool.
    struct Context
    {
        boost::asio::io_context &io;
        TimerService &timers;
        SearcherPoolListener &poolListener;
        UpstreamCounters &counters;
        /// Answers of all searchers of the home worker.
        OpenAnswers &openAnswers;
    };

    SearcherPool(const Context &context, std::shared_ptr<UpstreamState> state,
                 const SearcherLimits &limits, const UpstreamGate::Share &share);
    ~SearcherPool() override;

    void configure(const SearcherLimits &limits, const UpstreamGate::Share &share);
    /// Sends a sub-request on an idle connection, or queues it until a connection, a slot and, for
    /// a cold searcher, the rate allow it. A request that cannot be sent fails at once or shortly
    /// before its deadline.
    void submit(PoolRequest request);
    /// Ends a sub-request with SubRequestFailure::Cancelled. If it was sent already, the searcher
    /// is notified on an idle connection, if there is one. An unknown @p id is ignored.
    void cancel(SubRequestId id);
    /// Accepts no further sub-requests, fails the waiting ones and lets those in flight end.
    void retire();
    /// True if the pool is retired and its last connection is closed, so that it holds no
    /// sub-request.
    bool isRetired() const { return m_isRetiring && m_links.empty(); }

private:
    /// A request is sent only if more time than this remains to its deadline: Deadline-Ms states
    /// the time in milliseconds, rounded down, and no answer arrives in less than one.
    static constexpr Duration MinRemaining = std::chrono::milliseconds(1);
    /// TCP repeats a lost SYN after one second; by then, another searcher is more likely to answer
    /// in time.
    static constexpr Duration ConnectTimeout = std::chrono::seconds(1);
    /// Timeout of GET /info and DELETE /requests.
    static constexpr Duration ControlTimeout = std::chrono::milliseconds(500);

    enum class LinkState : std::uint8_t {
        Connecting,
        /// Waits for the answer to GET /info or DELETE /requests.
        Control,
        Idle,
        /// Waits for the answer to a sub-request, which may have been cancelled or timed out
        /// already.
        Busy,
    };

    /// One connection with its state.
    struct Link
    {
        std::shared_ptr<SearcherConnection> connection;
        LinkState state = LinkState::Connecting;
        /// The call in progress in state Control.
        UpstreamCall call = UpstreamCall::Info;
        /// Time at which the state was entered.
        TimePoint since{};
        /// True if at least one answer arrived on this connection.
        bool hasAnswered = false;
        /// The sub-request in flight in state Busy. Its listener is null once the sub-request has
        /// ended.
        PoolRequest request;
        /// Value of m_answers when the sub-request was written.
        std::uint64_t answersAtStart = 0;
    };

    void onOpen(SearcherConnection &connection) override;
    void onOpenFailed(SearcherConnection &connection, bool wasRefused) override;
    void onAnswer(SearcherConnection &connection, UpstreamAnswer &answer, bool isLast) override;
    void onLost(SearcherConnection &connection, ConnectionLoss loss) override;

    Link &linkOf(const SearcherConnection &connection);
    /// Returns an idle link, or null if there is none.
    Link *idleLink();
    void removeLink(const Link &link);
    /// True if some connection is known to work: it has answered or is idle.
    bool isEstablished() const;

    /// Called after each event: dispatches waiting requests, opens or closes connections, and
    /// probes the searcher if that is due, in this order. Arms the timer for the steps that have to
    /// wait.
    void proceed(TimePoint now);
    /// Sends waiting requests, the earliest deadline first, until one has to wait.
    void dispatchWaiting(TimePoint now);
    /// Sends @p request on an idle link, or fails it if its deadline is too close.
    /// @return false if the request has to wait; it is then unchanged
    bool tryStart(PoolRequest &request, TimePoint now);
    /// Opens or closes connections up to this daemon's share of the searcher's limits.
    void maintainConnections(TimePoint now);
    /// Extends the delay before the next connection attempt. Without a working connection, also
    /// fails the waiting requests.
    void recordConnectFailure(TimePoint now);
    /// Sends GET /info or DELETE /requests on an idle or newly opened link.
    /// @return false if no byte could be sent; the link is then removed
    bool sendControl(Link &link, UpstreamCall call, SubRequestId id, TimePoint now);
    /// Sends GET /info if no answer has arrived for the probe interval.
    void probeIfDue(TimePoint now);

    void handleSubRequestAnswer(Link &link, UpstreamAnswer &answer, TimePoint now);
    /// Applies what an answer reports about the searcher: boot identity, index versions, draining.
    void applySearcherState(const UpstreamAnswer &answer, TimePoint now);
    void becomeCold(TimePoint now);
    /// Counts a cold start if the searcher was warm before (@p wasCold is false) and is cold now,
    /// and publishes the state.
    void recordColdStart(bool wasCold, TimePoint now);
    /// Copies the gate's cold state to the shared UpstreamState.
    void publishCold(TimePoint now);
    void fail(PoolRequest &request, SubRequestFailure failure);
    void failWaiting(SubRequestFailure failure);

    /// Arms the timer for @p time, unless it is already armed for an earlier time.
    void wakeAt(TimePoint time);
    void onTimer();
    /// Fails sub-requests past their deadline and closes silent links.
    void checkLinks(TimePoint now);
    /// Time from which a busy link counts as silent if enough answers arrive on the searcher's
    /// other links.
    TimePoint earlySilenceTime(const Link &link) const;
    /// Time from which a link counts as silent, regardless of the other links.
    TimePoint latestSilenceTime(const Link &link) const;

    Context m_context;
    std::shared_ptr<UpstreamState> m_state;
    UpstreamGate m_gate;
    std::optional<boost::asio::ip::tcp::endpoint> m_endpoint;
    std::vector<std::unique_ptr<Link>> m_links;
    /// Waiting sub-requests by deadline, the earliest first.
    std::multimap<TimePoint, PoolRequest> m_waiting;
    /// Number of answers on all connections so far.
    std::uint64_t m_answers = 0;
    TimePoint m_lastAnswerTime{};
    TimePoint m_lastProbe{};
    /// Failed connection attempts since the last answer.
    std::uint32_t m_connectFailures = 0;
    /// Time before which no connection is opened, because the last attempts failed.
    TimePoint m_nextConnect{};
    /// True if the searcher left GET /info unanswered. New connections are then used without
    /// waiting for its answer.
    bool m_skipsProbe = false;
    /// True if a connection has ended for an unknown reason since the searcher last reported its
    /// state, so that the searcher may have restarted.
    bool m_mayHaveRestarted = false;
    bool m_isRetiring = false;
    TimerId m_timer = 0;
    /// Time for which the timer is armed.
    TimePoint m_wakeAt = TimePoint::max();
};

} // namespace geraniumcart
