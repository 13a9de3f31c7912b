#include <catch2/catch.hpp>

#include "connection/caller_listener_p.h"
#include "front_end_fakes.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <optional>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <vector>

using namespace geraniumcart;
using namespace geraniumcart::test;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

/// Timeout of each condition that a test waits for.
constexpr auto TestTimeout = 5s;

CallerLimits testLimits()
{
    CallerLimits limits;
    limits.headerBytes = 1024;
    limits.bodyBytes = 64;
    limits.idleTimeout = 500ms;
    limits.readTimeout = 500ms;
    limits.lingerTimeout = 100ms;
    limits.drainGrace = 500ms;
    return limits;
}

/// Listener on the loopback interface whose front ends use fakes.
class Server
{
public:
    explicit Server(std::uint32_t workers = 1, std::uint32_t maxConnections = 100)
        : pool(workers)
    {
        snapshots.publish(makeSnapshot());
        for (std::uint32_t i = 0; i < workers; ++i) {
            runs.push_back(std::make_unique<FakeRuns>(pool.worker(i).timers, log));
            admissions.push_back(std::make_unique<FakeAdmission>());
            frontEnds.push_back(std::make_unique<FrontEnd>(FrontEndContext{
                    pool.worker(i).timers, snapshots, *runs[i], *admissions[i], status, stats}));
        }
        std::vector<FrontEnd *> pointers;
        for (const auto &frontEnd : frontEnds)
            pointers.push_back(frontEnd.get());
        CallerListenerOptions options;
        options.address = "127.0.0.1:0";
        options.maxConnections = maxConnections;
        options.limits = testLimits();
        listener = std::make_unique<CallerListener>(pool, pointers, options);
        std::string reason;
        REQUIRE(listener->open(reason));
        listener->start();
        pool.start();
    }
    ~Server()
    {
        pool.stop();
        listener.reset();
    }
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    std::uint32_t running() const
    {
        std::uint32_t sum = 0;
        for (const auto &frontEnd : frontEnds)
            sum += frontEnd->running();
        return sum;
    }

    WorkerPool pool;
    SnapshotPublisher snapshots;
    FakeRunLog log;
    FakeStatus status;
    Stats stats;
    std::vector<std::unique_ptr<FakeRuns>> runs;
    std::vector<std::unique_ptr<FakeAdmission>> admissions;
    std::vector<std::unique_ptr<FrontEnd>> frontEnds;
    std::unique_ptr<CallerListener> listener;
};

/// Waits until @p condition holds, for at most TestTimeout.
/// @return false if it does not hold after TestTimeout
template <class Condition>
bool eventually(Condition condition)
{
    const auto end = std::chrono::steady_clock::now() + TestTimeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(1ms);
    }
    return true;
}

