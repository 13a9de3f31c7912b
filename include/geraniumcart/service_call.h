#pragma once

#include <geraniumcart/exchange.h>
#include <geraniumcart/hedging.h>
#include <geraniumcart/in_flight_request.h>
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

/// Number of attempts that the calls of one worker have made, for logs and metrics.
struct CallCounts
{
    std::uint64_t sent = 0;
    std::uint64_t hedged = 0;
    std::uint64_t retried = 0;
    /// Hedges and retries that were not sent because the attempt budget was exhausted.
    std::uint64_t budgetExhausted = 0;
};

/// Dependencies of the service calls of one worker. All of them must outlive the calls.
struct CallContext
{
    TimerService &timers;
    UpstreamTransport &transport;
    UpstreamChoice &choice;
    CallCounts &counts;
};

/// Parameters of a ServiceCall.
struct ServiceCallSpec
{
    std::shared_ptr<const ForwardRequest> request;
    /// Keeps the object alive that `service` points to.
    ServingViewPin view;
    const ServiceUpstreams *service = nullptr;
    TimePoint deadline{};
    RouteKind kind = RouteKind::Idempotent;
    /// Maximum number of attempts that searchers may have run.
    std::uint32_t attempts = 1;
    HedgingPolicy *hedging = nullptr;
    /// Hedge delay while the policy has too few latencies to compute one.
    Duration firstHedgeDelay{};
    /// Limits the rate of hedges and retries.
    AttemptBudget *budget = nullptr;
    /// Records the steps of the call; may be null.
    std::shared_ptr<RequestTrace> trace;
    /// True to record the first send too. This is set on routes without shards, where a request has
    /// only one call.
    bool tracesFirstSend = false;
    /// True if a searcher's failure answer becomes the result when no further attempt can be made.
    bool acceptsFailureReply = false;
};

/// Why a call ended without an answer.
enum class CallFailure : std::uint8_t {
    /// The service has no searcher that can be used.
    NoUpstream,
    /// The searchers that got the request refused it without running it.
    Refused,
    /// No searcher had capacity for the request before the deadline.
    NoRoom,
    /// The request may have run, but no complete answer was received.
    Unknown,
    /// The deadline passed while the request may have been running at a searcher.
    TimedOut,
};
const char *toString(CallFailure failure);

struct CallResult
{
    /// Absent if the call failed.
    std::optional<UpstreamReply> reply;
    /// Valid only without a reply.
    CallFailure failure = CallFailure::NoUpstream;
    /// True if no searcher can have run the request.
    bool isProvenNotRun = false;
};

/// Sends one request to a service: chooses the searcher, hedges and retries, and fails the call
/// when no attempt is possible or the deadline has passed. Used by one worker only.
class ServiceCall : public ExchangeListener, public std::enable_shared_from_this<ServiceCall>
{
public:
    using Callback = std::function<void(CallResult)>;

    /// @param done called once, never before start() returns
    ServiceCall(const CallContext &context, ServiceCallSpec spec, Callback done);

    /// Sends the first attempt, or waits until a searcher has capacity.
    void start();
    /// Drops the callback, since the result is no longer needed. Open attempts run to their end and
    /// their latency is still recorded.
    void release();
    /// Ends the call as if its deadline had passed.
    void expire();
    /// Cancels all open attempts, which makes the searchers stop work on them. The call must be
    /// released or finished.
    void cancelExchanges();
    /// True until the callback has been called or dropped.
    bool isOpen() const { return m_done != nullptr; }
    /// True if a searcher may have run the request.
    bool mayHaveRun() const { return m_possibleRuns > 0; }

    void onReply(ExchangeId id, UpstreamReply reply) override;
    void onFailure(ExchangeId id, ExchangeFailure failure) override;

private:
    struct Attempt
    {
        InFlightRequest request;
        TimePoint sentAt{};
        bool isHedge = false;
    };
    enum class Cause : std::uint8_t { First, Hedge, Retry };
    /// Result of dispatch().
    enum class Dispatch : std::uint8_t { Sent, NoUpstream, NoRoom, NoBudget, NoAttempts, TooLate };

    /// Tries to send one attempt.
    Dispatch dispatch(Cause cause);
    bool isUntried(const Upstream &upstream) const;
    Availability availability(const Upstream &upstream, TimePoint now) const;
    /// True if the searcher may get the next attempt of this call, apart from its load.
    bool isCandidate(const Upstream &upstream, TimePoint now) const;
    /// @param allowsLeaving whether a searcher that is about to stop may get the attempt
    bool isEligible(const Upstream &upstream, TimePoint now, bool allowsLeaving) const;
    /// Asks the searchers that get no request, since they may be cold, whether they are.
    void confirmWarmUps(TimePoint now);
    /// Records what a searcher announced of itself in an answer.
    void applyAnnouncements(const Attempt &attempt, const UpstreamReply &reply);
    void applyRateLimit(const Attempt &attempt, const UpstreamReply &reply);
    bool tryTakeBudget(Cause cause);
    /// Answer counters of the searcher's version on this kind of route; null while no rollout is in
    /// progress.
    AnswerCounters *countersOf(const Upstream &upstream) const;
    void recordStep(TraceStep step, const Upstream *upstream = nullptr);
    void continueAfterFailure();
    /// Dispatches, or waits for capacity. Ends the call later if nothing can be sent and no attempt
    /// is open.
    void proceed(Cause cause);
    void armHedge();
    void onHedgeDue();
    void onDeadline();
    /// Removes an attempt that has ended. @return an empty attempt if the id is unknown
    Attempt removeAttempt(ExchangeId id);
    void finish(CallResult result);
    void fail(CallFailure failure);
    void disarm();

    CallContext m_context;
    ServiceCallSpec m_spec;
    Callback m_done;
    /// Open attempts.
    std::map<ExchangeId, Attempt> m_attempts;
    /// Searchers that may have run the request. They are not chosen again.
    std::vector<const Upstream *> m_tried;
    /// Number of attempts that a searcher may have run.
    std::uint32_t m_possibleRuns = 0;
    /// Number of attempts sent, including those that searchers refused.
    std::uint32_t m_sends = 0;
    TimePoint m_startedAt{};
    /// Number of attempts that may have reached a searcher, including those that it refused.
    std::uint32_t m_possibleArrivals = 0;
    bool m_wasRefused = false;
    /// True once TraceStep::NoRoom has been recorded.
    bool m_isNoRoomRecorded = false;
    /// Latest answer with a failure status, if ServiceCallSpec::acceptsFailureReply is set.
    std::optional<UpstreamReply> m_failureReply;
    TimerId m_hedgeTimer = 0;
    /// Runs the next dispatch while no searcher has capacity, or a deferred failure of the call.
    TimerId m_proceedTimer = 0;
    TimerId m_deadlineTimer = 0;
};

} // namespace geraniumcart
