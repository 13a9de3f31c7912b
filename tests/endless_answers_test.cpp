#include "support/endless_server.h"
#include "support/fake_fleet.h"
#include "support/raw_server.h"

#include "connection/frame_connection_p.h"
#include "connection/http_client_p.h"
#include "connection/searcher_connection_p.h"
#include "connection/upstream_connections_p.h"
#include "process/asio_timer_service_p.h"

#include <catch2/catch.hpp>

#include <malloc.h>

#include <optional>

using namespace geraniumcart;
using namespace geraniumcart::test;
using namespace std::chrono_literals;

namespace {

const UpstreamHeaderNames Names{"Call-Id",     "Time-Left-Ms", "Signature",  "Meant-For",
                                "Did-Not-Run", "Own-Load",     "Going-Away", "At-Most"};

/// Memory that the bytes of one answer may take up: the answer itself, its copy in a parser and the
/// growth of strings.
constexpr std::size_t MaxMemory = 4 * MaxAnswerBytes;

/// Bytes that are no answer, without end.
struct EndlessAnswer
{
    const char *what;
    std::string start;
    std::string repeated;
};

const std::string Ok = "HTTP/1.1 200 OK\r\nCall-Id: r1\r\n";
const std::string Chunked = Ok + "Transfer-Encoding: chunked\r\n\r\n";
const std::vector<EndlessAnswer> EndlessAnswers{
        {"a status line", "HTTP/1.1 200 ", "O"},
        {"a word that is no status line", "", "x"},
        {"empty lines", "", "\r\n"},
        {"a field line", Ok + "X: ", "y"},
        {"field lines", Ok, "X: y\r\n"},
        {"a field name", Ok, "X"},
        {"a chunk size", Chunked, "0"},
        {"a chunk extension", Chunked + "5;a=", "b"},
        {"chunk extensions", Chunked + "5", ";a=b"},
        {"small chunks with extensions", Chunked, "1;a=bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb\r\nx\r\n"},
        {"a trailer line", Chunked + "0\r\nX: ", "y"},
        {"trailer lines", Chunked + "0\r\n", "X: y\r\n"},
        {"chunks", Chunked, "10\r\n0123456789abcdef\r\n"},
        {"one chunk of a huge size", Chunked + "fffffffffffffff\r\n", "x"},
        {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
        {"answers to another request", "",
         "HTTP/1.1 200 OK\r\nCall-Id: r0\r\nContent-Length: 4\r\n\r\nbody"},
        {"a body without a length", Ok + "\r\n", "x"},
        {"a body with a huge length", Ok + "Content-Length: 99999999999\r\n\r\n", "x"},
};

struct Outcome final : ExchangeListener
{
    void onReply(ExchangeId, UpstreamReply answer) override { reply = std::move(answer); }
    void onFailure(ExchangeId, ExchangeFailure reason) override { failure = reason; }
    bool hasEnded() const { return reply || failure; }

    std::optional<UpstreamReply> reply;
    std::optional<ExchangeFailure> failure;
};

/// Sends one search on each connection of the product's own protocol and counts how they end.
struct SearchSender final : SearcherConnectionListener
{
    void onOpen(SearcherConnection &connection) override
    {
        UpstreamMessage message;
        message.call = UpstreamCall::Search;
        message.id = 7;
        connection.start(message);
    }
    void onOpenFailed(SearcherConnection &, bool) override { FAIL("not connected"); }
    void onAnswer(SearcherConnection &, UpstreamAnswer &, bool) override { ++answers; }
    void onLost(SearcherConnection &, ConnectionLoss loss) override
    {
        malformed += loss == ConnectionLoss::Malformed ? 1 : 0;
        ++ended;
    }

    std::size_t answers = 0;
    std::size_t malformed = 0;
    std::size_t ended = 0;
};

/// Connections of one worker to an endless server and to one that answers.
struct Fixture
{
    Fixture(const EndlessAnswer &answer, std::chrono::milliseconds interval)
        : endless(context, answer.start, answer.repeated, interval)
        , sound(context, [](const std::string &head) {
            return RawAnswer{"HTTP/1.1 200 OK\r\nCall-Id: " + headerValue(head, "Call-Id") +
                             "\r\nContent-Length: 4\r\n\r\nbody"};
        })
    {
    }

    std::shared_ptr<Outcome> send(const std::string &address, const std::string &id, Duration time)
    {
        SearcherRecord record = searcher("desk", address);
        record.address = address;
        auto request = std::make_shared<ForwardRequest>();
        request->id = id;
        request->method = "GET";
        request->target = "/";
        request->headers = {{"Host", "shop.example"}, {"Call-Id", id}};
        auto outcome = std::make_shared<Outcome>();
        auto &upstream = upstreams[address];
        if (!upstream)
            upstream = std::make_shared<Upstream>(record);
        connections.send(upstream, request, timers.now() + time, outcome);
        return outcome;
    }
    /// Runs until the exchange has ended, at most for @p time. @return the time that it took
    Duration await(const Outcome &outcome, Duration time)
    {
        const TimePoint start = timers.now();
        while (!outcome.hasEnded() && timers.now() - start < time)
            context.run_one_for(10ms);
        return timers.now() - start;
    }

    boost::asio::io_context context;
    AsioTimerService timers{context};
    EndlessServer endless;
    RawServer sound;
    UpstreamConnections connections{context, timers, Names};
    std::map<std::string, std::shared_ptr<Upstream>> upstreams;
};

} // namespace

// Guards against a searcher that fills the memory or occupies the worker with bytes that are no
// answer, against an exchange that ends late because of them, and against a connection that stays
// open.
TEST_CASE("bytes of a searcher that are no answer end the exchange within its bounds")
{
    const EndlessAnswer answer = GENERATE(from_range(EndlessAnswers));
    INFO(answer.what);
    Fixture fixture(answer, 0ms);
    const std::size_t before = ::mallinfo2().uordblks;
    constexpr Duration Deadline = 3s;
    const auto outcome = fixture.send(fixture.endless.address(), "r1", Deadline);
    std::size_t peak = 0;
    const TimePoint start = fixture.timers.now();
    while (!outcome->hasEnded() && fixture.timers.now() - start < Deadline + 1s) {
        fixture.context.run_one_for(10ms);
        peak = std::max<std::size_t>(peak, ::mallinfo2().uordblks);
    }
    REQUIRE(outcome->failure);
    // The bytes arrive within milliseconds, so the bound on them ends the exchange, not its time.
    CHECK(*outcome->failure == ExchangeFailure::Malformed);
    CHECK(fixture.timers.now() - start < Deadline / 2);
    CHECK(peak < before + MaxMemory);
    fixture.context.run_for(50ms);
    CHECK(fixture.endless.open() == 0);
    CHECK(fixture.connections.states().busy == 0);
}

// Guards against an exchange that goes on for as long as single bytes arrive, and against other
// searchers' answers that are late because of it.
TEST_CASE("bytes that arrive one by one do not extend an exchange or delay others")
{
    const EndlessAnswer answer = GENERATE(from_range(EndlessAnswers));
    INFO(answer.what);
    Fixture fixture(answer, 5ms);
    const auto outcome = fixture.send(fixture.endless.address(), "r1", 150ms);
    const auto other = fixture.send(fixture.sound.address(), "r2", 150ms);
    CHECK(fixture.await(*other, 1s) < 100ms);
    REQUIRE(other->reply);
    CHECK(other->reply->body == "body");
    CHECK(fixture.await(*outcome, 1s) < 300ms);
    REQUIRE(outcome->failure);
    fixture.context.run_for(50ms);
    CHECK(fixture.endless.open() == 0);
}

// Guards against endless bytes after a complete answer that become part of it or of the next one.
TEST_CASE("bytes beyond the length of an answer are not part of any answer")
{
    const auto [failure, interval] = GENERATE(table<const char *, std::chrono::milliseconds>({
            {"bytes at full rate reach the next request", 0ms},
            {"single bytes reach the next request", 5ms},
    }));
    INFO(failure);
    Fixture fixture({"", Ok + "Content-Length: 4\r\n\r\nbody", "x"}, interval);
    const auto outcome = fixture.send(fixture.endless.address(), "r1", 500ms);
    fixture.await(*outcome, 1s);
    REQUIRE(outcome->reply);
    CHECK(outcome->reply->body == "body");
    fixture.context.run_for(60ms);
    CHECK(fixture.endless.open() == 0);
}

// Guards against many searchers that each send a part of what one answer may have and together use
// up the memory of the process, and against answers of other searchers that fail because of them.
TEST_CASE("endless answers of many searchers together are bounded")
{
    constexpr std::size_t Searchers = 60;
    Fixture fixture({"", Ok + "\r\n", "x"}, 0ms);
    std::vector<std::unique_ptr<EndlessServer>> servers;
    std::vector<std::shared_ptr<Outcome>> outcomes;
    const std::size_t before = ::mallinfo2().uordblks;
    for (std::size_t i = 0; i < Searchers; ++i) {
        servers.push_back(std::make_unique<EndlessServer>(fixture.context, Ok + "\r\n", "x", 0ms));
        outcomes.push_back(fixture.send(servers.back()->address(), "r1", 5s));
    }
    std::size_t peak = 0;
    for (int i = 0; i < 20; ++i) {
        const auto sound = fixture.send(fixture.sound.address(), "s" + std::to_string(i), 1s);
        while (!sound->hasEnded()) {
            fixture.context.run_one_for(10ms);
            peak = std::max<std::size_t>(peak, ::mallinfo2().uordblks);
        }
        CHECK(sound->reply);
    }
    const TimePoint start = fixture.timers.now();
    const auto hasEnded = [](const auto &outcome) { return outcome->hasEnded(); };
    while (!std::ranges::all_of(outcomes, hasEnded) && fixture.timers.now() - start < 4s) {
        fixture.context.run_one_for(10ms);
        peak = std::max<std::size_t>(peak, ::mallinfo2().uordblks);
    }
    for (const auto &outcome : outcomes)
        CHECK(outcome->failure == ExchangeFailure::Malformed);
    // Strings may have twice the capacity of their size.
    CHECK(peak - before < 2 * MaxOpenAnswersBytes + Searchers * 2 * SmallAnswerBytes);
}

// Guards against the same searchers on the product's own protocol.
TEST_CASE("endless answers to sub-requests together are bounded")
{
    constexpr std::size_t Searchers = 60;
    const std::string own = "HTTP/1.1 200 OK\r\nRequest-Id: 7\r\n";
    const auto [what, start,
                repeated] = GENERATE_COPY(table<const char *, std::string, std::string>({
            {"a body without a length", own + "\r\n", "x"},
            {"chunks", own + "Transfer-Encoding: chunked\r\n\r\n", "10\r\n0123456789abcdef\r\n"},
            {"a field line", own + "X: ", "y"},
            {"field lines", own, "X: y\r\n"},
            {"a chunk extension", own + "Transfer-Encoding: chunked\r\n\r\n5;a=", "b"},
    }));
    INFO(what);
    boost::asio::io_context context;
    OpenAnswers openAnswers;
    SearchSender sender;
    std::vector<std::unique_ptr<EndlessServer>> servers;
    std::vector<std::shared_ptr<SearcherConnection>> connections;
    const std::size_t before = ::mallinfo2().uordblks;
    for (std::size_t i = 0; i < Searchers; ++i) {
        servers.push_back(std::make_unique<EndlessServer>(context, start, repeated, 0ms));
        connections.push_back(std::make_shared<SearcherConnection>(context, servers[i]->address(),
                                                                   openAnswers, sender));
        connections.back()->open(servers[i]->endpoint());
    }
    std::size_t peak = 0;
    const auto begin = std::chrono::steady_clock::now();
    while (sender.ended < Searchers && std::chrono::steady_clock::now() - begin < 10s) {
        context.run_one_for(10ms);
        peak = std::max<std::size_t>(peak, ::mallinfo2().uordblks);
    }
    CHECK(sender.malformed == Searchers);
    CHECK(openAnswers.bytes() == 0);
    // Strings may have twice the capacity of their size.
    CHECK(peak - before < 2 * MaxOpenAnswersBytes + Searchers * 2 * SmallAnswerBytes);
}

// Guards against memory that is reserved for frames which never arrive: anything that listens at an
// address of an earlier peer may announce the largest frame on each connection.
TEST_CASE("the announced length of a frame reserves no memory")
{
    constexpr std::size_t Connections = 60;
    const auto length = static_cast<std::uint32_t>(MaxFrameBytes - 1);
    std::string prefix;
    for (unsigned shift = 0; shift < 32; shift += 8)
        prefix += static_cast<char>(length >> shift & 0xFFU);
    const std::string sent = prefix + std::string(GENERATE(0, 1000), 'x');
    boost::asio::io_context context;
    using Tcp = boost::asio::ip::tcp;
    Tcp::acceptor acceptor(context, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    std::vector<Tcp::socket> peers;
    std::vector<std::shared_ptr<FrameConnection>> connections;
    const std::size_t before = ::mallinfo2().uordblks + ::mallinfo2().hblkhd;
    for (std::size_t i = 0; i < Connections; ++i) {
        peers.emplace_back(context);
        peers.back().connect(acceptor.local_endpoint());
        connections.push_back(
                std::make_shared<FrameConnection>(FrameConnection::Socket(acceptor.accept())));
        connections.back()->start();
        boost::asio::write(peers.back(), boost::asio::buffer(sent));
    }
    context.run_for(100ms);
    const std::size_t after = ::mallinfo2().uordblks + ::mallinfo2().hblkhd;
    CHECK(after - before < Connections * 256 * 1024);
    for (const auto &connection : connections)
        connection->close();
}

// Guards against a store whose answers never end, which would occupy the control thread, fill the
// memory or keep the call open.
TEST_CASE("bytes of a store that are no answer end the call within its time")
{
    const EndlessAnswer answer = GENERATE(filter(
            [](const EndlessAnswer &candidate) {
                // Responses of the store carry no id, so the first of these is the response.
                return candidate.what != std::string_view("answers to another request");
            },
            from_range(EndlessAnswers)));
    const auto interval = GENERATE(0ms, 5ms);
    INFO(answer.what << ", interval " << interval.count() << " ms");
    boost::asio::io_context context;
    EndlessServer server(context, answer.start, answer.repeated, interval);
    HttpClient client(context, server.endpoint());
    std::optional<HttpFailure> failure;
    const std::size_t before = ::mallinfo2().uordblks;
    std::size_t peak = 0;
    const auto start = std::chrono::steady_clock::now();
    client.send(HttpRequest(boost::beast::http::verb::get, "/", 11), 300ms,
                [&failure](HttpFailure result, const HttpResponse &) { failure = result; });
    while (!failure && std::chrono::steady_clock::now() - start < 2s) {
        context.run_one_for(10ms);
        peak = std::max<std::size_t>(peak, ::mallinfo2().uordblks);
    }
    REQUIRE(failure);
    CHECK(*failure == HttpFailure::ResponseLost);
    CHECK(std::chrono::steady_clock::now() - start < 600ms);
    CHECK(peak < before + MaxMemory);
    context.run_for(50ms);
    CHECK(server.open() == 0);
}
