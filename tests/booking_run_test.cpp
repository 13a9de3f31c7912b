#include "process/idempotency_claims_codec_p.h"
#include "support/booking.h"
#include "support/routing.h"
#include "support/scripted_sender.h"

#include <catch2/catch.hpp>

#include <geraniumcart/booking.h>
#include <geraniumcart/manual_timer_service.h>
#include <geraniumcart/memory_object_store.h>

#include <algorithm>
#include <map>
#include <set>

using namespace geraniumcart;
using namespace geraniumcart::test;
using namespace std::chrono_literals;

namespace {

/// A daemon with a scripted sender and its own connection to an object store, and the results of
/// its bookings.
struct Fixture
{
    explicit Fixture(ScriptedSender::Script script)
        : sender(timers, std::move(script))
    {
    }

    void book(std::string key, Duration deadline = 200ms, std::string body = "\"lens\"")
    {
        startedAt = timers.now();
        const auto run = BookingRun::create(
                {timers, sender, *claims}, pin,
                makeBooking(timers.now() + deadline, std::move(key), std::move(body)),
                [this](BookingResult result) {
                    results.push_back(std::move(result));
                    answeredAfter.push_back(timers.now() - startedAt);
                });
        const std::size_t before = results.size();
        run->start();
        CHECK(results.size() == before);
    }

    ManualTimerService timers;
    MemoryObjectStore store{timers};
    std::unique_ptr<IdempotencyClaims> claims = makeIdempotencyClaims(store, timers);
    ScriptedSender sender;
    SnapshotPin pin = pinOf(makeRouting(Shards, Replicas));
    TimePoint startedAt{};
    std::vector<BookingResult> results;
    std::vector<Duration> answeredAfter;
};

using Replies = std::vector<Reply>;
using Faults = std::function<void(Fixture &)>;

const Reply Answer{5ms};
Reply failureOf(SubRequestFailure failure)
{
    return {5ms, failure};
}

/// Expected outcome of a booking and the number of sub-requests that it sent.
struct Booked
{
    BookingOutcome outcome = BookingOutcome::Done;
    std::size_t sent = 0;
    Duration answeredBy{};
    /// Outcome of a repeated request with the same key after the faults have ended.
    BookingOutcome repeat = BookingOutcome::Done;
    std::size_t sentAfterRepeat = 0;
};

} // namespace

