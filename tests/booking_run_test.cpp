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

/// One daemon with its own path to a store that others share.
struct BookingBench
{
    explicit BookingBench(ScriptedSender::Script script)
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
using Faults = std::function<void(BookingBench &)>;

const Reply Answer{5ms};
Reply failureOf(SubRequestFailure failure)
{
    return {5ms, failure};
}

struct Booked
{
    BookingOutcome outcome = BookingOutcome::Done;
    std::size_t sent = 0;
    Duration answeredBy{};
    /// What a repeat with the same key gets, once the faults are over.
    BookingOutcome repeat = BookingOutcome::Done;
    std::size_t sentAfterRepeat = 0;
};

} // namespace

TEST_CASE("a booking runs at most once and reports its end truthfully")
{
    constexpr auto Done = BookingOutcome::Done;
    constexpr auto NotRun = BookingOutcome::NotRun;
    constexpr auto Unknown = BookingOutcome::Unknown;
    const Faults none = [](BookingBench &) {};
    // Attempts without a reply of their own are answered after 5 ms.
    const auto
            [failure, replies, faults, booked] =
                    GENERATE_COPY(
                            table<const char *, Replies, Faults, Booked>(
                                    {
                                            {"repeat runs again",
                                             {Answer},
                                             none,
                                             {Done, 1, 10ms, Done, 1}},
                                            {"refusal is not tried elsewhere",
                                             {failureOf(SubRequestFailure::Refused)},
                                             none,
                                             {Done, 2, 20ms, Done, 2}},
                                            {"failed connection is not tried elsewhere",
                                             {failureOf(SubRequestFailure::ConnectFailed)},
                                             none,
                                             {Done, 2, 20ms, Done, 2}},
                                            {"refusals go on without end, or key stays taken after "
                                             "not-run",
                                             {failureOf(SubRequestFailure::Refused),
                                              failureOf(SubRequestFailure::NoCapacity),
                                              failureOf(SubRequestFailure::NotSent)},
                                             none,
                                             {NotRun, 3, 30ms, Done, 4}},
                                            {"lost connection is tried again",
                                             {failureOf(SubRequestFailure::ConnectionLost)},
                                             none,
                                             {Unknown, 1, 10ms, Unknown, 1}},
                                            {"time-out is tried again",
                                             {failureOf(SubRequestFailure::TimedOut)},
                                             none,
                                             {Unknown, 1, 10ms, Unknown, 1}},
                                            {"searcher's error is tried again",
                                             {failureOf(SubRequestFailure::Failed)},
                                             none,
                                             {Unknown, 1, 10ms, Unknown, 1}},
                                            {"malformed answer is tried again",
                                             {failureOf(SubRequestFailure::Malformed)},
                                             none,
                                             {Unknown, 1, 10ms, Unknown, 1}},
                                            {"lost connection after a refusal is tried again",
                                             {failureOf(SubRequestFailure::Refused),
                                              failureOf(SubRequestFailure::ConnectionLost)},
                                             none,
                                             {Unknown, 2, 20ms, Unknown, 2}},
                                            {"late answer is not recorded",
                                             {Reply{300ms}},
                                             none,
                                             {Unknown, 1, 200ms - BookingAnswerMargin, Done, 1}},
                                            {"late refusal keeps the key",
                                             {Reply{300ms, SubRequestFailure::Refused}},
                                             none,
                                             {Unknown, 1, 200ms - BookingAnswerMargin, Done, 2}},
                                            {"dispatch without a claim while the store refuses",
                                             {Answer},
                                             [](BookingBench &b) {
                                                 b.store.setOutage(StoreOutage::Refusing);
                                             },
                                             {NotRun, 0, 10ms, Done, 1}},
                                            {"dispatch without a claim while the store is silent",
                                             {Answer},
                                             [](BookingBench &b) {
                                                 b.store.setOutage(StoreOutage::Silent);
                                             },
                                             {NotRun, 0, 200ms - BookingAnswerMargin, Done, 1}},
                                            {"claim that arrives after the answer is used or kept",
                                             {Answer},
                                             [](BookingBench &b) { b.store.setDelay(500ms); },
                                             {NotRun, 0, 200ms - BookingAnswerMargin, Done, 1}},
                                            {"lost answer to the claim ends the booking",
                                             {Answer},
                                             [](BookingBench &b) { b.store.loseAnswers(1); },
                                             {Done, 1, 10ms, Done, 1}},
                                            {"lost claim ends the booking",
                                             {Answer},
                                             [](BookingBench &b) { b.store.loseRequests(1); },
                                             {Done, 1, 10ms, Done, 1}},
                                            {"lost answer to the record blocks the answer or "
                                             "writes twice",
                                             {Answer},
                                             [](BookingBench &b) {
                                                 b.timers.schedule(
                                                         2ms, [&b] { b.store.loseAnswers(1); });
                                             },
                                             {Done, 1, 5ms + MaxRecordWait, Done, 1}},
                                            {"record is not repeated",
                                             {Answer},
                                             [](BookingBench &b) {
                                                 b.timers.schedule(
                                                         2ms, [&b] { b.store.loseRequests(2); });
                                             },
                                             {Done, 1, 5ms + MaxRecordWait, Done, 1}},
                                            {"store outage blocks the answer",
                                             {Answer},
                                             [](BookingBench &b) {
                                                 b.timers.schedule(2ms, [&b] {
                                                     b.store.setOutage(StoreOutage::Silent);
                                                 });
                                             },
                                             {Done, 1, 5ms + MaxRecordWait, Done, 1}},
                                            {"end that was never recorded is made up",
                                             {Answer},
                                             [](BookingBench &b) {
                                                 b.timers.schedule(
                                                         2ms, [&b] { b.store.loseRequests(100); });
                                             },
                                             {Done, 1, 5ms + MaxRecordWait, Unknown, 1}},
                                    }));
    INFO(failure);

    std::size_t next = 0;
    BookingBench bench([&, replies = replies](const SubRequest &, std::uint32_t) {
        const std::size_t i = next++;
        return i < replies.size() ? replies[i] : Answer;
    });
    faults(bench);
    bench.book("k1");
    bench.timers.advance(1s);
    // The outage ends; what retries in the background has time to do so.
    bench.store.setOutage(StoreOutage::None);
    bench.timers.advance(20s);
    bench.store.setDelay({});
    bench.store.loseRequests(0);

    REQUIRE(bench.results.size() == 1);
    CHECK(bench.results[0].outcome == booked.outcome);
    CHECK_FALSE(bench.results[0].isRepeat);
    CHECK(bench.sender.sent.size() == booked.sent);
    CHECK(bench.answeredAfter[0] <= booked.answeredBy);
    CHECK(bench.results[0].body.empty() == (booked.outcome != Done));

    bench.book("k1");
    bench.timers.advance(20s);
    REQUIRE(bench.results.size() == 2);
    CHECK(bench.results[1].outcome == booked.repeat);
    CHECK(bench.sender.sent.size() == booked.sentAfterRepeat);
    // A repeat that was not dispatched says that its outcome belongs to the earlier request.
    CHECK(bench.results[1].isRepeat == (booked.sentAfterRepeat == booked.sent));
    CHECK(bench.timers.pending() == 0);
}

