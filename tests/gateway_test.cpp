#include "support/fake_fleet.h"

#include <catch2/catch.hpp>

#include <geraniumcart/record_merge.h>

#include <map>

using namespace geraniumcart;
using namespace geraniumcart::test;
using namespace std::chrono_literals;

namespace {

enum class End { Good, Error, NotRun, OtherInstance, NotSent, Lost, Malformed };

void endExchange(FakeTransport &transport, std::size_t index, End end)
{
    switch (end) {
    case End::Good:
        transport.reply(index, goodReply());
        return;
    case End::Error:
        transport.reply(index, errorReply());
        return;
    case End::NotRun:
        transport.reply(index, notRunReply());
        return;
    case End::OtherInstance:
        transport.reply(index, otherInstanceReply());
        return;
    case End::NotSent:
        transport.fail(index, ExchangeFailure::NotSent);
        return;
    case End::Lost:
        transport.fail(index, ExchangeFailure::Lost);
        return;
    case End::Malformed:
        transport.fail(index, ExchangeFailure::Malformed);
        return;
    }
}

} // namespace

TEST_CASE("a request without an answer is repeated only where the route allows it")
{
    const auto [failure, kind, first, sends, status] =
            GENERATE(table<const char *, RouteKind, End, std::size_t, RoutedStatus>({
                    {"a lost answer runs an at-most-once request again", RouteKind::AtMostOnce,
                     End::Lost, 1, RoutedStatus::Failed},
                    {"broken bytes run an at-most-once request again", RouteKind::AtMostOnce,
                     End::Malformed, 1, RoutedStatus::Failed},
                    {"a searcher's error runs an at-most-once request again", RouteKind::AtMostOnce,
                     End::Error, 1, RoutedStatus::Reply},
                    {"a proven refusal ends an at-most-once request", RouteKind::AtMostOnce,
                     End::NotRun, 2, RoutedStatus::Reply},
                    {"an unsent at-most-once request is given up", RouteKind::AtMostOnce,
                     End::NotSent, 2, RoutedStatus::Reply},
                    {"another searcher at the address ends the request", RouteKind::AtMostOnce,
                     End::OtherInstance, 2, RoutedStatus::Reply},
                    {"a lost answer of a repeatable request is final", RouteKind::Idempotent,
                     End::Lost, 2, RoutedStatus::Reply},
                    {"a searcher's error of a repeatable request is final", RouteKind::Idempotent,
                     End::Error, 2, RoutedStatus::Reply},
            }));
    INFO(failure);
    GatewayCell cell({plainRoute(kind)});
    cell.add(searcher("desk", "a"));
    cell.add(searcher("desk", "b"));
    cell.request("/plain/1");
    REQUIRE(cell.transport.sent.size() == 1);
    endExchange(cell.transport, 0, first);
    cell.advance(50ms);
    CHECK(cell.transport.sent.size() == sends);
    if (sends == 2) {
        CHECK(cell.transport.instance(0) != cell.transport.instance(1));
        endExchange(cell.transport, 1, End::Good);
    }
    REQUIRE(cell.answers.size() == 1);
    CHECK(cell.answers[0].status == status);
}

TEST_CASE("a refusal that says not run is true")
{
    const auto [failure, kind, first, second, status] =
            GENERATE(table<const char *, RouteKind, End, End, RoutedStatus>({
                    {"two proven refusals are reported as a possible run", RouteKind::AtMostOnce,
                     End::NotRun, End::NotRun, RoutedStatus::Refused},
                    {"unsent requests are reported as a possible run", RouteKind::AtMostOnce,
                     End::NotSent, End::NotSent, RoutedStatus::Refused},
                    {"a lost answer after a refusal is reported as not run", RouteKind::AtMostOnce,
                     End::NotRun, End::Lost, RoutedStatus::Failed},
                    {"a refusal after a lost answer hides the lost one", RouteKind::Idempotent,
                     End::Lost, End::NotRun, RoutedStatus::Failed},
            }));
    INFO(failure);
    GatewayCell cell({plainRoute(kind)});
    cell.add(searcher("desk", "a"));
    cell.add(searcher("desk", "b"));
    cell.request("/plain/1");
    endExchange(cell.transport, 0, first);
    cell.advance(20ms);
    REQUIRE(cell.transport.sent.size() == 2);
    endExchange(cell.transport, 1, second);
    // Whatever is still tried is refused too, until the route's time is up.
    for (std::size_t next = 2; cell.answers.empty() && next < 20; ++next) {
        cell.advance(120ms);
        if (cell.transport.sent.size() > next && cell.transport.sent[next].isOpen)
            endExchange(cell.transport, next, second);
    }
    REQUIRE(cell.answers.size() == 1);
    CHECK(cell.answers[0].status == status);
}

