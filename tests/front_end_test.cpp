#include <catch2/catch.hpp>

#include "front_end_fakes.h"

#include <geraniumcart/manual_timer_service.h>

#include <optional>
#include <string>

using namespace geraniumcart;
using namespace geraniumcart::test;
using namespace std::chrono_literals;

namespace {

/// A front end whose dependencies are fakes; records the answers that it gives.
struct Fixture
{
    explicit Fixture(RoutingSnapshot snapshot = makeSnapshot())
    {
        snapshots.publish(std::move(snapshot));
    }

    CallerRequest request(CallKind call, const std::string &body = "1") const
    {
        CallerRequest result;
        result.call = call;
        result.service = "corte";
        result.tenant = "aswan-club";
        result.className = "urgent";
        result.arrival = timers.now();
        result.deadline = timers.now() + 1s;
        result.body = std::make_shared<const std::string>(body);
        return result;
    }

    CallId handle(CallerRequest call)
    {
        return frontEnd.handle(std::move(call), [this](CallerResponse response) {
            ++answers;
            last = std::move(response);
        });
    }

    std::optional<RefusalKind> refusal() const
    {
        const auto *refusal = std::get_if<Refusal>(&last.answer);
        return refusal ? std::optional(refusal->kind) : std::nullopt;
    }

    ManualTimerService timers;
    SnapshotPublisher snapshots;
    FakeRunLog log;
    FakeRuns runs{timers, log};
    FakeAdmission admission;
    FakeStatus status;
    Stats stats;
    FrontEnd frontEnd{{timers, snapshots, runs, admission, status, stats}};
    int answers = 0;
    CallerResponse last{TextAnswer{}, false};
};

/// State of the daemon. Leaving still accepts requests of callers whose entries lists are valid;
/// OutOfService accepts none.
enum class Serving : std::uint8_t { Ready, Starting, Leaving, OutOfService };

RoutingSnapshot snapshotFor(Serving serving)
{
    RoutingSnapshot snapshot = makeSnapshot(serving != Serving::Starting);
    snapshot.acceptsNewWork = serving != Serving::OutOfService;
    snapshot.isLeaving = serving == Serving::Leaving || serving == Serving::OutOfService;
    return snapshot;
}

} // namespace

// Guards against calls that start although the state of the daemon, the deadline or admission
// control forbids it, calls that are refused although they should run, and admissions that are not
// released.
TEST_CASE("a call is checked before it starts")
{
    struct Row
    {
        const char *failure;
        Serving serving;
        const char *service;
        Duration deadline;
        AdmissionDecision decision;
        std::optional<RefusalKind> refusal;
        int admits;
        bool shouldClose;
    };
    constexpr AdmissionDecision Admitted = AdmissionDecision::Admitted;
    const Row row = GENERATE(values<Row>({
            {"an ordinary call is refused", Serving::Ready, "corte", 1ms, Admitted, {}, 1, false},
            {"a call starts after its deadline", Serving::Ready, "corte", 0ms, Admitted,
             RefusalKind::DeadlinePassed, 0, false},
            {"a call to an unknown service starts", Serving::Ready, "corta", 1s, Admitted,
             RefusalKind::UnknownService, 0, false},
            {"a service is reported as unknown before the catalog is known", Serving::Starting,
             "corte", 1s, Admitted, RefusalKind::NotReady, 0, false},
            {"a caller whose entries list is still valid is refused",
             Serving::Leaving,
             "corte",
             1s,
             Admitted,
             {},
             1,
             true},
            {"a daemon that is out of service accepts a call", Serving::OutOfService, "corte", 1s,
             Admitted, RefusalKind::NotAccepting, 0, true},
            {"a rate limit has no effect", Serving::Ready, "corte", 1s,
             AdmissionDecision::RateLimited, RefusalKind::RateLimited, 1, false},
            {"overload has no effect", Serving::Ready, "corte", 1s, AdmissionDecision::Overloaded,
             RefusalKind::Overloaded, 1, false},
            {"a call whose deadline passed in the queue starts", Serving::Ready, "corte", 1s,
             AdmissionDecision::DeadlinePassed, RefusalKind::DeadlinePassed, 1, false},
    }));
    const CallKind kind = GENERATE(CallKind::Search, CallKind::Book);
    INFO(row.failure);

    Fixture fixture;
    fixture.snapshots.publish(snapshotFor(row.serving));
    fixture.admission.decision = row.decision;
    CallerRequest request = fixture.request(kind);
    request.service = row.service;
    request.deadline = fixture.timers.now() + row.deadline;
    fixture.handle(std::move(request));
    const int runs = row.refusal ? 0 : 1;
    CHECK(fixture.frontEnd.running() == static_cast<std::uint32_t>(runs));
    fixture.timers.advance(1ms);

    CHECK(fixture.answers == 1);
    CHECK(fixture.refusal() == row.refusal);
    CHECK(fixture.last.shouldClose == row.shouldClose);
    CHECK(fixture.log.searches + fixture.log.bookings == runs);
    CHECK(fixture.admission.admits == row.admits);
    CHECK(fixture.admission.finishes == runs);
    CHECK(fixture.frontEnd.running() == 0);
    if (row.refusal)
        CHECK(std::get<Refusal>(fixture.last.answer).isNotRun);
    const bool isSearch = kind == CallKind::Search;
    CHECK(fixture.stats.value(isSearch ? Counter::Searches : Counter::Bookings) == 1);
    CHECK(fixture.stats.value(isSearch ? Counter::SearchesRefused : Counter::BookingsNotRun) ==
          static_cast<std::uint64_t>(1 - runs));
}

