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

const std::string Body = R"({"coverage":{"shardsTotal":2,"documentsSearched":5,)"
                         R"("documentsTotal":5,"complete":true},"results":[],"missing":[]})";

constexpr std::chrono::milliseconds SlowAnswer{200};

enum class Manner {
    Answer,
    AnswerAndClose,
    AnswerAndSayClose,
    CloseAfterRead,
    HalfAnswer,
    SlowFirst,
    Silent
};

/// Stand-in entry daemon that treats every connection in the same manner.
class ScriptedServer
{
public:
    explicit ScriptedServer(Manner manner)
        : m_manner(manner)
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
        if (m_manner == Manner::CloseAfterRead)
            return;
        const std::string entries =
                R"({"entries":[{"address":")" + address() + R"(","weight":1}],"validForMs":50})";
        const std::string &body = session->request.target() == "/v1/entries" ? entries : Body;
        session->answer = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                          (m_manner == Manner::AnswerAndSayClose ? "\r\nConnection: close" : "") +
                          "\r\n\r\n" + body;
        if (m_manner == Manner::HalfAnswer)
            session->answer.resize(session->answer.size() - 10);
        if (m_manner == Manner::Silent) {
            read(session);
            return;
        }
        if (m_manner == Manner::SlowFirst && m_requests == 1) {
            m_timer.expires_after(SlowAnswer);
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
                              if (!error &&
                                  (m_manner == Manner::Answer || m_manner == Manner::SlowFirst))
                                  read(session);
                          });
    }

    Manner m_manner;
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

// Guards against a connection's end that is blamed on the daemon, or hidden, in the report.
TEST_CASE("the load tool tells how connections end")
{
    using Member = std::uint64_t LoadReport::*;
    const auto [failure, manner, member] = GENERATE(table<const char *, Manner, Member>({
            {"fails on keep-alive", Manner::Answer, &LoadReport::complete},
            {"reuses a connection that was announced closed", Manner::AnswerAndSayClose,
             &LoadReport::complete},
            {"hides a request without an answer", Manner::CloseAfterRead, &LoadReport::cutOff},
            {"hides half an answer", Manner::HalfAnswer, &LoadReport::cutOff},
            {"waits for ever", Manner::Silent, &LoadReport::timedOut},
    }));
    INFO(failure);
    ScriptedServer server(manner);
    LoadOptions run = options();
    run.targets = {server.address()};
    std::string reason;
    const auto report = runLoad(run, reason);
    REQUIRE(report);
    CHECK(report->sent > 0);
    CHECK(report.value().*member == report->sent);
    CHECK(static_cast<std::uint64_t>(server.requests()) == report->sent);
}

// Guards against a request that fails because the server closed its connection while it was idle.
TEST_CASE("a connection closed while idle is replaced")
{
    ScriptedServer server(Manner::AnswerAndClose);
    LoadOptions run = options();
    run.targets = {server.address()};
    run.arrivals.ratePerSecond = 40;
    std::string reason;
    const auto report = runLoad(run, reason);
    REQUIRE(report);
    CHECK(report->sent > 1);
    // A request that crosses the close on its way cannot be told from one that was cut off.
    CHECK(report->complete + report->idleCloseRaces == report->sent);
    CHECK(report->complete > 0);
    CHECK(server.connections() > 1);
}

// Guards against latency from the time of sending, which hides the requests behind a stalled one.
TEST_CASE("latency counts from the intended start")
{
    ScriptedServer server(Manner::SlowFirst);
    LoadOptions run = options();
    run.targets = {server.address()};
    run.connections = 1;
    run.deadline = 1s;
    std::string reason;
    const auto report = runLoad(run, reason);
    REQUIRE(report);
    CHECK(report->complete == report->sent);
    CHECK(report->latency.max >= SlowAnswer);
    // Two thirds of the requests are due while the first answer is held back.
    CHECK(report->latency.p50 >= SlowAnswer / 10);
}

// Guards against a list of entries that is fetched once and then kept for ever.
TEST_CASE("the list of entries is fetched again when it runs out")
{
    ScriptedServer server(Manner::Answer);
    LoadOptions run = options();
    run.entries = {server.address()};
    std::string reason;
    const auto report = runLoad(run, reason);
    REQUIRE(report);
    CHECK(report->complete == report->sent);
    // 300 ms at 50 ms of validity.
    CHECK(report->entriesRefreshes >= 3);
    CHECK(report->entriesFailures == 0);
}