TEST_CASE("attempts, budget and hedges bound what one request sends")
{
    const auto [failure, attempts, retries, sends] =
            GENERATE(table<const char *, std::uint32_t, RetryAllowance, std::size_t>({
                    {"one attempt is hedged", 1, {0.2, 100}, 1},
                    {"a straggler is not hedged", 2, {0.2, 100}, 2},
                    {"hedges exceed the attempts", 2, {1.0, 1000}, 2},
                    {"three attempts reach no third searcher", 3, {0.2, 100}, 3},
                    {"an empty budget pays for a hedge", 2, {0.0, 0}, 1},
            }));
    INFO(failure);
    GatewayCell cell({plainRoute(RouteKind::Idempotent, attempts)}, retries);
    for (const char *id : {"a", "b", "c", "d"})
        cell.add(searcher("desk", id));
    cell.request("/plain/1");
    cell.advance(900ms);
    CHECK(cell.transport.sent.size() == sends);
    CHECK(cell.answers.empty());
    // A late answer of the first attempt is still the answer.
    cell.transport.reply(0, goodReply());
    REQUIRE(cell.answers.size() == 1);
    CHECK(cell.answers[0].status == RoutedStatus::Reply);
}

TEST_CASE("a request ends at the route's or the caller's time, whichever is first")
{
    const auto [failure, waits, expected] =
            GENERATE(table<const char *, std::optional<Duration>, Duration>({
                    {"the route's time is passed", std::nullopt, 1000ms},
                    {"the caller's time is passed", 300ms, 300ms},
                    {"a patient caller stretches the route's time", 5000ms, 1000ms},
            }));
    INFO(failure);
    GatewayCell cell({plainRoute(RouteKind::AtMostOnce)});
    cell.add(searcher("desk", "a"));
    cell.request("/plain/1", waits);
    CHECK(cell.transport.sent[0].deadline == cell.timers.now() + expected);
    cell.advance(expected - 1ms);
    CHECK(cell.answers.empty());
    cell.advance(1ms);
    REQUIRE(cell.answers.size() == 1);
    CHECK(cell.answers[0].status == RoutedStatus::TimedOut);
}

TEST_CASE("what cannot be served is refused at once")
{
    const auto [failure, target, hasRoutes,
                status] = GENERATE(table<const char *, const char *, bool, RoutedStatus>({
            {"a daemon without configuration denies a route", "/plain/1", false,
             RoutedStatus::NotReady},
            {"an unknown path is refused as busy", "/other/1", true, RoutedStatus::NoRoute},
            {"a prefix matches without its slash", "/plainly", true, RoutedStatus::NoRoute},
            {"a service without searchers is waited for", "/plain/1", true, RoutedStatus::Refused},
            {"shards without searchers are waited for", "/scatter/1", true, RoutedStatus::Refused},
    }));
    INFO(failure);
    GatewayCell cell({plainRoute(), scatterRoute(4, 0.75)});
    if (hasRoutes)
        cell.advance(0ms);
    cell.request(target);
    cell.advance(0ms);
    REQUIRE(cell.answers.size() == 1);
    CHECK(cell.answers[0].status == status);
    CHECK(cell.transport.sent.empty());
    if (status == RoutedStatus::Refused || status == RoutedStatus::NotReady)
        CHECK(cell.answers[0].retryAfter > Duration::zero());
}

