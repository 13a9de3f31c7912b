#include "support/fake_fleet.h"
#include "support/raw_server.h"

#include "connection/upstream_connections_p.h"
#include "process/asio_timer_service_p.h"

#include <catch2/catch.hpp>

#include <optional>

using namespace geraniumcart;
using namespace geraniumcart::test;
using namespace std::chrono_literals;

namespace {

const UpstreamHeaderNames Names{"Call-Id",     "Time-Left-Ms", "Signature",  "Meant-For",
                                "Did-Not-Run", "Own-Load",     "Going-Away", "At-Most"};

/// Maximum time to wait for an outcome.
constexpr auto TestTimeout = 3s;

/// Stores how an exchange ended.
struct Outcome final : ExchangeListener
{
    void onReply(ExchangeId, UpstreamReply answer) override { reply = std::move(answer); }
    void onFailure(ExchangeId, ExchangeFailure reason) override
    {
        failure = reason;
        ++failures;
    }
    bool hasEnded() const { return reply || failure; }

    std::optional<UpstreamReply> reply;
    std::optional<ExchangeFailure> failure;
    int failures = 0;
};

/// Connections of one worker to one scripted searcher.
struct Fixture
{
    explicit Fixture(RawServer::Script script)
        : server(context, std::move(script))
    {
        SearcherRecord record = searcher("desk", "i-1");
        record.address = server.address();
        upstream = std::make_shared<Upstream>(record);
    }

    std::shared_ptr<Outcome> send(const std::string &id, Duration time = 1s)
    {
        auto request = std::make_shared<ForwardRequest>();
        request->id = id;
        request->method = "GET";
        request->target = "/a/b?c=%20d";
        request->headers = {{"Host", "shop.example"}, {"Call-Id", id}, {"X-Own", "kept"}};
        auto outcome = std::make_shared<Outcome>();
        connections.send(upstream, request, timers.now() + time, outcome);
        hasEndedInsideSend = outcome->hasEnded();
        return outcome;
    }
    /// Sends a request and waits for its outcome. Fails the test after TestTimeout.
    std::shared_ptr<Outcome> exchange(const std::string &id, Duration time = 1s)
    {
        auto outcome = send(id, time);
        const auto end = std::chrono::steady_clock::now() + TestTimeout;
        while (!outcome->hasEnded() && std::chrono::steady_clock::now() < end)
            context.run_one_for(100ms);
        REQUIRE(outcome->hasEnded());
        return outcome;
    }
    void runFor(Duration time) { context.run_for(time); }