TEST_CASE("a booking that cannot start is not run")
{
    using Start = std::function<void(BookingBench &)>;
    const auto [failure, start, reason] =
            GENERATE(
                    table<const char *, Start, const char *>(
                            {
                                    {"late booking is dispatched",
                                     [](BookingBench &b) { b.book("", 0ms); }, "deadline passed"},
                                    {"booking runs without a partition map",
                                     [](BookingBench &b) {
                                         ServiceRouting routing = makeRouting(Shards, Replicas);
                                         routing.view.reset();
                                         b.pin = pinOf(std::move(routing));
                                         b.book("");
                                     },
                                     "no partition map"},
                                    {"draining searcher gets a booking",
                                     [](BookingBench &b) {
                                         ServiceRouting routing = makeRouting(Shards, Replicas);
                                         for (Searcher &searcher : routing.searchers)
                                             searcher.state->setDraining(true);
                                         b.pin = pinOf(std::move(routing));
                                         b.book("");
                                     },
                                     "no replica"},
                                    {"stopped version gets a booking",
                                     [](BookingBench &b) {
                                         ServiceRouting routing = makeRouting(Shards, Replicas);
                                         for (Searcher &searcher : routing.searchers)
                                             searcher.entry.backEndVersion = "bad";
                                         routing.versionShares = {{"good", 1}, {"bad", 0}};
                                         b.pin = pinOf(std::move(routing));
                                         b.book("");
                                     },
                                     "no replica"},
                                    {"key that was used for another body is accepted",
                                     [](BookingBench &b) {
                                         b.book("k1");
                                         b.timers.advance(1s);
                                         b.results.clear();
                                         b.sender.sent.clear();
                                         b.book("k1", 200ms, "\"tripod\"");
                                     },
                                     "idempotency key was used for another body"},
                                    {"claim of another program is overwritten",
                                     [](BookingBench &b) {
                                         b.store.objects().write(claimKey("club", "k1"), "{}");
                                         b.book("k1");
                                     },
                                     "stored claim is not readable"},
                            }));
    INFO(failure);
    BookingBench bench([](const SubRequest &, std::uint32_t) { return Answer; });
    start(bench);
    bench.timers.advance(1s);
    REQUIRE(bench.results.size() == 1);
    CHECK(bench.results[0].reason == reason);
    // What another program left under the key may stand for a booking that ran.
    CHECK(bench.results[0].outcome == (std::string_view(reason) == "stored claim is not readable"
                                               ? BookingOutcome::Unknown
                                               : BookingOutcome::NotRun));
    CHECK(bench.sender.sent.empty());
}

