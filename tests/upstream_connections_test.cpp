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

const UpstreamHeaderNames Names{"Call-Id",   "Time-Left-Ms", "Signature",
                                "Meant-For", "Did-Not-Run",  "Own-Load"};

/// Longest wait for anything in these tests.
constexpr auto TestTimeout = 3s;

struct Outcome final : ExchangeListener
{
    void onReply(ExchangeId, UpstreamReply answer) override { reply = std::move(answer); }
    void onFailure(ExchangeId, ExchangeFailure reason) override { failure = reason; }
    bool hasEnded() const { return reply || failure; }

    std::optional<UpstreamReply> reply;
    std::optional<ExchangeFailure> failure;
};

/// Connections of one worker to one scripted searcher.
struct Cell
{
    explicit Cell(RawServer::Script script)
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
        return outcome;
    }
    std::shared_ptr<Outcome> exchange(const std::string &id, Duration time = 1s)
    {
        auto outcome = send(id, time);
        const auto end = std::chrono::steady_clock::now() + TestTimeout;
        while (!outcome->hasEnded() && std::chrono::steady_clock::now() < end)
            context.run_one_for(100ms);
        REQUIRE(outcome->hasEnded());
        return outcome;
    }
    void settle(Duration time) { context.run_for(time); }

    boost::asio::io_context context;
    AsioTimerService timers{context};
    RawServer server;
    UpstreamConnections connections{context, timers, Names};
    std::shared_ptr<Upstream> upstream;
};

std::string goodAnswer(const std::string &id, const std::string &body = "body",
                       const std::string &fields = "")
{
    return "HTTP/1.1 200 OK\r\nCall-Id: " + id + "\r\nSignature: s-" + id + "\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

using Then = RawAnswer::Then;

} // namespace

TEST_CASE("bytes that are not the whole answer to a request are no answer")
{
    const auto [failure, answer,
                expected] = GENERATE(table<const char *, RawAnswer, ExchangeFailure>({
            {"a body that breaks off is whole",
             {"HTTP/1.1 200 OK\r\nCall-Id: r1\r\nContent-Length: 9\r\n\r\nhalf", Then::Close},
             ExchangeFailure::Lost},
            {"a body without a length that is reset is whole",
             {"HTTP/1.1 200 OK\r\nCall-Id: r1\r\n\r\nhalf", Then::Reset},
             ExchangeFailure::Lost},
            {"a chunked body that breaks off is whole",
             {"HTTP/1.1 200 OK\r\nCall-Id: r1\r\nTransfer-Encoding: "
              "chunked\r\n\r\n4\r\nhalf\r\n",
              Then::Close},
             ExchangeFailure::Lost},
            {"bytes outside the protocol are an answer",
             {"nonsense\r\n\r\n", Then::Keep},
             ExchangeFailure::Malformed},
            {"a closed connection is an answer", {"", Then::Close}, ExchangeFailure::Lost},
            {"an answer to another request is taken",
             {goodAnswer("other"), Then::Keep},
             ExchangeFailure::TimedOut},
            {"a success without an id is taken",
             {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", Then::Keep},
             ExchangeFailure::TimedOut},
    }));
    INFO(failure);
    Cell cell([answer = answer](const std::string &) { return answer; });
    const auto outcome = cell.exchange("r1", 150ms);
    REQUIRE(outcome->failure);
    CHECK(*outcome->failure == expected);
}

TEST_CASE("a whole answer is taken in every framing")
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
            {"an interim answer is taken for the final one",
             {"HTTP/1.1 100 Continue\r\n\r\n" + goodAnswer("r1"), Then::Keep},
             "body"},
            {"a late answer of an earlier request ends the wait",
             {goodAnswer("r0", "old") + goodAnswer("r1"), Then::Keep},
             "body"},
    }));
    INFO(failure);
    Cell cell([answer = answer](const std::string &) { return answer; });
    const auto outcome = cell.exchange("r1");
    REQUIRE(outcome->reply);
    CHECK(outcome->reply->body == body);
}

TEST_CASE("a connection is used again only while nothing else can come on it")
{
    const auto [failure, answer, pause, connections] =
            GENERATE(table<const char *, RawAnswer, Duration, int>({
                    {"a good connection is opened anew", {goodAnswer("R"), Then::Keep}, 0ms, 1},
                    {"bytes after an answer are taken for the next",
                     {goodAnswer("R") + goodAnswer("R", "extra"), Then::Keep},
                     0ms,
                     2},
                    {"a later extra answer is taken for the next",
                     {goodAnswer("R"), Then::Keep, goodAnswer("R", "extra"), 20ms},
                     60ms,
                     2},
                    {"a connection that the searcher ends is used again",
                     {goodAnswer("R", "body", "Connection: close\r\n"), Then::Keep},
                     0ms,
                     2},
                    {"an idle connection outlives the searcher's timeout",
                     {goodAnswer("R", "body", "Keep-Alive: timeout=1\r\n"), Then::Keep},
                     60ms,
                     2},
            }));
    INFO(failure);
    Cell cell([answer = answer](const std::string &head) {
        RawAnswer own = answer;
        const std::string id = headerValue(head, "Call-Id");
        for (std::string *text : {&own.bytes, &own.later})
            for (std::size_t at = text->find("Id: R\r"); at != std::string::npos;
                 at = text->find("Id: R\r"))
                text->replace(at, 6, "Id: " + id + "\r");
        return own;
    });
    CHECK(cell.exchange("r1")->reply->body == "body");
    cell.settle(pause);
    CHECK(cell.exchange("r2")->reply->body == "body");
    CHECK(cell.server.connections == connections);
}

