#include <catch2/catch.hpp>

#include <load_main.h>

#include <boost/asio.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>

using namespace geraniumcart;
using namespace geraniumcart::tools;
using namespace std::chrono_literals;
namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace {

const std::string CompleteSearchAnswer =
        R"({"coverage":{"shardsTotal":2,"documentsSearched":5,)"
        R"("documentsTotal":5,"complete":true},"results":[],"missing":[]})";

constexpr std::chrono::milliseconds SlowAnswerDelay{200};

enum class ServerBehaviour {
    Answer,
    AnswerAndClose,
    AnswerWithConnectionClose,
    CloseWithoutAnswer,
    TruncatedAnswer,
    /// Delays the answer to the first request by SlowAnswerDelay.
    SlowFirst,
    NoAnswer
};

/// Fake entry daemon that answers all requests according to one behaviour. Also answers
/// `/v1/entries` with its own address. Runs on a thread of its own.
class ScriptedServer
{
public:
    explicit ScriptedServer(ServerBehaviour behaviour)
        : m_behaviour(behaviour)
        , m_acceptor(m_context, {asio::ip::make_address("127.0.0.1"), 0})
    {
        accept();
        m_thread = std::thread([this] { m_context.run(); });
    }

    ~ScriptedServer()
    {
        m_context.stop();
        m_thread.join();
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }
    int requests() const { return m_requests; }
    int connections() const { return m_connections; }

private:
    struct Session
    {
        tcp::socket socket;
        boost::beast::flat_buffer buffer;
        http::request<http::string_body> request;
        std::string answer;
    };

    void accept()
    {
        m_acceptor.async_accept([this](const boost::system::error_code &error, tcp::socket socket) {
            if (error)
                return;
            ++m_connections;
            read(std::make_shared<Session>(Session{std::move(socket), {}, {}, {}}));
            accept();
        });
    }

    void read(const std::shared_ptr<Session> &session)
    {
        session->request = {};
        http::async_read(session->socket, session->buffer, session->request,
                         [this, session](const boost::system::error_code &error, std::size_t) {
                             if (error)
                                 return;
                             ++m_requests;
                             answer(session);
                         });
    }

    void answer(const std::shared_ptr<Session> &session)
    {
        if (m_behaviour == ServerBehaviour::CloseWithoutAnswer)
            return;
        const std::string entries =
                R"({"entries":[{"address":")" + address() + R"(","weight":1}],"validForMs":50})";
        const std::string &body =
                session->request.target() == "/v1/entries" ? entries : CompleteSearchAnswer;
        session->answer =
                "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                (m_behaviour == ServerBehaviour::AnswerWithConnectionClose ? "\r\nConnection: close"
                                                                           : "") +
                "\r\n\r\n" + body;
        if (m_behaviour == ServerBehaviour::TruncatedAnswer)
            session->answer.resize(session->answer.size() - 10);
        if (m_behaviour == ServerBehaviour::NoAnswer) {
            read(session);
            return;
        }
        if (m_behaviour == ServerBehaviour::SlowFirst && m_requests == 1) {
            m_timer.expires_after(SlowAnswerDelay);
            m_timer.async_wait(
                    [this, session](const boost::system::error_code &) { write(session); });
            return;
        }
        write(session);
    }

    void write(const std::shared_ptr<Session> &session)
    {
        asio::async_write(session->socket, asio::buffer(session->answer),
                          [this, session](const boost::system::error_code &error, std::size_t) {
                              if (!error && (m_behaviour == ServerBehaviour::Answer ||
                                             m_behaviour == ServerBehaviour::SlowFirst))
                                  read(session);
                          });
    }

    ServerBehaviour m_behaviour;
    asio::io_context m_context{1};
    tcp::acceptor m_acceptor;
    asio::steady_timer m_timer{m_context};
    std::thread m_thread;
    std::atomic<int> m_requests{0};
    std::atomic<int> m_connections{0};
};

LoadOptions options()
{
    LoadOptions made;
    made.service = "corte";
    made.arrivals.ratePerSecond = 200;
    made.duration = 300ms;
    made.deadline = 500ms;
    made.grace = 500ms;
    made.threads = 1;
    return made;
}

} // namespace

// Guards against a report that counts requests wrongly when the server closes a connection, cuts an
// answer short or does not answer at all.
TEST_CASE("the report counts requests by how their connection ended")
{
    using Member = std::uint64_t LoadReport::*;
    const auto [failure, behaviour,
                member] = GENERATE(table<const char *, ServerBehaviour, Member>({
            {"fails on a keep-alive connection", ServerBehaviour::Answer, &LoadReport::complete},
            {"reuses a connection after an answer with Connection: close",
             ServerBehaviour::AnswerWithConnectionClose, &LoadReport::complete},
            {"does not count a request that was closed without an answer",
             ServerBehaviour::CloseWithoutAnswer, &LoadReport::cutOff},
            {"does not count a truncated answer", ServerBehaviour::TruncatedAnswer,
             &LoadReport::cutOff},
            {"waits forever for an answer", ServerBehaviour::NoAnswer, &LoadReport::timedOut},
    }));
    INFO(failure);
    ScriptedServer server(behaviour);
    LoadOptions run = options();
    run.targets = {server.address()};
    std::string reason;
    const auto report = runLoad(run, reason);
    REQUIRE(report);
    CHECK(report->sent > 0);
    CHECK(report.value().*member == report->sent);
    CHECK(static_cast<std::uint64_t>(server.requests()) == report->sent);
}

// Guards against requests that fail because they are sent on a connection that the server has
// closed while it was idle.
TEST_CASE("a connection that was closed while idle is replaced")
{
    ScriptedServer server(ServerBehaviour::AnswerAndClose);
    LoadOptions run = options();
    run.targets = {server.address()};
    run.arrivals.ratePerSecond = 40;
    std::string reason;
    const auto report = runLoad(run, reason);
    REQUIRE(report);
    CHECK(report->sent > 1);
    // A request that is in transit while the server closes the connection cannot be distinguished
    // from one that was cut off, so idle close races are allowed.
    CHECK(report->complete + report->idleCloseRaces == report->sent);
    CHECK(report->complete > 0);
    CHECK(server.connections() > 1);
}

// Guards against latency that is measured from the time of sending. It would hide the time that
// requests wait for a connection behind a slow request (coordinated omission).
TEST_CASE("latency is measured from the intended start")
{
    ScriptedServer server(ServerBehaviour::SlowFirst);
    LoadOptions run = options();
    run.targets = {server.address()};
    run.connections = 1;
    run.deadline = 1s;
    std::string reason;
    const auto report = runLoad(run, reason);
    REQUIRE(report);
    CHECK(report->complete == report->sent);
    CHECK(report->latency.max >= SlowAnswerDelay);
    // Two thirds of the requests are due while the first answer is delayed.
    CHECK(report->latency.p50 >= SlowAnswerDelay / 10);
}

// Guards against a list of entries that is used beyond its period of validity.
TEST_CASE("the list of entries is fetched again when it expires")
{
    ScriptedServer server(ServerBehaviour::Answer);
    LoadOptions run = options();
    run.entries = {server.address()};
    std::string reason;
    const auto report = runLoad(run, reason);
    REQUIRE(report);
    CHECK(report->complete == report->sent);
    // The run lasts 300 ms and each list is valid for 50 ms.
    CHECK(report->entriesRefreshes >= 3);
    CHECK(report->entriesFailures == 0);
}