TEST_CASE("a scattered answer states its coverage and keeps the minimum share")
{
    const auto [failure, shards, minShare, good, after, status,
                missing] = GENERATE(table<const char *, std::uint32_t, double, std::size_t,
                                          Duration, RoutedStatus, std::uint32_t>({
            {"a whole answer is not given", 4, 0.75, 4, 0ms, RoutedStatus::Merged, 0},
            {"a partial answer waits past the objective", 4, 0.75, 3, 200ms, RoutedStatus::Merged,
             1},
            {"too few shards make a success", 4, 0.75, 2, 1000ms, RoutedStatus::TimedOut, 0},
            {"0.89 of 20 is rounded down", 20, 0.89, 17, 1000ms, RoutedStatus::TimedOut, 0},
            {"0.89 of 20 is not met by 18", 20, 0.89, 18, 200ms, RoutedStatus::Merged, 2},
            {"0.95 of 20 is rounded up past 19", 20, 0.95, 19, 200ms, RoutedStatus::Merged, 1},
    }));
    INFO(failure);
    GatewayCell cell({scatterRoute(shards, minShare)}, {0, 0});
    for (std::uint32_t i = 0; i < shards; ++i)
        cell.add(searcher("shard" + std::to_string(i), "s" + std::to_string(i)));
    cell.request("/scatter/1");
    REQUIRE(cell.transport.sent.size() == shards);
    for (std::size_t i = 0; i < good; ++i)
        cell.transport.reply(i, goodReply("0123456789abcdef", "sig" + std::to_string(i)));
    cell.advance(after);
    REQUIRE(cell.answers.size() == 1);
    CHECK(cell.answers[0].status == status);
    CHECK(cell.answers[0].missingShards == missing);
    if (status == RoutedStatus::Merged)
        CHECK(cell.answers[0].signatures.size() == good);
    // An answer after the end changes nothing.
    if (good < shards)
        cell.transport.reply(good, goodReply());
    CHECK(cell.answers.size() == 1);
}

TEST_CASE("an answer over shards holds no failure and no shard twice")
{
    const auto [failure, first] = GENERATE(table<const char *, End>({
            {"a searcher's error counts as a part", End::Error},
            {"broken bytes count as a part", End::Malformed},
            {"a refusal counts as a part", End::NotRun},
    }));
    INFO(failure);
    GatewayCell cell({scatterRoute(2, 0.5)});
    for (const char *id : {"a", "b"}) {
        cell.add(searcher("shard0", std::string("0") + id));
        cell.add(searcher("shard1", std::string("1") + id));
    }
    cell.request("/scatter/1");
    REQUIRE(cell.transport.sent.size() == 2);
    cell.transport.reply(1, goodReply("0123456789abcdef", "one"));
    endExchange(cell.transport, 0, first);
    cell.advance(20ms);
    REQUIRE(cell.transport.sent.size() == 3);
    cell.transport.reply(2, goodReply("fedcba9876543210", "zero"));
    REQUIRE(cell.answers.size() == 1);
    CHECK(cell.answers[0].missingShards == 0);
    CHECK(cell.answers[0].signatures == std::vector<std::string>{"zero", "one"});
    CHECK(cell.answers[0].body == "fedcba98765432100123456789abcdef");
}

TEST_CASE("searchers stop working for a caller that left, unless the request must not repeat")
{
    const auto [failure, target, kind, sends, cancelled] =
            GENERATE(table<const char *, const char *, RouteKind, std::size_t, int>({
                    {"a repeatable request works on", "/plain/1", RouteKind::Idempotent, 1, 1},
                    {"an at-most-once request is cut off", "/plain/1", RouteKind::AtMostOnce, 1, 0},
                    {"shards work on", "/scatter/1", RouteKind::Idempotent, 3, 3},
            }));
    INFO(failure);
    GatewayCell cell({plainRoute(kind, 1), scatterRoute(3, 0.5)}, {0, 0});
    cell.add(searcher("desk", "a"));
    for (int i = 0; i < 3; ++i)
        cell.add(searcher("shard" + std::to_string(i), "s" + std::to_string(i)));
    const std::uint64_t id = cell.request(target);
    REQUIRE(cell.transport.sent.size() == sends);
    cell.gateway.abandon(id);
    cell.advance(450ms);
    CHECK(cell.transport.cancelled == cancelled);
    CHECK(cell.transport.sent.size() == sends);
    CHECK(cell.answers.empty());
    CHECK(cell.gateway.running() == 0);
}