// Guards against requests that change on the way and against time that searchers do not have.
TEST_CASE("a request is passed on unchanged with what is left of its time")
{
    Cell cell([](const std::string &head) {
        return RawAnswer{goodAnswer(headerValue(head, "Call-Id"))};
    });
    cell.exchange("r1", 500ms);
    const std::string head = cell.server.heads.at(0);
    CHECK(head.starts_with("GET /a/b?c=%20d HTTP/1.1\r\n"));
    CHECK(headerValue(head, "X-Own") == "kept");
    CHECK(headerValue(head, "Meant-For") == "i-1");
    const int left = std::stoi(headerValue(head, "Time-Left-Ms"));
    CHECK(left <= 500);
    CHECK(left > 300);
}

TEST_CASE("a searcher's statement that it did not run a request is kept")
{
    const auto [failure, bytes, isNotRun,
                isOther] = GENERATE(table<const char *, const char *, bool, bool>({
            {"a shed request counts as run",
             "HTTP/1.1 503 Busy\r\nDid-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", true, false},
            {"another searcher's refusal counts as run",
             "HTTP/1.1 421 Misdirected\r\nInstance-Id: i-2\r\nContent-Length: 0\r\n\r\n", true,
             true},
            {"a plain failure counts as not run", "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
             false, false},
            {"an error counts as not run",
             "HTTP/1.1 500 Error\r\nCall-Id: r1\r\nContent-Length: 0\r\n\r\n", false, false},
    }));
    INFO(failure);
    Cell cell([bytes = std::string(bytes)](const std::string &) { return RawAnswer{bytes}; });
    const auto outcome = cell.exchange("r1");
    REQUIRE(outcome->reply);
    CHECK(outcome->reply->isNotRun == isNotRun);
    CHECK(outcome->reply->isOtherInstance == isOther);
}

// Guards against an unsent request that counts as possibly run, and against one that was written
// and counts as unsent.
TEST_CASE("a searcher that takes no connection got nothing")
{
    Cell cell([](const std::string &) { return RawAnswer{}; });
    SearcherRecord record = searcher("desk", "gone");
    record.address = "127.0.0.1:1";
    cell.upstream = std::make_shared<Upstream>(record);
    const auto outcome = cell.exchange("r1");
    REQUIRE(outcome->failure);
    CHECK(*outcome->failure == ExchangeFailure::NotSent);
}

// Guards against connections beyond this daemon's share of a searcher's limit.
TEST_CASE("a searcher has room while its connections are fewer than the share")
{
    Cell cell([](const std::string &) { return RawAnswer{""}; });
    CHECK(cell.connections.hasCapacity(*cell.upstream, 2));
    cell.send("r1");
    CHECK(cell.connections.hasCapacity(*cell.upstream, 2));
    cell.send("r2");
    CHECK_FALSE(cell.connections.hasCapacity(*cell.upstream, 2));
    cell.settle(50ms);
    CHECK(cell.server.connections == 2);
}

// Guards against idle connections of a daemon that callers are not sent to, which take places that
// the listed daemons need.
TEST_CASE("idle connections are closed after the idle time")
{
    const auto [failure, idle, connections] = GENERATE(table<const char *, Duration, int>({
            {"a listed daemon opens a connection for each request", 60s, 1},
            {"an unlisted daemon keeps its connections", 20ms, 2},
    }));
    INFO(failure);
    Cell cell([](const std::string &head) {
        return RawAnswer{goodAnswer(headerValue(head, "Call-Id"))};
    });
    CHECK(cell.exchange("r1")->reply);
    cell.connections.setIdleTime(idle);
    cell.settle(80ms);
    CHECK(cell.exchange("r2")->reply);
    CHECK(cell.server.connections == connections);
}

// Guards against connections that the metrics show in the wrong state.
TEST_CASE("connections are counted by state")
{
    const auto statesOf = [](const Cell &cell) {
        const LinkStates states = cell.connections.states();
        return std::vector<std::uint32_t>{states.opening, states.idle, states.busy};
    };
    Cell cell([](const std::string &head) {
        return RawAnswer{goodAnswer(headerValue(head, "Call-Id"))};
    });
    CHECK(statesOf(cell) == std::vector<std::uint32_t>{0, 0, 0});
    cell.send("r1");
    CHECK(statesOf(cell) == std::vector<std::uint32_t>{1, 0, 0});
    cell.settle(200ms);
    CHECK(statesOf(cell) == std::vector<std::uint32_t>{0, 1, 0});
    cell.send("r2");
    CHECK(statesOf(cell) == std::vector<std::uint32_t>{0, 0, 1});
}
