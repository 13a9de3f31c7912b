#pragma once

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

/// A request of a caller, to be passed on by route.
struct RoutedRequest
{
    std::string host;
    std::shared_ptr<const ForwardRequest> forward;
    TimePoint arrival{};
    /// How long the caller waits, from the arrival; absent where it did not say.
    std::optional<Duration> callerWaits;
};

enum class RoutedStatus : std::uint8_t {
    /// A searcher's answer, to be passed on as it is.
    Reply,
    /// Merged from the answers of several shards.
    Merged,
    /// No configuration is known yet. Not run.
    NotReady,
    /// The configuration in force has no route for the request. Not run.
    NoRoute,
    /// No searcher could take the request. Not run.
    Refused,
    /// A searcher may have run the request and no whole answer came.
    Failed,
    /// The time ran out while a searcher was at work.
    TimedOut,
};
const char *toString(RoutedStatus status);

struct RoutedAnswer
{
    RoutedStatus status = RoutedStatus::NotReady;
    /// Set with Reply.
    UpstreamReply reply;
    /// Merged records; set with Merged.
    std::string body;
    /// Signatures of the answers that were merged.
    std::vector<std::string> signatures;
    /// Shards without an answer.
    std::uint32_t missingShards = 0;
    /// When the caller should come back; set with Refused and NotReady.
    Duration retryAfter{};
    /// The caller should use another daemon for its next request.
    bool shouldClose = false;
};

/// One request on its way. Belongs to one worker.
class RoutedRun
{
public:
    using Callback = std::function<void(RoutedAnswer)>;
    virtual ~RoutedRun() = default;
    virtual void start() = 0;
    /// The caller went away. Searchers that still work on it are stopped after a moment, unless the
    /// request must not be repeated.
    virtual void abandon() = 0;
};

/// Everything a run is made of.
struct RoutedRunSpec
{
    CallContext calls;
    ServingViewPin view;
    const Route *route = nullptr;
    /// Service of a route without shards.
    std::string service;
    std::shared_ptr<const ForwardRequest> request;
    TimePoint arrival{};
    TimePoint deadline{};
    std::shared_ptr<RequestTrace> trace;
};

/// A request to one searcher of one service.
std::shared_ptr<RoutedRun> makeForwardRun(RoutedRunSpec spec, RoutedRun::Callback done);
/// A request to one searcher of each shard, merged into one answer.
std::shared_ptr<RoutedRun> makeScatterRun(RoutedRunSpec spec, RoutedRun::Callback done);

/// Decides what becomes of callers' requests. One instance for each worker; only running() may be
/// called from other threads.
class Gateway
{
public:
    using Callback = std::function<void(RoutedAnswer)>;

    Gateway(const CallContext &calls, const ServingViewPublisher &views, Stats &stats)
        : m_calls(calls)
        , m_views(views)
        , m_stats(stats)
    {
    }

    /// @param done called once, unless the request is abandoned
    /// @return a name for abandon()
    std::uint64_t handle(RoutedRequest request, Callback done);
    void abandon(std::uint64_t id);
    std::uint32_t running() const { return m_running.load(std::memory_order_acquire); }
    ServingViewPin view() const { return m_views.pin(); }

private:
    struct Call
    {
        std::shared_ptr<RoutedRun> run;
        Callback done;
        RoutedRequest request;
        /// Keeps the route alive.
        ServingViewPin view;
        const Route *route = nullptr;
        std::shared_ptr<RequestTrace> trace;
    };

    /// Passes on a call whose route is known.
    std::uint64_t start(Call call, const std::string &service);
    /// Answers a call of which nothing was sent.
    /// @param predicted wait for which it was refused; zero where it was refused for another reason
    /// @return 0, which names no call
    std::uint64_t refuse(const Call &call, RoutedStatus status, Duration retryAfter,
                         Duration predicted = {});
    const std::string &pickTarget(const Route &route);
    void finish(std::uint64_t id, RoutedAnswer answer);
    void logRequest(const Call &call, const RoutedAnswer &answer, Duration took);

    /// Running weights of a split, so that each part gets its share evenly.
    using SplitState = std::map<std::string, double>;

    CallContext m_calls;
    const ServingViewPublisher &m_views;
    Stats &m_stats;
    TraceLogPolicy m_traceLog;
    std::mt19937_64 m_random{std::random_device{}()};
    std::uint64_t m_lastId = 0;
    std::unordered_map<std::uint64_t, Call> m_open;
    std::map<std::string, SplitState> m_splits;
    std::atomic<std::uint32_t> m_running{0};
};

} // namespace geraniumcart
