#include "support/exchange_ends.h"
#include "support/fake_fleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

using namespace geraniumcart;
using namespace geraniumcart::test;
using namespace std::chrono_literals;

// Guards against new requests to a searcher that has announced its stop while another searcher can
// serve them, against missing a shard whose only searcher still serves, and against using that one
// for longer than it serves.
TEST_CASE("a searcher that is about to stop gets requests only as a last resort and for a limited "
          "time")
{
    struct Row
    {
        const char *failure;
        /// Searchers of the service.
        std::vector<std::string> searchers;
        /// Searchers that announce their stop.
        std::vector<std::string> leaving;
        Duration wait{};
        /// Searchers that get the next ten requests.
        std::set<std::string> expected;
    };
    const auto row = GENERATE(values<Row>({
            {"a leaving searcher gets new requests", {"a", "b"}, {"a"}, 0ms, {"b"}},
            {"the last searcher is not used while it serves", {"a"}, {"a"}, 2800ms, {"a"}},
            {"the last searcher is used for too long", {"a"}, {"a"}, 3000ms, {}},
            {"leaving searchers are not used although all leave",
             {"a", "b"},
             {"a", "b"},
             1000ms,
             {"a", "b"}},
            {"searchers that left are used because all leave", {"a", "b"}, {"a", "b"}, 3000ms, {}},
    }));
    INFO(row.failure);
    GatewayFixture fixture({plainRoute()}, {0, 0});
    for (const std::string &id : row.searchers)
        fixture.add(searcher("desk", id));
    const auto view = fixture.views.pin();
    for (const auto &upstream : view->find("desk")->upstreams)
        for (const std::string &id : row.leaving)
            if (upstream->instanceId() == id)
                upstream->markLeaving(fixture.timers.now());
    fixture.advance(row.wait);
    std::set<std::string> used;
    for (std::size_t i = 0; i < 10; ++i) {
        const std::size_t before = fixture.transport.sent.size();
        fixture.request("/plain/1");
        fixture.advance(0ms);
        if (fixture.transport.sent.size() == before)
            continue;
        used.insert(fixture.transport.instance(before));
        fixture.transport.reply(before, goodReply());
    }
    CHECK(used == row.expected);
    // Requests that no searcher may get are refused at once.
    REQUIRE(fixture.answers.size() == 10);
    CHECK((fixture.answers.back().status == RoutedStatus::Refused) == row.expected.empty());
}

// Guards against hedges to a searcher that has announced its stop, and against a retry that is not
// sent although only such a searcher is left.
TEST_CASE("a searcher that is about to stop gets retries but no hedges")
{
    const auto [failure, first, sends] = GENERATE(table<const char *, ExchangeEnd, std::size_t>({
            {"a hedge is sent to a leaving searcher", ExchangeEnd::Good, 1},
            {"a retry is not sent to the only searcher left", ExchangeEnd::Lost, 2},
    }));
    INFO(failure);
    GatewayFixture fixture({plainRoute()});
    fixture.add(searcher("desk", "a"));
    fixture.add(searcher("desk", "b"));
    fixture.request("/plain/1");
    REQUIRE(fixture.transport.sent.size() == 1);
    // Another request learns that the other searcher is about to stop.
    const auto view = fixture.views.pin();
    for (const auto &upstream : view->find("desk")->upstreams)
        if (upstream != fixture.transport.sent[0].upstream)
            upstream->markLeaving(fixture.timers.now());
    if (first == ExchangeEnd::Lost)
        fixture.transport.fail(0, ExchangeFailure::Lost);
    fixture.advance(150ms);
    CHECK(fixture.transport.sent.size() == sends);
}

