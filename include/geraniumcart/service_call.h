#pragma once

#include <geraniumcart/exchange.h>
#include <geraniumcart/hedging.h>
#include <geraniumcart/request_trace.h>
#include <geraniumcart/route_table.h>
#include <geraniumcart/serving_view.h>
#include <geraniumcart/upstream_choice.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace geraniumcart {

/// Counts of one worker's calls, for logs and metrics.
struct CallCounts
{
    std::uint64_t sent = 0;
    std::uint64_t hedged = 0;
    std::uint64_t retried = 0;
    /// Hedges and retries that the budget did not allow.
    std::uint64_t budgetExhausted = 0;
};

/// What the calls of one worker use; everything lives longer than they do.
struct CallContext
{
    TimerService &timers;
    UpstreamTransport &transport;
    UpstreamChoice &choice;
    CallCounts &counts;
};

/// One request to one service.
struct ServiceCallSpec
{
    std::shared_ptr<const ForwardRequest> request;
    /// Keeps the service alive.
    ServingViewPin view;
    const ServiceUpstreams *service = nullptr;
    TimePoint deadline{};
    RouteKind kind = RouteKind::Idempotent;
    /// Searchers that may run the request, at most.
    std::uint32_t attempts = 1;
    HedgingPolicy *hedging = nullptr;
    /// Hedge delay while the policy has seen too little.
    Duration firstHedgeDelay{};
    /// Paces what goes beyond the first attempt.
    AttemptBudget *budget = nullptr;
    /// Notes what happens on the way.
    std::shared_ptr<RequestTrace> trace;
    /// Also notes first sends, as for a request to a single searcher.
    bool tracesFirstSend = false;
    /// A searcher's failure is worth passing on when no other attempt is left.
    bool acceptsFailureReply = false;
};

enum class CallFailure : std::uint8_t {
    /// No searcher of the service is known or usable.
    NoUpstream,
    /// All searchers that were asked refused the request without running it.
    Refused,
    /// No searcher had room.
    NoRoom,
    /// The request may have run and no whole answer came.
    Unknown,
    /// A searcher was still at work at the deadline.
    TimedOut,
};
const char *toString(CallFailure failure);

struct CallResult
{
    /// Absent where the call failed.
    std::optional<UpstreamReply> reply;
    CallFailure failure = CallFailure::NoUpstream;
    /// No searcher can have run the request.
    bool isProvenNotRun = false;
};

/// One request to one service: which searcher gets it, when a second one is asked and when the call
/// is given up. Belongs to one worker.
class ServiceCall : public ExchangeListener, public std::enable_shared_from_this<ServiceCall>
{
public:
    using Callback = std::function<void(CallResult)>;

    /// @param done called once, never before start() returns
    ServiceCall(const CallContext &context, ServiceCallSpec spec, Callback done);

    void start();
    /// Nobody waits for the result any more; what runs ends by itself and its latency still counts.
    void release();
    /// Stops the searchers that still work on a released call.
    void cancelExchanges();
    /// True while the result is open.
    bool isOpen() const { return m_done != nullptr; }
    /// True once a searcher may have run the request.
    bool mayHaveRun() const { return m_mayHaveRun > 0; }

    void onReply(ExchangeId id, UpstreamReply reply) override;
    void onFailure(ExchangeId id, ExchangeFailure failure) override;

private:
    struct Attempt
    {
        std::shared_ptr<Upstream> upstream;
        TimePoint sentAt{};
        bool isHedge = false;
    };
    enum class Cause : std::uint8_t { First, Hedge, Retry };
    enum class Dispatch : std::uint8_t { Sent, NoUpstream, NoRoom, NoBudget, NoAttempts };

    Dispatch dispatch(Cause cause);
    bool isUntried(const Upstream &upstream) const;
    bool mayUse(const Upstream &upstream, TimePoint now);
    bool tryTakeBudget();
    /// Counts of the searcher's version on this kind of route; null while no rollout is under way.
    AnswerCounters *countersOf(const Upstream &upstream) const;
    void note(TraceStep step, const Upstream *upstream = nullptr);
    void continueAfterFailure();
    void proceed(Cause cause);
    void armHedge();
    void onHedgeDue();
    void onDeadline();
    Attempt takeAttempt(ExchangeId id);
    void finish(CallResult result);
    void fail(CallFailure failure);
    void disarm();

    CallContext m_context;
    ServiceCallSpec m_spec;
    Callback m_done;
    std::map<ExchangeId, Attempt> m_attempts;
    /// Searchers that may have run the request.
    std::vector<const Upstream *> m_tried;
    std::uint32_t m_mayHaveRun = 0;
    std::uint32_t m_sends = 0;
    TimePoint m_startedAt{};
    /// Sends that may have reached a searcher.
    std::uint32_t m_arrivals = 0;
    bool m_wasRefused = false;
    bool m_wasWithoutRoom = false;
    /// Best answer so far that is a searcher's failure.
    std::optional<UpstreamReply> m_failureReply;
    TimerId m_hedgeTimer = 0;
    TimerId m_roomTimer = 0;
    TimerId m_deadlineTimer = 0;
};

} // namespace geraniumcart