// Guards against bookings of one key that move between replicas, and against shares of back-end
// versions that are not kept.
TEST_CASE("rendezvous hashing keeps a route key on its replica")
{
    using Prepare = std::function<void(std::vector<Searcher> &)>;
    const auto [failure, shares, prepare, newShare, mostMoved] =
            GENERATE(table<const char *, std::vector<VersionShare>, Prepare,
                           std::pair<double, double>, double>({
                    {"keys move without a cause", {}, [](auto &) {}, {0.28, 0.38}, 0.0},
                    {"loss of a replica moves the keys of others",
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
    const auto placesOf = [](const std::vector<VersionShare> &versionShares,
                             const Prepare &change) {
        ServiceRouting routing = makeRouting(1, Replicas);
        for (std::uint32_t i = 0; i < Replicas; ++i)
            routing.searchers[i].entry.backEndVersion = i < 2 ? "old" : "new";
        routing.versionShares = versionShares;
        change(routing.searchers);
        BookingBench bench([](const SubRequest &, std::uint32_t) { return Answer; });
        bench.pin = pinOf(std::move(routing));
        for (int key = 0; key < Keys; ++key) {
            BookingRequest request = makeBooking(bench.timers.now() + 1s, "");
            request.routeKey = std::to_string(key);
            BookingRun::create({bench.timers, bench.sender, *bench.claims}, bench.pin, request,
                               [](BookingResult) {})
                    ->start();
        }
        bench.timers.advance(2s);
        std::vector<std::string> places;
        for (const SubRequest &sent : bench.sender.sent)
            places.push_back(sent.upstream->address());
        return places;
    };
    const auto before = placesOf({}, [](auto &) {});
    const auto after = placesOf(shares, prepare);
    REQUIRE(after.size() == Keys);
    int moved = 0;
    int newVersion = 0;
    for (int key = 0; key < Keys; ++key) {
        moved += before[key] != after[key];
        newVersion += after[key] == "10.0.0.2";
    }
    CHECK(moved <= mostMoved * Keys);
    CHECK(newVersion >= newShare.first * Keys);
    CHECK(newVersion <= newShare.second * Keys);
}

TEST_CASE("claims are encoded without ambiguity")
{
    const auto [failure, tenant, key, expected] =
            GENERATE(table<const char *, const char *, const char *, const char *>({
                    {"plain names are changed", "club", "k-1", "claims/club/k-1"},
                    {"slash moves the border of the names", "a/b", "c", "claims/a%2Fb/c"},
                    {"slash in the key", "a", "b/c", "claims/a/b%2Fc"},
                    {"dots name another folder", "a", "..", "claims/a/%2E%2E"},
                    {"escaped and plain name collide", "a%2F", "b", "claims/a%252F/b"},
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
