#pragma once

#include <geraniumcart/answer_margin.h>
#include <geraniumcart/exchange.h>
#include <geraniumcart/metrics.h>
#include <geraniumcart/service_call.h>
#include <geraniumcart/serving_view.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace geraniumcart {

/// A caller's request that the gateway forwards along a route.
struct RoutedRequest
{
    std::string host;
    std::shared_ptr<const ForwardRequest> forward;
    TimePoint arrival{};
    /// True if the caller opened its connection for this request.
    bool isFirstOnConnection = false;
    /// How long the caller waits, measured from the arrival; absent if the caller did not state it.
    std::optional<Duration> callerTimeout;
};

enum class RoutedStatus : std::uint8_t {
    /// The answer of one searcher, forwarded unchanged.
    Reply,
    /// Merged from the answers of several shards.
    Merged,
    /// The daemon has not received a configuration yet. The request was not run.
    NotReady,
    /// The active configuration has no route for the request. The request was not run.
    NoRoute,
    /// No searcher could accept the request. The request was not run.
    Refused,
    /// A searcher may have run the request, but no complete answer arrived.
    Failed,
    /// The deadline passed while a searcher was processing the request.
    TimedOut,
};
const char *toString(RoutedStatus status);

struct RoutedAnswer
{
    RoutedStatus status = RoutedStatus::NotReady;
    /// Set only if the status is Reply.
    UpstreamReply reply;
    /// Merged records; set only if the status is Merged.
    std::string body;
    /// Signatures of the merged answers, in the order of the shards.
    std::vector<std::string> signatures;
    /// Number of shards without an answer.
    std::uint32_t missingShards = 0;
    /// Time after which the caller should retry; set only if the status is Refused or NotReady.
    Duration retryAfter{};
    /// The caller should use another daemon for its next request.
    bool shouldClose = false;
    /// When the run ended, or was to end; set only if the status is Merged.
    TimePoint endedAt{};
};

/// One request that is being forwarded. Belongs to one worker; all calls and the callback run on
/// the thread of that worker.
class RoutedRun
{
public:
    using Callback = std::function<void(RoutedAnswer)>;
    virtual ~RoutedRun() = default;
    /// Starts the run. Its callback is called once, never before this returns, unless the run is
    /// abandoned.
    virtual void start() = 0;
    /// Reports that the caller has disconnected. The callback is not called any more. Attempts that
    /// are still open are cancelled after a short delay, unless the request must not be repeated.
    virtual void abandon() = 0;
    /// Ends the run as if its deadline had passed. The callback is called before this returns.
    virtual void expire() = 0;
};

/// Inputs of a run.
struct RoutedRunSpec
{
    CallContext calls;
    ServingViewPin view;
    const Route *route = nullptr;
    /// Service that receives the request; empty for a route over shards.
    std::string service;
    std::shared_ptr<const ForwardRequest> request;
    TimePoint arrival{};
    TimePoint deadline{};
    /// When a run over shards ends if enough of them have answered.
    TimePoint latestPartialEnd{};
    std::shared_ptr<RequestTrace> trace;
};

/// Creates a run that sends the request to one searcher of one service.
std::shared_ptr<RoutedRun> makeForwardRun(RoutedRunSpec spec, RoutedRun::Callback done);
/// Creates a run that sends the request to one searcher of each shard and merges the answers.
std::shared_ptr<RoutedRun> makeScatterRun(RoutedRunSpec spec, RoutedRun::Callback done);

/// Matches callers' requests to routes, sheds load, and forwards the admitted requests. There is
/// one instance per worker; only running() may be called from other threads.
class Gateway
{
public:
    using Callback = std::function<void(RoutedAnswer)>;

    /// @param callerRoundTrip network round trip time between callers and the daemon
    /// @param seed of the random choice of the requests that are refused under overload
    Gateway(const CallContext &calls, const ServingViewPublisher &views, Stats &stats,
            Duration callerRoundTrip, std::uint64_t seed)
        : m_calls(calls)
        , m_views(views)
        , m_stats(stats)
        , m_answerMargin(callerRoundTrip)
        , m_random(seed)
    {
    }

    /// Forwards or refuses one request.
    /// @param done called exactly once, before or after this returns, unless the request is
    /// abandoned
    /// @return id of the request for abandon(); 0 if it was refused
    std::uint64_t handle(RoutedRequest request, Callback done);
    /// Reports that the caller has disconnected; see RoutedRun::abandon(). The callback of the
    /// request is not called any more. The id of a request that has ended is ignored.
    void abandon(std::uint64_t id);
    /// Ends all open requests as if their deadlines had passed, at the end of a planned stop.
    void endOpenRequests();
    /// Number of requests that have started and not ended. Thread-safe.
    std::uint32_t running() const { return m_running.load(std::memory_order_acquire); }
    ServingViewPin view() const { return m_views.pin(); }

private:
    struct Call
    {
        std::shared_ptr<RoutedRun> run;
        Callback done;
        RoutedRequest request;
        /// Owns the route.
        ServingViewPin view;
        const Route *route = nullptr;
        std::shared_ptr<RequestTrace> trace;
    };

    /// Starts the run of a call whose route is known.
    /// @param service receiver of the request; empty for a route over shards
    std::uint64_t start(Call call, const std::string &service);
    /// Answers a call of which nothing was sent to a searcher.
    /// @param predicted predicted wait that caused the refusal; zero if there was another reason
    /// @return 0, which identifies no call
    std::uint64_t refuse(const Call &call, RoutedStatus status, Duration retryAfter,
                         Duration predicted = {});
    /// Picks the service that receives the next request of a route, by the weights of its targets.
    const std::string &pickTarget(const Route &route);
    void finish(std::uint64_t id, RoutedAnswer answer);
    void logRequest(const Call &call, const RoutedAnswer &answer, Duration took);

    /// Current weight of each target of a split, by service. The weights carry over from one
    /// request to the next, so that each target gets its share evenly.
    using SplitState = std::map<std::string, double>;

    CallContext m_calls;
    const ServingViewPublisher &m_views;
    Stats &m_stats;
    AnswerMargin m_answerMargin;
    TraceLogPolicy m_traceLog;
    std::mt19937_64 m_random;
    std::uint64_t m_lastId = 0;
    std::unordered_map<std::uint64_t, Call> m_openCalls;
    std::map<std::string, SplitState> m_splits;
    std::atomic<std::uint32_t> m_running{0};
};

} // namespace geraniumcart