// Guards against a split that drifts or sends a share in bursts.
TEST_CASE("each part of a split gets its share")
{
    const auto [failure, weightA, weightB, expectedA] =
            GENERATE(table<const char *, double, double, int>({
                    {"equal weights drift", 1, 1, 50},
                    {"a small weight starves or grows", 0.9, 0.1, 90},
                    {"a weight of 0 gets requests", 1, 0, 100},
            }));
    INFO(failure);
    Route route = plainRoute();
    route.targets = {{"desk", weightA}, {"board", weightB}};
    GatewayCell cell({route});
    cell.add(searcher("desk", "a"));
    cell.add(searcher("board", "b"));
    int onDesk = 0;
    for (std::size_t i = 0; i < 100; ++i) {
        cell.request("/plain/1");
        onDesk += cell.transport.sent[i].upstream->service() == "desk" ? 1 : 0;
        cell.transport.reply(i, goodReply());
    }
    CHECK(onDesk == expectedA);
}

// Guards against a sum over all daemons that exceeds what a cold searcher bears.
TEST_CASE("a cold searcher gets this daemon's part of its warm-up rate")
{
    const auto [failure, rate, most] = GENERATE(table<const char *, double, std::size_t>({
            {"a rate of 0 bounds a searcher that states none", 0, 20},
            {"one daemon uses the whole rate", 8, 3},
    }));
    INFO(failure);
    GatewayCell cell({plainRoute(RouteKind::Idempotent, 1)}, {0, 0});
    RouteTable table = cell.routeTable;
    table.version = 2;
    table.services["desk"].warmUpRate = rate;
    cell.builder.onRoutes(table);
    SearcherRecord cold = searcher("desk", "a");
    cold.remainingWarmUp = 10s;
    cell.add(cold);
    for (int i = 0; i < 20; ++i) {
        cell.request("/plain/1");
        cell.advance(50ms);
    }
    CHECK(cell.transport.sent.size() <= most);
    CHECK(!cell.transport.sent.empty());
}

TEST_CASE("the greatest records of all parts are merged")
{
    const std::string low(16, '\x01');
    const std::string high(16, '\xff');
    const std::string mid(16, 'm');
    const auto [failure, parts, limit, expected] = GENERATE_COPY(
            table<const char *, std::vector<std::string>, std::uint32_t, std::string>({
                    {"bytes compare as signed", {low + high, mid}, 3, high + mid + low},
                    {"a remainder counts as a record", {mid + "short", low}, 3, mid + low},
                    {"equal records count once", {mid, mid}, 3, mid + mid},
                    {"the limit is passed", {low + mid + high, high}, 2, high + high},
                    {"an empty part breaks the merge", {"", low}, 3, low},
            }));
    INFO(failure);
    const std::vector<std::string_view> views(parts.begin(), parts.end());
    CHECK(mergeGreatestRecords(views, limit) == expected);
}

// Guards against losers of hedges that fill the queues of a crowded service, and against
// connections that are thrown away while there is no queue.
TEST_CASE("the loser of a hedge is stopped only while its service has a queue")
{
    const auto [failure, latency, cancelled] = GENERATE(table<const char *, Duration, int>({
            {"a connection is thrown away without a queue", 10ms, 0},
            {"a loser works on in a queue", 100ms, 1},
    }));
    INFO(failure);
    GatewayCell cell({plainRoute()});
    for (const char *id : {"a", "b"})
        cell.add(searcher("desk", id));
    for (const auto &upstream : cell.views.pin()->find("desk")->upstreams) {
        upstream->recordDispatch(cell.timers.now());
        upstream->recordAnswer(cell.timers.now(), latency);
    }
    cell.request("/plain/1");
    cell.advance(60ms);
    REQUIRE(cell.transport.sent.size() == 2);
    cell.transport.reply(1, goodReply());
    CHECK(cell.answers.size() == 1);
    CHECK(cell.transport.cancelled == cancelled);
}
