#pragma once

#include <geraniumcart/admission.h>
#include <geraniumcart/booking.h>
#include <geraniumcart/config.h>
#include <geraniumcart/member.h>
#include <geraniumcart/metrics.h>
#include <geraniumcart/search.h>
#include <geraniumcart/snapshot.h>
#include <geraniumcart/timer_service.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace geraniumcart {

enum class CallKind : std::uint8_t {
    Search,
    Book,
    Entries,
    Status,
    Limits,
    Health,
    Ready,
    Metrics
};

/// One decoded call. Only Search and Book calls use the fields below `call`.
struct CallerRequest
{
    CallKind call = CallKind::Health;
    std::string service;
    std::string tenant;
    std::string className;
    /// Empty if the caller sent no idempotency key.
    std::string idempotencyKey;
    /// Empty if the caller sent no route key.
    std::string routeKey;
    double minCoverage = 0;
    /// Time of arrival; latencies are measured from here.
    TimePoint arrival{};
    TimePoint deadline{};
    std::shared_ptr<const std::string> body;
};

enum class RefusalKind : std::uint8_t {
    BadRequest,
    UnknownPath,
    UnknownService,
    MethodNotAllowed,
    RequestTimeout,
    BodyTooLarge,
    HeaderTooLarge,
    RateLimited,
    Overloaded,
    /// The daemon is shutting down, or a rule has taken its zone out of service.
    NotAccepting,
    /// The daemon has not received the rules, the catalog or the hosts yet.
    NotReady,
    DeadlinePassed,
    BelowMinCoverage,
};
const char *toString(RefusalKind kind);

struct Refusal
{
    RefusalKind kind = RefusalKind::BadRequest;
    std::string reason;
    /// True if no part of the request was executed.
    bool isNotRun = true;
    /// Set if a search ended with a coverage below the requested minimum.
    std::optional<Coverage> coverage;
};

struct EntriesAnswer
{
    std::vector<EntryAddress> entries;
    Duration validFor{};
};

enum class RuleState : std::uint8_t { InProgress, Done, RolledBack };
const char *toString(RuleState state);

/// A rule of the rules file and how far it has been applied.
struct RuleStatus
{
    /// The rule without its comment.
    std::string rule;
    std::uint32_t line = 0;
    RuleState state = RuleState::InProgress;
    std::string reason;
    WallTime since{};
};

struct MemberStatus
{
    std::string name;
    std::string zone;
    MemberState state = MemberState::Alive;
};

/// Rules, warnings and members as the control thread reports them.
struct ControlStatus
{
    std::vector<RuleStatus> rules;
    std::vector<std::string> warnings;
    std::vector<MemberStatus> members;
};

struct StatusAnswer
{
    std::uint64_t rulesVersion = 0;
    bool isReady = false;
    ControlStatus control;
};

/// Limits that admission control enforces for one service.
struct ServiceLimits
{
    std::string service;
    LimitReport limits;
};

struct LimitsAnswer
{
    std::vector<ServiceLimits> services;
};

enum class TextKind : std::uint8_t { Plain, Prometheus };

struct TextAnswer
{
    std::string text;
    TextKind kind = TextKind::Plain;
    /// False makes the call fail, for example the readiness call of a daemon that is not ready.
    bool isOk = true;
};

using CallerAnswer = std::variant<SearchOutcome, BookingResult, Refusal, EntriesAnswer,
                                  StatusAnswer, LimitsAnswer, TextAnswer>;

struct CallerResponse
{
    CallerAnswer answer;
    /// The caller should use another connection, to another daemon, for its next request.
    bool shouldClose = false;
};

/// Provides the status report of the control thread. Called from all workers.
class StatusSource
{
public:
    virtual ~StatusSource() = default;
    /// Thread-safe. Not called on the path of searches and bookings.
    virtual ControlStatus status() const = 0;
};