/// Blocking client connection to a Server.
class Client
{
public:
    explicit Client(const Server &server)
    {
        const std::string &address = server.listener->address();
        const auto port = std::stoi(address.substr(address.rfind(':') + 1));
        m_socket.connect({boost::asio::ip::make_address("127.0.0.1"),
                          static_cast<boost::asio::ip::port_type>(port)});
        const timeval timeout{5, 0};
        ::setsockopt(m_socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    }

    void send(const std::string &bytes)
    {
        boost::asio::write(m_socket, boost::asio::buffer(bytes));
    }
    /// Reads until @p end was received, or until the connection ends if @p end is empty. Also stops
    /// after 5 s without data.
    /// @return the received bytes
    std::string receive(const std::string &end)
    {
        std::array<char, 4096> chunk;
        while (end.empty() || m_received.find(end) == std::string::npos) {
            const ssize_t count = ::recv(m_socket.native_handle(), chunk.data(), chunk.size(), 0);
            if (count <= 0) {
                isClosed = count == 0;
                break;
            }
            m_received.append(chunk.data(), static_cast<std::size_t>(count));
        }
        return std::exchange(m_received, {});
    }
    /// Closes the connection with a TCP reset.
    void reset()
    {
        m_socket.set_option(boost::asio::socket_base::linger(true, 0));
        m_socket.close();
    }
    void close() { m_socket.close(); }

    /// True if receive() stopped because the server closed the connection in order.
    bool isClosed = false;

private:
    boost::asio::io_context m_context;
    tcp::socket m_socket{m_context};
    std::string m_received;
};

std::string search(const std::string &body, const std::string &headers = "")
{
    return "POST /v1/search/corte HTTP/1.1\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

const std::string Health = "GET /healthz HTTP/1.1\r\n\r\n";
const std::string Bye = "GET /healthz HTTP/1.1\r\nConnection: close\r\n\r\n";

/// @return status, results, error, outcome and close of each response in order, such as
/// "200 [1], 400 badRequest notRun close"
std::string summary(const std::string &received)
{
    std::string result;
    for (std::size_t at = received.find("HTTP/1."); at != std::string::npos;
         at = received.find("HTTP/1.", at + 1)) {
        const std::string message = received.substr(at, received.find("HTTP/1.", at + 1) - at);
        result += (result.empty() ? "" : ", ") + message.substr(9, 3);
        const auto quote = [&](const std::string &start, const std::string &end) {
            const std::size_t from = message.find(start);
            if (from == std::string::npos)
                return;
            const std::size_t begin = from + start.size();
            result += " " + message.substr(begin, message.find(end, begin) - begin);
        };
        quote("\"results\":", ",\"missing");
        quote("\"error\":\"", "\"");
        quote("\"outcome\":\"", "\"");
        if (message.find("Connection: close") != std::string::npos)
            result += " close";
    }
    return result;
}

} // namespace

// Guards against responses that are lost, duplicated or sent to the wrong request, and against a
// connection that is wrongly kept open or closed. Some rows pipeline several requests.
TEST_CASE("a connection answers each request in order")
{
    struct Row
    {
        const char *failure;
        std::string sent;
        std::string expected;
        int searches;
    };
    const std::string longBody(65, '1');
    const std::string fullBody(64, '1');
    const Row row = GENERATE_COPY(values<Row>({
            {"a request on a persistent connection is lost", Health + search("1") + Bye,
             "200, 200 [1], 200 close", 1},
            {"a fast response is sent before an earlier slow one",
             search("\"slow\"") + search("2") + Bye, "200 [\"slow\"], 200 [2], 200 close", 2},
            {"a queued request starts after its deadline",
             search("\"slow\"") + search("2", "Geraniumcart-Deadline-Ms: 10\r\n") + Bye,
             "200 [\"slow\"], 504 deadlinePassed notRun, 200 close", 1},
            {"an invalid header closes the connection",
             search("1", "Geraniumcart-Deadline-Ms: x\r\n") + search("2") + Bye,
             "400 badRequest notRun, 200 [2], 200 close", 1},
            {"an unknown path closes the connection",
             "POST /other HTTP/1.1\r\nContent-Length: 1\r\n\r\n1" + search("2") + Bye,
             "404 unknownPath notRun, 200 [2], 200 close", 1},
            {"an unknown service closes the connection",
             "POST /v1/search/corta HTTP/1.1\r\nContent-Length: 1\r\n\r\n1" + Bye,
             "404 unknownService notRun, 200 close", 0},
            {"a wrong method closes the connection", "DELETE /v1/entries HTTP/1.1\r\n\r\n" + Bye,
             "405 methodNotAllowed notRun, 200 close", 0},
            {"the response to HEAD has a body", "HEAD /healthz HTTP/1.1\r\n\r\n" + Bye,
             "405, 200 close", 0},
            {"a body of the maximum length is refused", search(fullBody) + Bye,
             "200 [" + fullBody + "], 200 close", 1},
            {"a request with a body that is too long runs", search(longBody) + Bye,
             "413 bodyTooLarge notRun close", 0},
            {"the server waits for a body whose Content-Length is too long",
             "POST /v1/search/corte HTTP/1.1\r\nContent-Length: 9999999\r\n\r\n",
             "413 bodyTooLarge notRun close", 0},
            {"a request with a chunked body that is too long runs",
             "POST /v1/search/corte HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n41\r\n" +
                     longBody + "\r\n0\r\n\r\n",
             "413 bodyTooLarge notRun close", 0},
            {"a chunked body is refused",
             "POST /v1/search/corte HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n1\r\n2\r\n23"
             "\r\n0\r\n\r\n" +
                     Bye,
             "200 [123], 200 close", 1},
            {"a header that is too long is accepted",
             "GET /healthz HTTP/1.1\r\nX: " + std::string(1100, 'x') + "\r\n\r\n",
             "431 headerTooLarge notRun close", 0},
            {"the server waits for more after bytes that are not HTTP",
             "\x16\x03\x01 hello\r\n\r\n", "400 badRequest notRun close", 0},
            {"two different values of Content-Length are accepted",
             "POST /v1/search/corte HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n12",
             "400 badRequest notRun close", 0},
            {"the server waits without limit for the end of a request",
             "POST /v1/search/corte HTTP/1.1\r\nContent-Length: 9\r\n\r\n123",
             "408 requestTimeout notRun close", 0},
            {"the connection of an HTTP/1.0 client is kept open",
             "GET /healthz HTTP/1.0\r\n\r\n" + Health, "200", 0},
            {"an idle connection is never closed", Health, "200", 0},
    }));
    const bool isSplit = GENERATE(false, true);
    INFO(row.failure << (isSplit ? ", byte by byte" : ""));

    Server server;
    Client client(server);
    if (isSplit && row.sent.size() < 300)
        for (const char letter : row.sent)
            client.send(std::string(1, letter));
    else
        client.send(row.sent);
    CHECK(summary(client.receive("")) == row.expected);
    CHECK(client.isClosed);
    CHECK(server.log.searches == row.searches);
    client.close();
    CHECK(eventually([&] { return server.listener->openConnections() == 0; }));
    CHECK(server.running() == 0);
}

// Guards against a body behind the header of a response to HEAD: the caller reads it as the start
// of its next response.
TEST_CASE("the response to a HEAD request has no body")
{
    const std::string head = "HEAD /healthz HTTP/1.1\r\n";
    const auto [failure, sent, status, isKept] =
            GENERATE_COPY(table<const char *, std::string, const char *, bool>({
                    {"a wrong method has a body", head + "\r\n", "405", true},
                    {"an unknown path has a body", "HEAD /other HTTP/1.1\r\n\r\n", "404", true},
                    {"a request with a body has one in its response",
                     head + "Content-Length: 3\r\n\r\n123", "405", true},
                    {"a request that closes the connection has a body",
                     head + "Connection: close\r\n\r\n", "405", false},
                    {"a body that is too long has one in its response",
                     head + "Content-Length: 65\r\n\r\n", "413", false},
                    {"an unread body that the caller announced has one in its response",
                     head + "Expect: 100-continue\r\nContent-Length: 65\r\n\r\n", "413", false},
                    {"a header that is too long has a body", head + "X: " + std::string(1100, 'x'),
                     "431", false},
                    {"an invalid header has a body", head + "bad\x01: 1\r\n\r\n", "400", false},
                    {"a request that arrives too slowly has a body", head + "X: y", "408", false},
                    {"a body that arrives too slowly has one in its response",
                     head + "Content-Length: 9\r\n\r\n123", "408", false},
            }));
    INFO(failure);
    Server server;
    Client client(server);
    client.send(isKept ? sent + Bye : sent);
    const std::string received = client.receive("");
    CHECK(client.isClosed);
    REQUIRE(received.starts_with(std::string("HTTP/1.1 ") + status));
    const std::string next = received.substr(received.find("\r\n\r\n") + 4);
    CHECK(next.substr(0, next.find("\r\n")) == (isKept ? "HTTP/1.1 200 OK" : ""));
}

// Guards against a client that sends `Expect: 100-continue` and waits forever for the interim
// response, and against a body that is requested only to be refused.
TEST_CASE("100 Continue is sent if the caller expects it")
{
    const auto [failure, length,
                expected] = GENERATE(table<const char *, std::string, std::string>({
            {"no interim response is sent", "3", "HTTP/1.1 100 Continue\r\n\r\n"},
            {"a body that is too long is requested", "65", "HTTP/1.1 413 Payload Too Large\r\n"},
    }));
    INFO(failure);

    Server server;
    Client client(server);
    client.send("POST /v1/search/corte HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: " +
                length + "\r\n\r\n");
    const std::string first = client.receive("\r\n\r\n");
    CHECK(first.find(expected) == 0);
    if (length == "3") {
        client.send("123");
        CHECK(summary(client.receive("]}")) == "200 [123]");
    }
}

// Guards against searches that keep running after their caller disconnected, against bookings that
// a disconnect cancels, and against a partial request that runs.
TEST_CASE("the end of a connection abandons its searches but not its bookings")
{
    struct Row
    {
        const char *failure;
        std::string sent;
        bool isReset;
        int searches;
        int abandoned;
        int bookings;
    };
    const std::string complete = search("12345");
    const std::string partial = complete.substr(0, complete.size() - 1);
    const std::string booking = "POST /v1/book/corte HTTP/1.1\r\nContent-Length: 6\r\n\r\n\"slow\"";
    const Row row = GENERATE_COPY(values<Row>({
            {"a search keeps running after the caller closed the connection", search("\"hold\""),
             false, 1, 1, 0},
            {"a search keeps running after a TCP reset", search("\"hold\""), true, 1, 1, 0},
            {"a pipelined request starts after the caller closed the connection",
             search("\"hold\"") + search("2"), false, 1, 1, 0},
            {"a partial request runs", partial, false, 0, 0, 0},
            {"a partial request runs after a TCP reset", partial, true, 0, 0, 0},
            {"a booking is cancelled", booking, false, 0, 0, 1},
    }));
    INFO(row.failure);

    Server server;
    Client client(server);
    client.send(row.sent);
    CHECK(eventually([&] {
        return server.listener->openConnections() == 1 && server.log.searches == row.searches &&
               server.log.bookings == row.bookings;
    }));
    row.isReset ? client.reset() : client.close();
    CHECK(eventually([&] { return server.listener->openConnections() == 0; }));
    CHECK(eventually([&] { return server.running() == 0; }));
    CHECK(server.log.abandoned == row.abandoned);
    CHECK(server.log.searches == row.searches);
    CHECK(server.stats.value(Counter::BookingsDone) == static_cast<std::uint64_t>(row.bookings));
}

// Guards against a graceful shutdown that drops a request, or that never ends.
TEST_CASE("draining completes the requests in progress and closes the connections")
{
    const auto [failure, before, after,
                expected] = GENERATE(table<const char *, std::string, std::string, std::string>({
            {"an idle connection delays the shutdown", "", "", ""},
            {"a running request is dropped", search("\"slow\""), "", "200 [\"slow\"] close"},
            {"a partly received request is dropped", search("123").substr(0, 50),
             search("123").substr(50), "200 [123] close"},
            {"a request in transit is dropped", "", search("1"), "200 [1] close"},
            {"a pipelined request runs after the last response", search("\"slow\"") + search("2"),
             "", "200 [\"slow\"] close"},
    }));
    INFO(failure);

    Server server;
    Client client(server);
    client.send(Health);
    client.receive("ok\n");
    client.send(before);
    if (before.find("slow") != std::string::npos)
        CHECK(eventually([&] { return server.log.searches == 1; }));
    server.listener->drain();
    client.send(after);
    CHECK(summary(client.receive("")) == expected);
    CHECK(client.isClosed);
    CHECK(eventually([&] { return server.listener->openConnections() == 0; }));
    CHECK(server.running() == 0);
}

// Guards against workers that get no connections, and against a limit on connections that is
// exceeded or after which the listener accepts no more.
TEST_CASE("connections are distributed over the workers and limited")
{
    const auto [failure, workers, limit, clients] =
            GENERATE(table<const char *, std::uint32_t, std::uint32_t, std::uint32_t>({
                    {"all connections go to one worker", 3, 100, 6},
                    {"the limit is exceeded", 2, 2, 5},
                    {"a listener with a limit of one stops accepting", 1, 1, 3},
            }));
    INFO(failure);

    Server server(workers, limit);
    std::vector<std::unique_ptr<Client>> connected;
    for (std::uint32_t i = 0; i < clients; ++i) {
        connected.push_back(std::make_unique<Client>(server));
        connected.back()->send(search("\"hold\""));
    }
    std::uint32_t finished = 0;
    while (finished < clients) {
        const std::uint32_t open = std::min(limit, clients - finished);
        std::uint32_t mostOpen = 0;
        REQUIRE(eventually([&] {
            mostOpen = std::max(mostOpen, server.listener->openConnections());
            // The count of searches shows that the new connections were accepted. The other two
            // counts may still include connections that were just closed.
            return static_cast<std::uint32_t>(server.log.searches) == finished + open &&
                   server.running() == open && server.listener->openConnections() == open;
        }));
        CHECK(mostOpen <= limit);
        for (const auto &frontEnd : server.frontEnds)
            if (open >= workers)
                CHECK(frontEnd->running() > 0);
        for (std::uint32_t i = 0; i < open; ++i)
            connected[finished++]->close();
    }
    CHECK(eventually([&] { return server.listener->openConnections() == 0; }));
}

// Guards against a daemon that starts without its listener, or that fails without naming the
// address.
TEST_CASE("an address that cannot be bound is reported")
{
    const auto [failure, address] = GENERATE(table<const char *, std::string>({
            {"the address is in use", ""},
            {"the address belongs to another host", "192.0.2.1:0"},
            {"the text is not an IP:port address", "localhost"},
            {"the port is out of range", "127.0.0.1:65536"},
    }));
    INFO(failure);

    Server server;
    CallerListenerOptions options;
    options.address = address.empty() ? server.listener->address() : address;
    CallerListener second(server.pool, std::vector<FrontEnd *>{}, options);
    std::string reason;
    CHECK_FALSE(second.open(reason));
    CHECK(reason.find(options.address) == 0);
}

// Guards against a caller that fills the memory with a part of a request that never ends. Such a
// part is parsed only as a whole, so that it is buffered until then.
TEST_CASE("a request whose parts have no end is refused before the read timeout")
{
    const std::string head = "POST /v1/search/s HTTP/1.1\r\nHost: a\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    const auto [failure, start, repeated, status] =
            GENERATE_COPY(table<const char *, std::string, std::string, const char *>({
                    {"a request line is buffered", "GET /", "x", "431"},
                    {"a field line is buffered", head + "X: ", "y", "431"},
                    {"field lines are buffered", head, "X: y\r\n", "431"},
                    {"a chunk size is buffered", chunked, "0", "431"},
                    {"a chunk extension is buffered", chunked + "5;a=", "b", "431"},
                    {"a trailer line is buffered", chunked + "0\r\nX: ", "y", "431"},
                    {"trailer lines are buffered", chunked + "0\r\n", "X: y\r\n", "431"},
                    {"chunks are buffered", chunked, "10\r\n0123456789abcdef\r\n", "413"},
            }));
    INFO(failure);
    Server server;
    Client client(server);
    std::string bytes = start;
    while (bytes.size() < 16 * testLimits().headerBytes)
        bytes += repeated;
    const auto begin = std::chrono::steady_clock::now();
    client.send(bytes);
    const std::string response = client.receive("\r\n\r\n");
    CHECK(response.starts_with(std::string("HTTP/1.1 ") + status));
    CHECK(std::chrono::steady_clock::now() - begin < testLimits().readTimeout / 2);
}
