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

/// One call, decoded. Only Search and Book use the fields below `call`.
struct CallerRequest
{
    CallKind call = CallKind::Health;
    std::string service;
    std::string tenant;
    std::string className;
    /// Empty where the caller gave none.
    std::string idempotencyKey;
    /// Empty where the caller gave none.
    std::string routeKey;
    double minCoverage = 0;
    /// When the request arrived; latencies count from here.
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
    /// The daemon is leaving or its zone is out.
    NotAccepting,
    /// Rules, catalog or hosts are not known yet.
    NotReady,
    DeadlinePassed,
    BelowMinCoverage,
};
const char *toString(RefusalKind kind);

struct Refusal
{
    RefusalKind kind = RefusalKind::BadRequest;
    std::string reason;
    /// True where no part of the request ran.
    bool isNotRun = true;
    /// Known where a search ran and its coverage was too low.
    std::optional<Coverage> coverage;
};

struct EntriesAnswer
{
    std::vector<EntryAddress> entries;
    Duration validFor{};
};

enum class RuleState : std::uint8_t { InProgress, Done, RolledBack };
const char *toString(RuleState state);

/// A rule of the file and what became of it.
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

/// What the control part reports.
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

/// Limits that one service's admission enforces.
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
    /// False makes the call fail, as readiness does.
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

/// The control part's report. Called from all workers.
class StatusSource
{
public:
    virtual ~StatusSource() = default;
    /// Thread-safe. Not on the path of searches and bookings.
    virtual ControlStatus status() const = 0;
};

/// Makes the runs of one worker. The front end releases a run from within its callback.
class RunFactory
{
public:
    virtual ~RunFactory() = default;
    virtual std::shared_ptr<SearchRun> createSearch(SnapshotPin snapshot, SearchQuery query,
                                                    SearchRun::Callback done) = 0;
    virtual std::shared_ptr<BookingRun> createBooking(SnapshotPin snapshot, BookingRequest request,
                                                      BookingRun::Callback done) = 0;
};

/// Admission to all services, as the front end of one worker sees it. The policies may live on
/// other workers; callbacks run on the caller's worker.
class AdmissionDirectory
{
public:
    using ReportCallback = std::function<void(std::vector<ServiceLimits>)>;

    virtual ~AdmissionDirectory() = default;
    /// Calls @p done once, at once or when a place comes free.
    virtual void admit(const std::string &service, AdmissionRequest request,
                       AdmissionPolicy::Callback done) = 0;
    /// Ends an admitted request; see AdmissionPolicy::finish().
    virtual void finish(const std::string &service, Duration latency, bool wasOverloaded) = 0;
    virtual void report(ReportCallback done) = 0;
};

/// What a front end uses; everything lives longer than the front end.
struct FrontEndContext
{
    TimerService &timers;
    const SnapshotPublisher &snapshots;
    RunFactory &runs;
    AdmissionDirectory &admission;
    const StatusSource &status;
    Stats &stats;
};

/// Names one call under way; 0 names none.
using CallId = std::uint64_t;

/// Decides what becomes of callers' requests, without any knowledge of how they are encoded.
/// One instance for each worker; only running() may be called from other threads.
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

    /// Handles one call. @p done is called once, before or after this returns, unless the call is
    /// abandoned.
    CallId handle(CallerRequest request, Callback done);
    /// The caller went away: a search is cancelled, a booking that was dispatched runs to its end,
    /// and a call that still waits for admission never starts. The call's callback is not called
    /// any more. An id that has ended is ignored.
    void abandon(CallId id);
    /// Calls that have started and not ended, bookings of callers that went away included. A
    /// planned stop waits until this is 0.
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

    void onDecision(CallId id, AdmissionDecision verdict);
    void startSearch(CallId id, Call &call, SnapshotPin snapshot);
    void startBooking(CallId id, Call &call, SnapshotPin snapshot);
    void onSearchDone(CallId id, SearchOutcome outcome);
    void onBookingDone(CallId id, BookingResult result);
    void finishAdmission(const Call &call, bool wasOverloaded);
    /// Gives back the place of a call whose time says nothing about the service.
    void returnAdmission(const Call &call);
    void refuse(CallId id, Refusal refusal);
    /// Ends the call and answers it.
    void answer(CallId id, CallerAnswer answer);
    std::optional<Refusal> refusalOf(const Call &call, const RoutingSnapshot &snapshot) const;
    StatusAnswer status() const;

    FrontEndContext m_context;
    CallId m_lastId = 0;
    std::unordered_map<CallId, Call> m_calls;
    std::atomic<std::uint32_t> m_running{0};
};

} // namespace geraniumcart