    boost::asio::io_context context;
    AsioTimerService timers{context};
    RawServer server;
    UpstreamConnections connections{context, timers, Names};
    std::shared_ptr<Upstream> upstream;
    /// Whether the last exchange ended before send() had returned its id.
    bool hasEndedInsideSend = false;
};

std::string goodAnswer(const std::string &id, const std::string &body = "body",
                       const std::string &fields = "")
{
    return "HTTP/1.1 200 OK\r\nCall-Id: " + id + "\r\nSignature: s-" + id + "\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

using Then = RawAnswer::Then;

} // namespace

// Guards against incomplete or invalid answers, and answers to other requests, that are passed on
// as the answer. They come about when a connection breaks off or a late answer arrives on it.
TEST_CASE("an incomplete, invalid or foreign answer is not accepted")
{
    const auto [failure, answer,
                expected] = GENERATE(table<const char *, RawAnswer, ExchangeFailure>({
            {"a truncated body counts as complete",
             {"HTTP/1.1 200 OK\r\nCall-Id: r1\r\nContent-Length: 9\r\n\r\nhalf", Then::Close},
             ExchangeFailure::Lost},
            {"a body without a length counts as complete after a reset",
             {"HTTP/1.1 200 OK\r\nCall-Id: r1\r\n\r\nhalf", Then::Reset},
             ExchangeFailure::Lost},
            {"a truncated chunked body counts as complete",
             {"HTTP/1.1 200 OK\r\nCall-Id: r1\r\nTransfer-Encoding: "
              "chunked\r\n\r\n4\r\nhalf\r\n",
              Then::Close},
             ExchangeFailure::Lost},
            {"bytes that are not HTTP count as an answer",
             {"nonsense\r\n\r\n", Then::Keep},
             ExchangeFailure::Malformed},
            {"a closed connection counts as an answer", {"", Then::Close}, ExchangeFailure::Lost},
            {"an answer to another request is accepted",
             {goodAnswer("other"), Then::Keep},
             ExchangeFailure::TimedOut},
            {"a success without an id is accepted",
             {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", Then::Keep},
             ExchangeFailure::TimedOut},
    }));
    INFO(failure);
    Fixture fixture([answer = answer](const std::string &) { return answer; });
    const auto outcome = fixture.exchange("r1", 150ms);
    REQUIRE(outcome->failure);
    CHECK(*outcome->failure == expected);
}

// Guards against refusing a complete answer because of the way in which HTTP delimits its body, or
// because another message precedes it on the connection.
TEST_CASE("a complete answer is accepted in every framing")
{
    const auto [failure, answer, body] = GENERATE(table<const char *, RawAnswer, const char *>({
            {"a body with a length is refused", {goodAnswer("r1"), Then::Keep}, "body"},
            {"a chunked body is refused",
             {"HTTP/1.1 200 OK\r\nCall-Id: r1\r\nTransfer-Encoding: "
              "chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n",
              Then::Keep},
             "body"},
            {"a body that ends with its connection is refused",
             {"HTTP/1.1 200 OK\r\nCall-Id: r1\r\n\r\nbody", Then::Close},
             "body"},
            {"an interim answer counts as the final one",
             {"HTTP/1.1 100 Continue\r\n\r\n" + goodAnswer("r1"), Then::Keep},
             "body"},
            {"a late answer to an earlier request ends the exchange",
             {goodAnswer("r0", "old") + goodAnswer("r1"), Then::Keep},
             "body"},
    }));
    INFO(failure);
    Fixture fixture([answer = answer](const std::string &) { return answer; });
    const auto outcome = fixture.exchange("r1");
    REQUIRE(outcome->reply);
    CHECK(outcome->reply->body == body);
}

// Guards against reusing a connection on which further bytes may arrive or which the searcher is
// about to close, so that the next request gets a wrong answer or none, and against never reusing
// one.
TEST_CASE("a connection is reused only if no other data can arrive on it")
{
    const auto [failure, answer, pause, connections] =
            GENERATE(table<const char *, RawAnswer, Duration, int>({
                    {"a reusable connection is replaced", {goodAnswer("R"), Then::Keep}, 0ms, 1},
                    {"bytes after an answer count as the next answer",
                     {goodAnswer("R") + goodAnswer("R", "extra"), Then::Keep},
                     0ms,
                     2},
                    {"a delayed extra answer counts as the next answer",
                     {goodAnswer("R"), Then::Keep, goodAnswer("R", "extra"), 20ms},
                     60ms,
                     2},
                    {"a connection that the searcher closes is reused",
                     {goodAnswer("R", "body", "Connection: close\r\n"), Then::Keep},
                     0ms,
                     2},
                    {"an idle connection is kept past the searcher's idle timeout",
                     {goodAnswer("R", "body", "Keep-Alive: timeout=1\r\n"), Then::Keep},
                     60ms,
                     2},
            }));
    INFO(failure);
    Fixture fixture([answer = answer](const std::string &head) {
        RawAnswer own = answer;
        const std::string id = headerValue(head, "Call-Id");
        for (std::string *text : {&own.bytes, &own.later})
            for (std::size_t at = text->find("Id: R\r"); at != std::string::npos;
                 at = text->find("Id: R\r"))
                text->replace(at, 6, "Id: " + id + "\r");
        return own;
    });
    CHECK(fixture.exchange("r1")->reply->body == "body");
    fixture.runFor(pause);
    CHECK(fixture.exchange("r2")->reply->body == "body");
    CHECK(fixture.server.connections == connections);
}

// Guards against a second copy of the answer to an earlier attempt that is taken for the answer to
// the next attempt of the same request. A copy of a refusal would report as not run what is
// running.
TEST_CASE("an attempt does not use the connection of an earlier attempt of the same request")
{
    const auto [failure, ids, connections] =
            GENERATE(table<const char *, std::vector<std::string>, int>({
                    {"a copy of the refusal is taken for the second answer", {"r1", "r1"}, 2},
                    {"a connection is not reused for another request", {"r1", "r2"}, 1},
            }));
    INFO(failure);
    const std::string refusal =
            "HTTP/1.1 503 Busy\r\nCall-Id: r1\r\nDid-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
    int requests = 0;
    Fixture fixture([&, ids = ids](const std::string &head) {
        if (++requests == 1)
            return RawAnswer{refusal, Then::Keep, ids[0] == ids[1] ? refusal : "", 30ms};
        return RawAnswer{"", Then::Keep, goodAnswer(headerValue(head, "Call-Id")), 60ms};
    });
    CHECK(fixture.exchange(ids[0])->reply->isNotRun);
    const auto outcome = fixture.exchange(ids[1]);
    REQUIRE(outcome->reply);
    CHECK(outcome->reply->body == "body");
    CHECK(fixture.server.connections == connections);
}

// Guards against altering a request while forwarding it, and against sending the searcher a longer
// time than remains to the deadline.
TEST_CASE("a request is forwarded unchanged with its remaining time")
{
    Fixture fixture([](const std::string &head) {
        return RawAnswer{goodAnswer(headerValue(head, "Call-Id"))};
    });
    fixture.exchange("r1", 500ms);
    const std::string head = fixture.server.heads.at(0);
    CHECK(head.starts_with("GET /a/b?c=%20d HTTP/1.1\r\n"));
    CHECK(headerValue(head, "X-Own") == "kept");
    CHECK(headerValue(head, "Meant-For") == "i-1");
    const int remainingMs = std::stoi(headerValue(head, "Time-Left-Ms"));
    CHECK(remainingMs <= 500);
    CHECK(remainingMs > 300);
}

// Guards against losing a searcher's report that it did not run a request, which prevents a retry,
// and against treating any other error as such a report, which repeats a request that may have run.
TEST_CASE("a searcher's report that it did not run a request is preserved")
{
    const auto [failure, bytes, isNotRun,
                isOther] = GENERATE(table<const char *, const char *, bool, bool>({
            {"a shed request counts as run",
             "HTTP/1.1 503 Busy\r\nDid-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", true, false},
            {"a refusal by another searcher counts as run",
             "HTTP/1.1 421 Misdirected\r\nInstance-Id: i-2\r\nContent-Length: 0\r\n\r\n", true,
             true},
            {"a plain failure counts as not run", "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
             false, false},
            {"an error counts as not run",
             "HTTP/1.1 500 Error\r\nCall-Id: r1\r\nContent-Length: 0\r\n\r\n", false, false},
    }));
    INFO(failure);
    Fixture fixture([bytes = std::string(bytes)](const std::string &) { return RawAnswer{bytes}; });
    const auto outcome = fixture.exchange("r1");
    REQUIRE(outcome->reply);
    CHECK(outcome->reply->isNotRun == isNotRun);
    CHECK(outcome->reply->isOtherInstance == isOther);
}

// Guards against requests to a searcher during the time for which it asked for none, and against a
// value of the field that ends the exchange or keeps the searcher out of use for good.
TEST_CASE("a searcher's Retry-After on a 503 is read as a bounded pause")
{
    const auto [failure, status, fields,
                pause] = GENERATE(table<const char *, int, const char *, Duration>({
            {"an absent field pauses the searcher", 503, "", 0s},
            {"whole seconds are ignored", 503, "Retry-After: 2\r\n", 2s},
            {"a fraction is cut off", 503, "Retry-After: 0.25\r\n", 250ms},
            {"zero pauses the searcher", 503, "Retry-After: 0\r\n", 0s},
            {"a negative number pauses the searcher", 503, "Retry-After: -5\r\n", 0s},
            {"a date is read as a number", 503, "Retry-After: Sat, 05 Dec 2026 18:00:00 GMT\r\n",
             0s},
            {"a word pauses the searcher", 503, "Retry-After: soon\r\n", 0s},
            {"a number with a suffix is read as a number", 503, "Retry-After: 2s\r\n", 0s},
            {"an empty value pauses the searcher", 503, "Retry-After: \r\n", 0s},
            {"a huge number overflows", 503, "Retry-After: 1e12\r\n", MaxPause},
            {"a number out of range pauses the searcher", 503, "Retry-After: 1e999\r\n", 0s},
            {"infinity pauses the searcher", 503, "Retry-After: inf\r\n", 0s},
            {"nan pauses the searcher", 503, "Retry-After: nan\r\n", 0s},
            {"the shorter of two fields counts", 503, "Retry-After: 3\r\nRetry-After: 1\r\n", 3s},
            {"the field of another status pauses the searcher", 500, "Retry-After: 2\r\n", 0s},
    }));
    INFO(failure);
    Fixture fixture([bytes = "HTTP/1.1 " + std::to_string(status) +
                             " Status\r\nCall-Id: r1\r\nDid-Not-Run: 1\r\n" + fields +
                             "Content-Length: 0\r\n\r\n"](const std::string &) {
        return RawAnswer{bytes};
    });
    const auto outcome = fixture.exchange("r1");
    REQUIRE(outcome->reply);
    CHECK(outcome->reply->pause == pause);
}

// Guards against new requests to a searcher that has announced that it is about to stop, and
// against giving up one that has not.
TEST_CASE("a searcher's announcement of its stop is read from every kind of answer")
{
    const auto [failure, status, fields,
                isLeaving] = GENERATE(table<const char *, const char *, const char *, bool>({
            {"the announcement in a success is ignored", "200 OK", "Going-Away: 1\r\n", true},
            {"the announcement in a refusal is ignored", "503 Busy", "Going-Away: 1\r\n", true},
            {"the announcement in an error is ignored", "500 Error", "going-away: 1\r\n", true},
            {"an answer without the field announces a stop", "200 OK", "", false},
            {"another value announces a stop", "200 OK", "Going-Away: 0\r\n", false},
    }));
    INFO(failure);
    Fixture fixture([bytes = std::string("HTTP/1.1 ") + status + "\r\nCall-Id: r1\r\n" + fields +
                             "Content-Length: 0\r\n\r\n"](const std::string &) {
        return RawAnswer{bytes};
    });
    const auto outcome = fixture.exchange("r1");
    REQUIRE(outcome->reply);
    CHECK(outcome->reply->isLeaving == isLeaving);
}

// Guards against more requests than a searcher takes, and against a value of the field that ends
// the exchange or takes the searcher out of use.
TEST_CASE("a searcher's rate limit is read from every kind of answer")
{
    using Limit = std::optional<double>;
    const auto [failure, status, fields, limit, isUnreadable] =
            GENERATE(table<const char *, const char *, const char *, Limit, bool>({
                    {"an absent field limits the searcher", "200 OK", "", std::nullopt, false},
                    {"a whole number is ignored", "200 OK", "At-Most: 20\r\n", 20.0, false},
                    {"a fraction is cut off", "200 OK", "at-most: 8.25\r\n", 8.25, false},
                    {"the limit in a refusal is ignored", "503 Full", "At-Most: 3\r\n", 3.0, false},
                    {"the limit in an error is ignored", "500 Error", "At-Most: 3\r\n", 3.0, false},
                    {"zero is no limit", "200 OK", "At-Most: 0\r\n", 0.0, false},
                    {"a negative number is a limit", "200 OK", "At-Most: -4\r\n", std::nullopt,
                     true},
                    {"a huge number is refused", "200 OK", "At-Most: 1e12\r\n", 1e12, false},
                    {"a number out of range is a limit", "200 OK", "At-Most: 1e999\r\n",
                     std::nullopt, true},
                    {"infinity is a limit", "200 OK", "At-Most: inf\r\n", std::nullopt, true},
                    {"nan is a limit", "200 OK", "At-Most: nan\r\n", std::nullopt, true},
                    {"a word is a limit", "200 OK", "At-Most: few\r\n", std::nullopt, true},
                    {"a number with a unit is a limit", "200 OK", "At-Most: 9/s\r\n", std::nullopt,
                     true},
                    {"an empty value is a limit", "200 OK", "At-Most: \r\n", std::nullopt, true},
                    {"the higher of two fields counts", "200 OK", "At-Most: 9\r\nAt-Most: 4\r\n",
                     4.0, false},
                    {"an unreadable field hides another one", "200 OK",
                     "At-Most: few\r\nAt-Most: 4\r\n", 4.0, true},
            }));
    INFO(failure);
    Fixture fixture([bytes = std::string("HTTP/1.1 ") + status + "\r\nCall-Id: r1\r\n" + fields +
                             "Content-Length: 0\r\n\r\n"](const std::string &) {
        return RawAnswer{bytes};
    });
    const auto outcome = fixture.exchange("r1");
    REQUIRE(outcome->reply);
    CHECK(outcome->reply->rateLimit == limit);
    CHECK(outcome->reply->isRateLimitUnreadable == isUnreadable);
}

// Guards against a request that counts as possibly run although no connection could be opened, and
// against one that counts as not sent although it was written.
TEST_CASE("a request to a searcher that refuses connections counts as not sent")
{
    Fixture fixture([](const std::string &) { return RawAnswer{}; });
    SearcherRecord record = searcher("desk", "gone");
    record.address = "127.0.0.1:1";
    fixture.upstream = std::make_shared<Upstream>(record);
    const auto outcome = fixture.exchange("r1");
    REQUIRE(outcome->failure);
    CHECK(*outcome->failure == ExchangeFailure::NotSent);
}

// Guards against an end that is reported before the sender knows the id of the exchange, so that
// the request counts as in flight for good.
TEST_CASE("no exchange ends before send() returns")
{
    using Prepare = std::function<void(Fixture &)>;
    const auto [failure, prepare, time] = GENERATE(table<const char *, Prepare, Duration>({
            {"an open connection reports an expired deadline at once",
             [](Fixture &f) { CHECK(f.exchange("r0")->reply); }, -10ms},
            {"a new connection reports an expired deadline at once", [](Fixture &) {}, -10ms},
            {"an address that cannot be parsed is reported at once",
             [](Fixture &f) {
                 SearcherRecord record = searcher("desk", "odd");
                 record.address = "nowhere";
                 f.upstream = std::make_shared<Upstream>(record);
             },
             500ms},
    }));
    INFO(failure);
    Fixture fixture([](const std::string &head) {
        return RawAnswer{goodAnswer(headerValue(head, "Call-Id"))};
    });
    prepare(fixture);
    const auto outcome = fixture.exchange("r1", time);
    CHECK_FALSE(fixture.hasEndedInsideSend);
    REQUIRE(outcome->failure);
    CHECK(*outcome->failure == ExchangeFailure::NotSent);
    fixture.runFor(100ms);
    CHECK(outcome->failures == 1);
}

// Guards against connections beyond this daemon's share of a searcher's limit.
TEST_CASE("a searcher has capacity while it has fewer connections than this daemon's share")
{
    Fixture fixture([](const std::string &) { return RawAnswer{""}; });
    CHECK(fixture.connections.hasCapacity(*fixture.upstream, 2));
    fixture.send("r1");
    CHECK(fixture.connections.hasCapacity(*fixture.upstream, 2));
    fixture.send("r2");
    CHECK_FALSE(fixture.connections.hasCapacity(*fixture.upstream, 2));
    fixture.runFor(50ms);
    CHECK(fixture.server.connections == 2);
}

// Guards against idle connections of a daemon that is not listed for callers, which count against a
// searcher's connection limit and leave too few connections to the listed daemons.
TEST_CASE("idle connections are closed after the idle time")
{
    const auto [failure, idle, connections] = GENERATE(table<const char *, Duration, int>({
            {"a listed daemon opens a connection for each request", 60s, 1},
            {"an unlisted daemon keeps its connections", 20ms, 2},
    }));
    INFO(failure);
    Fixture fixture([](const std::string &head) {
        return RawAnswer{goodAnswer(headerValue(head, "Call-Id"))};
    });
    CHECK(fixture.exchange("r1")->reply);
    fixture.connections.setIdleTime(idle);
    fixture.runFor(80ms);
    CHECK(fixture.exchange("r2")->reply);
    CHECK(fixture.server.connections == connections);
}

// Guards against metrics that count a connection in a wrong state.
TEST_CASE("connections are counted by state")
{
    const auto statesOf = [](const Fixture &fixture) {
        const LinkStates states = fixture.connections.states();
        return std::vector<std::uint32_t>{states.opening, states.idle, states.busy};
    };
    Fixture fixture([](const std::string &head) {
        return RawAnswer{goodAnswer(headerValue(head, "Call-Id"))};
    });
    CHECK(statesOf(fixture) == std::vector<std::uint32_t>{0, 0, 0});
    fixture.send("r1");
    CHECK(statesOf(fixture) == std::vector<std::uint32_t>{1, 0, 0});
    fixture.runFor(200ms);
    CHECK(statesOf(fixture) == std::vector<std::uint32_t>{0, 1, 0});
    fixture.send("r2");
    CHECK(statesOf(fixture) == std::vector<std::uint32_t>{0, 0, 1});
}

// Guards against connections that are opened for many requests without a metric that tells why.
TEST_CASE("opened and closed connections are counted by cause")
{
    using Step = std::function<void(Fixture &)>;
    const auto [failure, fields, step, opened,
                closed] = GENERATE(table<const char *, const char *, Step, OpenCause, CloseCause>({
            {"the end of the idle time is not counted", "",
             [](Fixture &fixture) {
                 fixture.exchange("r1");
                 fixture.connections.setIdleTime(10ms);
             },
             OpenCause::NoConnection, CloseCause::Idle},
            {"a searcher that closes after its answer is not counted", "Connection: close\r\n",
             [](Fixture &fixture) { fixture.exchange("r1"); }, OpenCause::NoConnection,
             CloseCause::NotReusable},
            {"a connection opened in advance is counted as one for a request", "",
             [](Fixture &fixture) {
                 fixture.connections.warmUp(fixture.upstream);
                 fixture.runFor(20ms);
                 fixture.connections.setIdleTime(10ms);
             },
             OpenCause::Advance, CloseCause::Idle},
            {"a cancelled request is not counted", "",
             [](Fixture &fixture) {
                 fixture.send("r1");
                 fixture.connections.cancel(1);
             },
             OpenCause::NoConnection, CloseCause::Cancelled},
            {"a second attempt of the same request is not counted", "",
             [](Fixture &fixture) {
                 fixture.exchange("r1");
                 fixture.send("r1");
             },
             OpenCause::NoConnection, CloseCause::SameRequest},
            {"a connection for a second request is counted as the first", "",
             [](Fixture &fixture) {
                 fixture.send("r1");
                 fixture.send("r2");
                 fixture.connections.cancel(2);
             },
             OpenCause::AllBusy, CloseCause::Cancelled},
    }));
    INFO(failure);
    const std::string answerFields = fields;
    Fixture fixture([answerFields](const std::string &head) {
        return RawAnswer{goodAnswer(headerValue(head, "Call-Id"), "body", answerFields)};
    });
    step(fixture);
    fixture.runFor(60ms);
    CHECK(fixture.connections.counts().opened[static_cast<std::size_t>(opened)] > 0);
    CHECK(fixture.connections.counts().closed[static_cast<std::size_t>(closed)] == 1);
}