// Guards against bookings that run twice or report a wrong outcome when an attempt fails, its
// answer is late, or the store fails, delays or loses requests.
TEST_CASE("a booking runs at most once and reports its true outcome")
{
    constexpr auto Done = BookingOutcome::Done;
    constexpr auto NotRun = BookingOutcome::NotRun;
    constexpr auto Unknown = BookingOutcome::Unknown;
    const Faults none = [](Fixture &) {};
    // Attempts beyond the listed replies are answered after 5 ms.
    const auto
            [failure, replies, faults, booked] =
                    GENERATE_COPY(
                            table<const char *, Replies, Faults, Booked>(
                                    {
                                            {"repeated booking runs again",
                                             {Answer},
                                             none,
                                             {Done, 1, 10ms, Done, 1}},
                                            {"refused booking is not sent to another replica",
                                             {failureOf(SubRequestFailure::Refused)},
                                             none,
                                             {Done, 2, 20ms, Done, 2}},
                                            {"booking that was not sent is not sent to another "
                                             "replica",
                                             {failureOf(SubRequestFailure::ConnectFailed)},
                                             none,
                                             {Done, 2, 20ms, Done, 2}},
                                            {"refusals are retried without limit, or key stays "
                                             "claimed "
                                             "after not-run",
                                             {failureOf(SubRequestFailure::Refused),
                                              failureOf(SubRequestFailure::NoCapacity),
                                              failureOf(SubRequestFailure::NotSent)},
                                             none,
                                             {NotRun, 3, 30ms, Done, 4}},
                                            {"booking is retried after a lost connection",
                                             {failureOf(SubRequestFailure::ConnectionLost)},
                                             none,
                                             {Unknown, 1, 10ms, Unknown, 1}},
                                            {"booking is retried after a timeout",
                                             {failureOf(SubRequestFailure::TimedOut)},
                                             none,
                                             {Unknown, 1, 10ms, Unknown, 1}},
                                            {"booking is retried after a searcher's error",
                                             {failureOf(SubRequestFailure::Failed)},
                                             none,
                                             {Unknown, 1, 10ms, Unknown, 1}},
                                            {"booking is retried after a malformed answer",
                                             {failureOf(SubRequestFailure::Malformed)},
                                             none,
                                             {Unknown, 1, 10ms, Unknown, 1}},
                                            {"booking is retried after a refusal and a lost "
                                             "connection",
                                             {failureOf(SubRequestFailure::Refused),
                                              failureOf(SubRequestFailure::ConnectionLost)},
                                             none,
                                             {Unknown, 2, 20ms, Unknown, 2}},
                                            {"late answer is not recorded",
                                             {Reply{300ms}},
                                             none,
                                             {Unknown, 1, 200ms - BookingAnswerMargin, Done, 1}},
                                            {"late refusal does not release the key",
                                             {Reply{300ms, SubRequestFailure::Refused}},
                                             none,
                                             {Unknown, 1, 200ms - BookingAnswerMargin, Done, 2}},
                                            {"dispatch without a claim while the store refuses",
                                             {Answer},
                                             [](Fixture &fixture) {
                                                 fixture.store.setOutage(StoreOutage::Refusing);
                                             },
                                             {NotRun, 0, 10ms, Done, 1}},
                                            {"dispatch without a claim while the store does not "
                                             "answer",
                                             {Answer},
                                             [](Fixture &fixture) {
                                                 fixture.store.setOutage(StoreOutage::Silent);
                                             },
                                             {NotRun, 0, 200ms - BookingAnswerMargin, Done, 1}},
                                            {"claim confirmed after the answer is dispatched or "
                                             "kept",
                                             {Answer},
                                             [](Fixture &fixture) {
                                                 fixture.store.setDelay(500ms);
                                             },
                                             {NotRun, 0, 200ms - BookingAnswerMargin, Done, 1}},
                                            {"lost answer to the claim ends the booking",
                                             {Answer},
                                             [](Fixture &fixture) { fixture.store.loseAnswers(1); },
                                             {Done, 1, 10ms, Done, 1}},
                                            {"lost claim ends the booking",
                                             {Answer},
                                             [](Fixture &fixture) {
                                                 fixture.store.loseRequests(1);
                                             },
                                             {Done, 1, 10ms, Done, 1}},
                                            {"lost answer to the record blocks the answer or "
                                             "writes twice",
                                             {Answer},
                                             [](Fixture &fixture) {
                                                 fixture.timers.schedule(2ms, [&fixture] {
                                                     fixture.store.loseAnswers(1);
                                                 });
                                             },
                                             {Done, 1, 5ms + MaxRecordWait, Done, 1}},
                                            {"lost record is not retried",
                                             {Answer},
                                             [](Fixture &fixture) {
                                                 fixture.timers.schedule(2ms, [&fixture] {
                                                     fixture.store.loseRequests(2);
                                                 });
                                             },
                                             {Done, 1, 5ms + MaxRecordWait, Done, 1}},
                                            {"store outage blocks the answer",
                                             {Answer},
                                             [](Fixture &fixture) {
                                                 fixture.timers.schedule(2ms, [&fixture] {
                                                     fixture.store.setOutage(StoreOutage::Silent);
                                                 });
                                             },
                                             {Done, 1, 5ms + MaxRecordWait, Done, 1}},
                                            {"outcome that was never recorded is reported as known",
                                             {Answer},
                                             [](Fixture &fixture) {
                                                 fixture.timers.schedule(2ms, [&fixture] {
                                                     fixture.store.loseRequests(100);
                                                 });
                                             },
                                             {Done, 1, 5ms + MaxRecordWait, Unknown, 1}},
                                    }));
    INFO(failure);

    std::size_t next = 0;
    Fixture fixture([&, replies = replies](const SubRequest &, std::uint32_t) {
        const std::size_t i = next++;
        return i < replies.size() ? replies[i] : Answer;
    });
    faults(fixture);
    fixture.book("k1");
    fixture.timers.advance(1s);
    // The outage ends, and retries in the background get time to finish.
    fixture.store.setOutage(StoreOutage::None);
    fixture.timers.advance(20s);
    fixture.store.setDelay({});
    fixture.store.loseRequests(0);

    REQUIRE(fixture.results.size() == 1);
    CHECK(fixture.results[0].outcome == booked.outcome);
    CHECK_FALSE(fixture.results[0].isRepeat);
    CHECK(fixture.sender.sent.size() == booked.sent);
    CHECK(fixture.answeredAfter[0] <= booked.answeredBy);
    CHECK(fixture.results[0].body.empty() == (booked.outcome != Done));

    fixture.book("k1");
    fixture.timers.advance(20s);
    REQUIRE(fixture.results.size() == 2);
    CHECK(fixture.results[1].outcome == booked.repeat);
    CHECK(fixture.sender.sent.size() == booked.sentAfterRepeat);
    // If the repeated request was not dispatched, isRepeat marks its outcome as the earlier
    // request's.
    CHECK(fixture.results[1].isRepeat == (booked.sentAfterRepeat == booked.sent));
    CHECK(fixture.timers.pending() == 0);
}

