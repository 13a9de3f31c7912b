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
    /// Connections closed because they made no progress.
    std::atomic<std::uint64_t> silentConnections{0};
    /// Answers that came after their sub-request had ended.
    std::atomic<std::uint64_t> lateAnswers{0};
    /// Cancellations that a searcher was told of.
    std::atomic<std::uint64_t> cancels{0};
    /// Times at which a warm searcher became cold.
    std::atomic<std::uint64_t> coldStarts{0};
    std::atomic<std::uint64_t> malformedAnswers{0};
    std::atomic<std::uint64_t> infoRequests{0};
    std::atomic<std::uint64_t> infoAnswers{0};
};

/// A sub-request on the home worker of its searcher.
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
    /// Index of the worker that sent it.
    std::uint32_t sender = 0;
    /// A byte of it may have reached the searcher.
    bool wasWritten = false;
};

/// Takes the end of each sub-request of a pool, exactly once.
class SubRequestEnds
{
public:
    virtual ~SubRequestEnds() = default;
    virtual void onAnswered(PoolRequest request, SubRequestAnswer answer) = 0;
    virtual void onFailed(PoolRequest request, SubRequestFailure failure) = 0;
};

/// All connections to one searcher and the sub-requests that wait for one. Stays on the
/// searcher's home worker; may be destroyed only on it or after it has ended.
class SearcherPool final : public SearcherConnectionListener
{
public:
    /// What a pool uses; everything lives longer than the pool.
    struct Context
    {
        boost::asio::io_context &io;
        TimerService &timers;
        SubRequestEnds &ends;
        UpstreamCounters &counters;
    };

    SearcherPool(const Context &context, std::shared_ptr<UpstreamState> state,
                 const SearcherLimits &limits, const UpstreamGate::Share &share);
    ~SearcherPool() override;

    void configure(const SearcherLimits &limits, const UpstreamGate::Share &share);
    void submit(PoolRequest request);
    void cancel(SubRequestId id);
    /// Takes no more sub-requests and lets those under way end.
    void retire();
    /// True once a retired pool holds no sub-request.
    bool isRetired() const { return m_isRetiring && m_links.empty(); }

private:
    /// A request is sent only with more than this left to its deadline. The header Deadline-Ms
    /// holds whole milliseconds, and no answer comes back sooner.
    static constexpr Duration MinRemaining = std::chrono::milliseconds(1);
    /// A lost opening packet is sent again after one second, when another searcher is a better bet.
    static constexpr Duration ConnectTimeout = std::chrono::seconds(1);
    /// Longest time for an answer to GET /info or DELETE.
    static constexpr Duration ControlTimeout = std::chrono::milliseconds(500);

    enum class LinkState : std::uint8_t {
        Connecting,
        /// Carries GET /info or DELETE.
        Control,
        Idle,
        /// Carries a sub-request, which may have ended already.
        Busy,
    };

    struct Link
    {
        std::shared_ptr<SearcherConnection> connection;
        LinkState state = LinkState::Connecting;
        /// What a link in state Control carries.
        UpstreamCall call = UpstreamCall::Info;
        /// Start of the state.
        TimePoint since{};
        bool hasAnswered = false;
        /// The sub-request under way; without a listener once it has ended.
        PoolRequest request;
        /// Answers of the whole pool when the sub-request was written.
        std::uint64_t answersBefore = 0;
    };

    void onOpen(SearcherConnection &connection) override;
    void onOpenFailed(SearcherConnection &connection, bool wasRefused) override;
    void onAnswer(SearcherConnection &connection, UpstreamAnswer &answer, bool isLast) override;
    void onLost(SearcherConnection &connection, ConnectionLoss loss) override;

    Link &linkOf(const SearcherConnection &connection);
    Link *idleLink();
    void removeLink(const Link &link);
    bool isEstablished() const;

    /// Dispatches, opens connections and arms the timer, in this order.
    void proceed(TimePoint now);
    void pump(TimePoint now);
    /// @return false if the request stays with the caller and has to wait
    bool tryStart(PoolRequest &request, TimePoint now);
    void keepConnections(TimePoint now);
    void noteConnectFailure(TimePoint now);
    bool sendControl(Link &link, UpstreamCall call, SubRequestId id, TimePoint now);
    void probeIfDue(TimePoint now);

    void takeSubAnswer(Link &link, UpstreamAnswer &answer, TimePoint now);
    void observe(const UpstreamAnswer &answer, TimePoint now);
    void becomeCold(TimePoint now);
    void noteColdStart(bool wasCold, TimePoint now);
    void publishCold(TimePoint now);
    void fail(PoolRequest &request, SubRequestFailure failure);
    void failWaiting(SubRequestFailure failure);

    void wakeAt(TimePoint time);
    void onTimer();
    void checkLinks(TimePoint now);
    /// Time at which a busy link counts as silent if the searcher's other links make progress.
    TimePoint earlySilence(const Link &link) const;
    /// Time at which a link counts as silent whatever the others do.
    TimePoint latestSilence(const Link &link) const;

    Context m_context;
    std::shared_ptr<UpstreamState> m_state;
    UpstreamGate m_gate;
    std::optional<boost::asio::ip::tcp::endpoint> m_endpoint;
    std::vector<std::unique_ptr<Link>> m_links;
    /// Waiting sub-requests, the most urgent first.
    std::multimap<TimePoint, PoolRequest> m_waiting;
    std::uint64_t m_answers = 0;
    TimePoint m_lastHeard{};
    TimePoint m_lastProbe{};
    std::uint32_t m_connectFailures = 0;
    TimePoint m_nextConnect{};
    /// The searcher left GET /info unanswered, so that new connections are used without it.
    bool m_skipsProbe = false;
    /// A connection ended without a reason, so that the searcher may have restarted.
    bool m_mayHaveRestarted = false;
    bool m_isRetiring = false;
    TimerId m_timer = 0;
    TimePoint m_wakeAt = TimePoint::max();
};

} // namespace geraniumcart