// Guards against requests, hedges and retries to a searcher during the pause that it asked for, and
// against a burst of requests to it right after the pause.
TEST_CASE("a searcher gets nothing during its pause and then a growing number of requests")
{
    GatewayFixture fixture({plainRoute(RouteKind::Idempotent, 1)}, {0, 0});
    fixture.add(searcher("desk", "a"));
    fixture.request("/plain/1");
    fixture.transport.reply(0, pauseReply(2s));
    fixture.advance(1ms);
    REQUIRE(fixture.answers.size() == 1);
    for (int i = 0; i < 19; ++i) {
        fixture.advance(100ms);
        fixture.request("/plain/1");
    }
    CHECK(fixture.transport.sent.size() == 1);
    fixture.advance(200ms);
    // One request until the first answer, then two, then no limit.
    std::size_t inFlight = 0;
    for (const std::size_t allowed : {std::size_t{1}, std::size_t{2}, std::size_t{10}}) {
        const std::size_t before = fixture.transport.sent.size();
        for (int i = 0; i < 10; ++i)
            fixture.request("/plain/1");
        inFlight += fixture.transport.sent.size() - before;
        CHECK(inFlight == allowed);
        fixture.transport.reply(before, goodReply());
        --inFlight;
        fixture.advance(0ms);
        // Requests that wait for the searcher are not part of the next step.
        fixture.advance(1100ms);
        for (std::size_t i = before; i < fixture.transport.sent.size(); ++i)
            if (fixture.transport.sent[i].isOpen)
                fixture.transport.fail(i, ExchangeFailure::TimedOut);
        inFlight = 0;
        fixture.advance(2s);
    }
}

// Guards against callers that are held until their deadline, or sent back too early, while all
// searchers of a service, or of too many shards, have asked for a pause, and against a refusal
// while enough shards can answer.
TEST_CASE("a request that pauses keep from being served is refused at once until they end")
{
    struct Row
    {
        const char *failure;
        const char *target;
        /// Pauses of the searchers: of `desk` for the plain route, else one for each shard.
        std::vector<Duration> pauses;
        RoutedStatus status;
        Duration shortestRetry{};
        Duration longestRetry{};
    };
    const auto row = GENERATE(values<Row>({
            {"a caller waits although all searchers paused",
             "/plain/1",
             {3s, 1s},
             RoutedStatus::Refused,
             1s,
             1500ms},
            {"a caller is refused although one searcher may be used",
             "/plain/1",
             {3s, 0s},
             RoutedStatus::Reply},
            {"a caller waits although too few shards can answer",
             "/scatter/1",
             {2s, 3s, 0s, 0s},
             RoutedStatus::Refused,
             2s,
             3s},
            {"a caller is refused although enough shards can answer",
             "/scatter/1",
             {2s, 0s, 0s, 0s},
             RoutedStatus::Merged},
    }));
    INFO(row.failure);
    GatewayFixture fixture({plainRoute(), scatterRoute(4, 0.75)}, {0, 0});
    const bool isPlain = row.target == std::string("/plain/1");
    for (std::size_t i = 0; i < row.pauses.size(); ++i)
        fixture.add(
                searcher(isPlain ? "desk" : "shard" + std::to_string(i), "s" + std::to_string(i)));
    const auto view = fixture.views.pin();
    for (const auto &[name, service] : view->services)
        for (const auto &upstream : service.upstreams)
            upstream->pause(fixture.timers.now(),
                            row.pauses[static_cast<std::size_t>(upstream->instanceId()[1] - '0')]);
    fixture.request(row.target);
    fixture.advance(0ms);
    for (std::size_t i = 0; i < fixture.transport.sent.size(); ++i)
        fixture.transport.reply(i, goodReply("0123456789abcdef", "sig" + std::to_string(i)));
    REQUIRE(fixture.answers.size() == 1);
    CHECK(fixture.answers[0].status == row.status);
    if (row.status == RoutedStatus::Merged)
        CHECK(fixture.answers[0].missingShards == 1);
    CHECK(fixture.answers[0].retryAfter >= row.shortestRetry);
    CHECK(fixture.answers[0].retryAfter <= row.longestRetry);
}