// Guards against dispatching a booking that must not run: it is late, has no partition map, no
// usable replica, or a key that belongs to another booking.
TEST_CASE("a booking that cannot start is not run")
{
    using Start = std::function<void(Fixture &)>;
    const auto [failure, start, reason] =
            GENERATE(
                    table<const char *, Start, const char *>({
                            {"late booking is dispatched",
                             [](Fixture &fixture) { fixture.book("", 0ms); }, "deadline passed"},
                            {"booking runs without a partition map",
                             [](Fixture &fixture) {
                                 ServiceRouting routing = makeRouting(Shards, Replicas);
                                 routing.view.reset();
                                 fixture.pin = pinOf(std::move(routing));
                                 fixture.book("");
                             },
                             "no partition map"},
                            {"draining searcher gets a booking",
                             [](Fixture &fixture) {
                                 ServiceRouting routing = makeRouting(Shards, Replicas);
                                 for (Searcher &searcher : routing.searchers)
                                     searcher.state->setDraining(true);
                                 fixture.pin = pinOf(std::move(routing));
                                 fixture.book("");
                             },
                             "no replica"},
                            {"stopped version gets a booking",
                             [](Fixture &fixture) {
                                 ServiceRouting routing = makeRouting(Shards, Replicas);
                                 for (Searcher &searcher : routing.searchers)
                                     searcher.entry.backEndVersion = "bad";
                                 routing.versionShares = {{"good", 1}, {"bad", 0}};
                                 fixture.pin = pinOf(std::move(routing));
                                 fixture.book("");
                             },
                             "no replica"},
                            {"key that was used for another body is accepted",
                             [](Fixture &fixture) {
                                 fixture.book("k1");
                                 fixture.timers.advance(1s);
                                 fixture.results.clear();
                                 fixture.sender.sent.clear();
                                 fixture.book("k1", 200ms, "\"tripod\"");
                             },
                             "idempotency key was used for another body"},
                            {"claim written by another program is overwritten",
                             [](Fixture &fixture) {
                                 fixture.store.objects().write(claimKey("club", "k1"), "{}");
                                 fixture.book("k1");
                             },
                             "stored claim is not readable"},
                    }));
    INFO(failure);
    Fixture fixture([](const SubRequest &, std::uint32_t) { return Answer; });
    start(fixture);
    fixture.timers.advance(1s);
    REQUIRE(fixture.results.size() == 1);
    CHECK(fixture.results[0].reason == reason);
    // An object that another program stored under the key may belong to a booking that ran.
    CHECK(fixture.results[0].outcome == (std::string_view(reason) == "stored claim is not readable"
                                                 ? BookingOutcome::Unknown
                                                 : BookingOutcome::NotRun));
    CHECK(fixture.sender.sent.empty());
}