/// Creates the search and booking runs of one worker. The front end releases its reference to a run
/// inside the callback of the run.
class RunFactory
{
public:
    virtual ~RunFactory() = default;
    virtual std::shared_ptr<SearchRun> createSearch(SnapshotPin snapshot, SearchQuery query,
                                                    SearchRun::Callback done) = 0;
    virtual std::shared_ptr<BookingRun> createBooking(SnapshotPin snapshot, BookingRequest request,
                                                      BookingRun::Callback done) = 0;
};

/// Admission control of all services, as used by the front end of one worker. The policies may live
/// on other workers; callbacks run on the calling worker.
class AdmissionDirectory
{
public:
    using ReportCallback = std::function<void(std::vector<ServiceLimits>)>;

    virtual ~AdmissionDirectory() = default;
    /// Calls @p done exactly once with the decision: immediately, or when the request leaves the
    /// admission queue.
    virtual void admit(const std::string &service, AdmissionRequest request,
                       AdmissionPolicy::Callback done) = 0;
    /// Reports the end of an admitted request; see AdmissionPolicy::finish().
    virtual void finish(const std::string &service, Duration latency, bool wasOverloaded) = 0;
    /// Calls @p done once with the limits of all services.
    virtual void report(ReportCallback done) = 0;
};

/// Dependencies of a front end. All of them must outlive it.
struct FrontEndContext
{
    TimerService &timers;
    const SnapshotPublisher &snapshots;
    RunFactory &runs;
    AdmissionDirectory &admission;
    const StatusSource &status;
    Stats &stats;
};

/// Identifies one open call; 0 identifies none.
using CallId = std::uint64_t;

/// Checks, admits and runs the requests of callers, independent of how they are encoded. There is
/// one instance per worker; only running() may be called from other threads.
class FrontEnd
{
public:
    using Callback = std::function<void(CallerResponse)>;

    explicit FrontEnd(const FrontEndContext &context)
        : m_context(context)
    {
    }
    FrontEnd(const FrontEnd &) = delete;
    FrontEnd &operator=(const FrontEnd &) = delete;

    /// Handles one call.
    /// @param done called exactly once, before or after this returns, unless the call is abandoned
    /// @return id of the call for abandon()
    CallId handle(CallerRequest request, Callback done);
    /// Reports that the caller has disconnected. A search is cancelled, a booking that was
    /// dispatched runs to completion, and a call that still waits for admission never starts. The
    /// callback of the call is not called any more. The id of a call that has ended is ignored.
    void abandon(CallId id);
    /// Number of calls that have started and not ended, including bookings whose callers have
    /// disconnected. A planned stop waits until this is 0.
    std::uint32_t running() const { return m_running.load(std::memory_order_acquire); }

private:
    struct Call
    {
        CallerRequest request;
        /// Empty once the call is abandoned.
        Callback done;
        std::optional<TimePoint> admittedAt;
        std::shared_ptr<SearchRun> search;
        std::shared_ptr<BookingRun> booking;
    };

    void onDecision(CallId id, AdmissionDecision decision);
    void startSearch(CallId id, Call &call, SnapshotPin snapshot);
    void startBooking(CallId id, Call &call, SnapshotPin snapshot);
    void onSearchDone(CallId id, SearchOutcome outcome);
    void onBookingDone(CallId id, BookingResult result);
    /// Ends the admission of a call and records its duration as a latency sample.
    void finishAdmission(const Call &call, bool wasOverloaded);
    /// Ends the admission of a call that was cut short, without a latency sample: its duration says
    /// nothing about the speed of the service.
    void releaseAdmission(const Call &call);
    void refuse(CallId id, Refusal refusal);
    /// Ends the call and passes @p answer to its callback, if the call was not abandoned.
    void answer(CallId id, CallerAnswer answer);
    /// @return why the call cannot start under @p snapshot, or nothing if it can
    std::optional<Refusal> refusalOf(const Call &call, const RoutingSnapshot &snapshot) const;
    StatusAnswer status() const;

    FrontEndContext m_context;
    CallId m_lastId = 0;
    std::unordered_map<CallId, Call> m_calls;
    std::atomic<std::uint32_t> m_running{0};
};

} // namespace geraniumcart