// Guards against a search that waits for admission and then starts according to the state from
// before the wait: in a zone that is out of service by now, or after its deadline.
TEST_CASE("a queued call is checked again when it is admitted")
{
    const auto [failure, serving, wait, refusal] =
            GENERATE(table<const char *, Serving, Duration, std::optional<RefusalKind>>({
                    {"a call starts in a zone that was taken out of service meanwhile",
                     Serving::OutOfService, 1ms, RefusalKind::NotAccepting},
                    {"a call starts after its deadline", Serving::Ready, 1s,
                     RefusalKind::DeadlinePassed},
                    {"a call that waited is not started", Serving::Ready, 999ms, std::nullopt},
            }));
    INFO(failure);

    Fixture fixture;
    fixture.admission.isQueueing = true;
    fixture.handle(fixture.request(CallKind::Search));
    fixture.timers.advance(wait);
    fixture.snapshots.publish(snapshotFor(serving));
    fixture.admission.release();
    fixture.timers.advance(0ms);
    CHECK(fixture.answers == 1);
    CHECK(fixture.refusal() == refusal);
    CHECK(fixture.log.searches == (refusal ? 0 : 1));
    CHECK(fixture.admission.finishes == 1);
}

// Guards against answers, "not run" claims and counters that do not match the outcome of the
// search.
TEST_CASE("the answer matches the outcome of a search")
{
    struct Row
    {
        const char *failure;
        SearchOutcome outcome;
        std::optional<RefusalKind> refusal;
        bool isNotRun;
        Counter counted;
        int overloads;
    };
    const MissingShard noCapacity{1, MissingReason::NoCapacity};
    const MissingShard failed{1, MissingReason::Failed};
    const Row row = GENERATE_COPY(values<Row>({
            {"a complete answer is counted as partial",
             {SearchStatus::Answered, 7, {2, 2, 20, 20}, {"[]", "[]"}, {}, 2, 0, 0},
             {},
             false,
             Counter::SearchesComplete,
             0},
            {"a partial answer is counted as complete",
             {SearchStatus::Answered, 7, {1, 2, 10, 20}, {"[]"}, {failed}, 2, 0, 0},
             {},
             false,
             Counter::SearchesPartial,
             0},
            {"missing capacity is not reported to admission control",
             {SearchStatus::Answered, 7, {1, 2, 10, 20}, {"[]"}, {noCapacity}, 2, 0, 0},
             {},
             false,
             Counter::SearchesPartial,
             1},
            {"a search that ran is reported as not run",
             {SearchStatus::BelowMinCoverage, 7, {1, 2, 10, 20}, {}, {failed}, 2, 0, 0},
             RefusalKind::BelowMinCoverage,
             false,
             Counter::SearchesRefused,
             0},
            {"a search without an index is reported as run",
             {SearchStatus::NoIndex, 0, {}, {}, {}, 0, 0, 0},
             RefusalKind::NotReady,
             true,
             Counter::SearchesRefused,
             0},
            {"a late search that sent nothing is reported as run",
             {SearchStatus::DeadlinePassed, 7, {}, {}, {}, 0, 0, 0},
             RefusalKind::DeadlinePassed,
             true,
             Counter::SearchesRefused,
             0},
            {"a late search that sent sub-requests is reported as not run",
             {SearchStatus::DeadlinePassed, 7, {}, {}, {}, 3, 1, 1},
             RefusalKind::DeadlinePassed,
             false,
             Counter::SearchesRefused,
             0},
    }));
    INFO(row.failure);

    Fixture fixture;
    fixture.log.echo = false;
    fixture.log.outcome = row.outcome;
    fixture.handle(fixture.request(CallKind::Search));
    fixture.timers.advance(0ms);
    CHECK(fixture.answers == 1);
    CHECK(fixture.refusal() == row.refusal);
    if (row.refusal)
        CHECK(std::get<Refusal>(fixture.last.answer).isNotRun == row.isNotRun);
    CHECK(fixture.stats.value(row.counted) == 1);
    CHECK(fixture.stats.summaries().size() == (row.refusal ? 0U : 1U));
    CHECK(fixture.admission.overloads == row.overloads);
    CHECK(fixture.admission.finishes == 1);
}