// Guards against route keys that change their replica without need, and against back-end versions
// that get more or less than their share of the keys. The share is that of replica 2, the new
// version.
TEST_CASE("rendezvous hashing keeps a route key on its replica")
{
    using Prepare = std::function<void(std::vector<Searcher> &)>;
    const auto [failure, shares, prepare, newShare, maxMoved] =
            GENERATE(table<const char *, std::vector<VersionShare>, Prepare,
                           std::pair<double, double>, double>({
                    {"keys move although nothing changed", {}, [](auto &) {}, {0.28, 0.38}, 0.0},
                    {"loss of a replica moves the keys of other replicas",
                     {},
                     [](auto &s) { s[0].state->setDraining(true); },
                     {0.28, 0.55},
                     0.38},
                    {"version share is not kept",
                     {{"old", 0.95}, {"new", 0.05}},
                     [](auto &) {},
                     {0.03, 0.07},
                     0.4},
            }));
    INFO(failure);
    constexpr int Keys = 2000;
    const auto assignKeys = [](const std::vector<VersionShare> &versionShares,
                               const Prepare &change) {
        ServiceRouting routing = makeRouting(1, Replicas);
        for (std::uint32_t i = 0; i < Replicas; ++i)
            routing.searchers[i].entry.backEndVersion = i < 2 ? "old" : "new";
        routing.versionShares = versionShares;
        change(routing.searchers);
        Fixture fixture([](const SubRequest &, std::uint32_t) { return Answer; });
        fixture.pin = pinOf(std::move(routing));
        for (int key = 0; key < Keys; ++key) {
            BookingRequest request = makeBooking(fixture.timers.now() + 1s, "");
            request.routeKey = std::to_string(key);
            BookingRun::create({fixture.timers, fixture.sender, *fixture.claims}, fixture.pin,
                               request, [](BookingResult) {})
                    ->start();
        }
        fixture.timers.advance(2s);
        std::vector<std::string> addresses;
        for (const SubRequest &sent : fixture.sender.sent)
            addresses.push_back(sent.upstream->address());
        return addresses;
    };
    const auto before = assignKeys({}, [](auto &) {});
    const auto after = assignKeys(shares, prepare);
    REQUIRE(after.size() == Keys);
    int moved = 0;
    int newVersion = 0;
    for (int key = 0; key < Keys; ++key) {
        moved += before[key] != after[key];
        newVersion += after[key] == "10.0.0.2";
    }
    CHECK(moved <= maxMoved * Keys);
    CHECK(newVersion >= newShare.first * Keys);
    CHECK(newVersion <= newShare.second * Keys);
}

// Guards against two claims that share one object name because a name contains a separator or an
// escape, and against broken records that are read as valid.
TEST_CASE("claims are encoded without ambiguity")
{
    const auto [failure, tenant, key, expected] =
            GENERATE(table<const char *, const char *, const char *, const char *>({
                    {"plain names are changed", "club", "k-1", "claims/club/k-1"},
                    {"slash in the tenant separates the names", "a/b", "c", "claims/a%2Fb/c"},
                    {"slash in the key", "a", "b/c", "claims/a/b%2Fc"},
                    {"dots refer to the parent folder", "a", "..", "claims/a/%2E%2E"},
                    {"escaped name collides with a plain name", "a%2F", "b", "claims/a%252F/b"},
                    {"non-ASCII byte depends on the locale", "\xc3\xa9", "b", "claims/%C3%A9/b"},
            }));
    INFO(failure);
    CHECK(claimKey(tenant, key) == expected);

    for (const ClaimPhase phase : {ClaimPhase::Running, ClaimPhase::Done, ClaimPhase::NotRun}) {
        const ClaimRecord record{"n", "f", phase,
                                 phase == ClaimPhase::Done ? R"({"a":"\"x"})" : ""};
        CHECK(parseClaim(formatClaim(record)) == record);
    }
    for (const char *broken : {"", "{", "[]", "{}", R"({"nonce":"n","fingerprint":"f"})",
                               R"({"nonce":"n","fingerprint":"f","phase":"x"})",
                               R"({"nonce":"n","fingerprint":"f","phase":"done"})"})
        CHECK_FALSE(parseClaim(broken).has_value());
}