// Guards against bookings that are counted with a wrong outcome or lose their keys, and against a
// route key that sends repeats to another shard or all bookings to one shard.
TEST_CASE("a booking is routed by its keys and its outcome is counted")
{
    const auto [failure, outcome, routeKey, idempotencyKey, usedRouteKey, counted] = GENERATE(
            table<const char *, BookingOutcome, std::string, std::string, std::string, Counter>({
                    {"the route key is not used", BookingOutcome::Done, "bolt-7", "key-1", "bolt-7",
                     Counter::BookingsDone},
                    {"a repeat goes to another shard", BookingOutcome::NotRun, "", "key-1", "key-1",
                     Counter::BookingsNotRun},
                    {"all bookings without keys go to one shard", BookingOutcome::Unknown, "", "",
                     "1", Counter::BookingsUnknown},
            }));
    INFO(failure);

    Fixture fixture;
    fixture.log.booking.outcome = outcome;
    CallerRequest request = fixture.request(CallKind::Book);
    request.routeKey = routeKey;
    request.idempotencyKey = idempotencyKey;
    fixture.handle(std::move(request));
    fixture.timers.advance(0ms);
    CHECK(fixture.runs.lastBooking.routeKey == usedRouteKey);
    CHECK(fixture.runs.lastBooking.idempotencyKey == idempotencyKey);
    CHECK(fixture.runs.lastBooking.tenant == "aswan-club");
    REQUIRE(std::holds_alternative<BookingResult>(fixture.last.answer));
    CHECK(std::get<BookingResult>(fixture.last.answer).outcome == outcome);
    CHECK(fixture.stats.value(counted) == 1);
    CHECK(fixture.admission.finishes == 1);
}

// Guards against searches that continue or start after their caller has disconnected, and against
// bookings that are aborted by the disconnect although they were dispatched.
TEST_CASE("an abandoned call is not answered")
{
    struct Row
    {
        const char *failure;
        CallKind kind;
        bool isQueueing;
        const char *body;
        int searches;
        int abandoned;
        int bookings;
        std::uint64_t bookingsDone;
    };
    const Row row = GENERATE(values<Row>({
            {"a running search is not cancelled", CallKind::Search, false, "hold", 1, 1, 0, 0},
            {"a queued search starts after its caller has disconnected", CallKind::Search, true,
             "hold", 0, 0, 0, 0},
            {"a dispatched booking is not completed and counted", CallKind::Book, false, "slow", 0,
             0, 1, 1},
            {"a queued booking starts after its caller has disconnected", CallKind::Book, true,
             "slow", 0, 0, 0, 0},
    }));
    INFO(row.failure);

    Fixture fixture;
    fixture.admission.isQueueing = row.isQueueing;
    const CallId id = fixture.handle(fixture.request(row.kind, row.body));
    CHECK(fixture.frontEnd.running() == 1);
    fixture.frontEnd.abandon(id);
    fixture.frontEnd.abandon(id);
    fixture.admission.release();
    fixture.timers.advance(200ms);
    CHECK(fixture.answers == 0);
    CHECK(fixture.log.searches == row.searches);
    CHECK(fixture.log.abandoned == row.abandoned);
    CHECK(fixture.log.bookings == row.bookings);
    CHECK(fixture.stats.value(Counter::BookingsDone) == row.bookingsDone);
    CHECK(fixture.admission.finishes == 1);
    // The duration of an abandoned search must not be a sample: it would make the service look
    // fast.
    CHECK(fixture.admission.samples == static_cast<int>(row.bookingsDone));
    CHECK(fixture.frontEnd.running() == 0);
}

// Guards against readiness, status, entries and limits that do not match the current snapshot.
TEST_CASE("reports match the current snapshot")
{
    const auto [failure, serving, isReady] = GENERATE(table<const char *, Serving, bool>({
            {"a ready daemon looks unready", Serving::Ready, true},
            {"a daemon without configuration looks ready", Serving::Starting, false},
            {"a leaving daemon looks ready", Serving::Leaving, false},
            {"a daemon that is out of service looks ready", Serving::OutOfService, false},
    }));
    INFO(failure);

    Fixture fixture;
    fixture.snapshots.publish(snapshotFor(serving));
    fixture.status.value.warnings = {"store down"};
    fixture.handle(fixture.request(CallKind::Ready));
    CHECK(std::get<TextAnswer>(fixture.last.answer).isOk == isReady);
    fixture.handle(fixture.request(CallKind::Status));
    const auto status = std::get<StatusAnswer>(fixture.last.answer);
    CHECK(status.isReady == isReady);
    CHECK(status.rulesVersion == 3);
    CHECK(status.control.warnings.size() == 1);
    fixture.handle(fixture.request(CallKind::Health));
    CHECK(std::get<TextAnswer>(fixture.last.answer).isOk);
    fixture.handle(fixture.request(CallKind::Entries));
    const auto entries = std::get<EntriesAnswer>(fixture.last.answer);
    CHECK(entries.entries.size() == (serving == Serving::Starting ? 0U : 1U));
    CHECK(entries.validFor == EntriesValidFor);
    fixture.handle(fixture.request(CallKind::Limits));
    CHECK(std::get<LimitsAnswer>(fixture.last.answer).services.size() == 1);
    fixture.handle(fixture.request(CallKind::Metrics));
    CHECK(std::get<TextAnswer>(fixture.last.answer).kind == TextKind::Prometheus);
    CHECK(fixture.answers == 6);
    CHECK(fixture.frontEnd.running() == 0);
}
