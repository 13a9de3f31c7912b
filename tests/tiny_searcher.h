#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

/// How the tiny searcher handles POST /search and POST /book, correctly or with a fault.
enum class Reaction {
    Answer,
    AnswerTwice,
    WrongId,
    NoId,
    WrongShard,
    NotJson,
    NoHttp,
    TooLong,
    Silent,
    ResetInRequest,
    ResetAfterRequest,
    ResetInAnswer,
    CloseInAnswer,
    CloseInHead,
    CloseAfterAnswer,
    NotRun,
    Shed,
    Error,
    Draining,
};

/// Minimal searcher for tests, with faults that the test selects. Runs on a thread of its own; the
/// atomic members may be changed and read while it runs.
class TinySearcher
{
public:
    explicit TinySearcher(Reaction first = Reaction::Answer)
        : reaction(first)
    {
        accept();
        m_thread = std::thread([this] { m_context.run(); });
    }
    ~TinySearcher()
    {
        m_context.stop();
        m_thread.join();
    }
    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

    /// Closes all connections, as a restart of the searcher's process does.
    /// @param withReset true to reset them, false to close them in order
    void closeConnections(bool withReset)
    {
        boost::asio::post(m_context, [this, withReset] {
            for (const auto &weak : std::exchange(m_sessions, {})) {
                if (const SessionPtr session = weak.lock()) {
                    Error ignored;
                    if (withReset)
                        reset(session);
                    else
                        session->socket.close(ignored);
                }
            }
        });
    }

    std::atomic<Reaction> reaction;
    /// Processing time of each search or booking.
    std::atomic<std::chrono::milliseconds> delay{std::chrono::milliseconds(0)};
    std::atomic<int> bootId{1};
    /// False to leave GET /info unanswered.
    std::atomic<bool> answersInfo{true};
    /// True if the answer to GET /info reports that the searcher is draining.
    std::atomic<bool> isDraining{false};
    /// Searches and bookings received so far.
    std::atomic<int> requests{0};
    std::atomic<int> running{0};
    /// Maximum number of searches and bookings that ran at the same time.
    std::atomic<int> maxRunning{0};
    /// Received DELETE requests.
    std::atomic<int> cancels{0};
    /// Accepted connections.
    std::atomic<int> connections{0};
    /// Received GET /info requests.
    std::atomic<int> infoCalls{0};

private:
    using Tcp = boost::asio::ip::tcp;
    using Error = boost::system::error_code;
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    struct Session
    {
        explicit Session(Tcp::socket accepted)
            : socket(std::move(accepted))
            , timer(socket.get_executor())
        {
        }
        Tcp::socket socket;
        boost::asio::steady_timer timer;
        boost::beast::flat_buffer buffer;
        std::unique_ptr<Parser> parser;
        std::string out;
    };
    using SessionPtr = std::shared_ptr<Session>;

    void accept()
    {
        m_acceptor.async_accept([this](Error error, Tcp::socket socket) {
            if (error)
                return;
            ++connections;
            const auto session = std::make_shared<Session>(std::move(socket));
            m_sessions.push_back(session);
            read(session);
            accept();
        });
    }

    static void reset(const SessionPtr &session)
    {
        Error ignored;
        session->socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        session->socket.close(ignored);
    }

    void read(const SessionPtr &session)
    {
        session->parser = std::make_unique<Parser>();
        session->parser->body_limit(boost::none);
        async_read_header(session->socket, session->buffer, *session->parser,
                          [this, session](Error error, std::size_t) {
                              if (error)
                                  return;
                              if (isPost(session) && reaction == Reaction::ResetInRequest) {
                                  ++requests;
                                  reset(session);
                                  return;
                              }
                              async_read(session->socket, session->buffer, *session->parser,
                                         [this, session](Error failed, std::size_t) {
                                             if (!failed)
                                                 react(session);
                                         });
                          });
    }

    static bool isPost(const SessionPtr &session)
    {
        return session->parser->get().method() == boost::beast::http::verb::post;
    }

    void react(const SessionPtr &session)
    {
        if (!isPost(session)) {
            const bool isInfo = session->parser->get().target() == "/info";
            ++(isInfo ? infoCalls : cancels);
            if (isInfo && !answersInfo)
                m_silent.push_back(session);
            else
                write(session, answer("200 OK", isDraining ? "Draining: 1\r\n" : "", "{}"));
            return;
        }
        ++requests;
        if (++running > maxRunning)
            maxRunning = running.load();
        const Reaction now = reaction;
        if (now == Reaction::Silent) {
            m_silent.push_back(session);
            return;
        }
        session->timer.expires_after(delay.load());
        session->timer.async_wait([this, session, now](Error error) {
            --running;
            if (!error)
                finish(session, now);
        });
    }

    std::string answer(const std::string &status, const std::string &fields,
                       const std::string &body) const
    {
        return "HTTP/1.1 " + status + "\r\nBoot-Id: boot-" + std::to_string(bootId) +
               "\r\nIndex-Versions: 3-5\r\nContent-Length: " + std::to_string(body.size()) +
               "\r\n" + fields + "\r\n" + body;
    }

    void finish(const SessionPtr &session, Reaction now)
    {
        const auto &request = session->parser->get();
        const auto field = [&request](const char *name) { return std::string(request[name]); };
        const std::string own =
                "Request-Id: " + field("Request-Id") + "\r\nShard: " + field("Shard") +
                "\r\nIndex-Version: " + field("Index-Version") + "\r\nDocuments: 10\r\n";
        const std::string good = answer("200 OK", own, R"({"hits":[1,2]})");
        switch (now) {
        case Reaction::AnswerTwice:
            return write(session, good + good);
        case Reaction::WrongId:
            return write(session, answer("200 OK", "Request-Id: 1\r\n", "{}"));
        case Reaction::NoId:
            return write(session, answer("200 OK", "", "{}"));
        case Reaction::WrongShard:
            return write(session,
                         answer("200 OK",
                                "Request-Id: " + field("Request-Id") + "\r\nShard: 99\r\n", "{}"));
        case Reaction::NotJson:
            return write(session, answer("200 OK", own, R"({"hits":[1,2})"));
        case Reaction::NoHttp:
            return write(session, "220 mail.example ESMTP\r\n");
        case Reaction::TooLong:
            return write(session,
                         "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n" + own + "\r\n");
        case Reaction::ResetAfterRequest:
            return reset(session);
        case Reaction::ResetInAnswer:
        case Reaction::CloseInAnswer:
            return write(session, good.substr(0, good.size() - 3), now);
        case Reaction::CloseInHead:
            return write(session, good.substr(0, good.find("\r\n\r\n")), now);
        case Reaction::CloseAfterAnswer:
            return write(session, answer("200 OK", own + "Connection: close\r\n", "{}"), now);
        case Reaction::NotRun:
            return write(session, answer("503 Busy", own + "Not-Run: 1\r\n", "{}"));
        case Reaction::Shed:
            return write(session, answer("503 Busy", own, "{}"));
        case Reaction::Error:
            return write(session, answer("500 Error", own, "{}"));
        case Reaction::Draining:
            return write(session, answer("200 OK", own + "Draining: 1\r\n", "{}"));
        default:
            return write(session, good);
        }
    }

    void write(const SessionPtr &session, std::string text, Reaction then = Reaction::Answer)
    {
        session->out = std::move(text);
        async_write(session->socket, boost::asio::buffer(session->out),
                    [this, session, then](Error error, std::size_t) {
                        if (error)
                            return;
                        if (then == Reaction::ResetInAnswer)
                            reset(session);
                        else if (then == Reaction::Answer)
                            read(session);
                    });
    }

    boost::asio::io_context m_context{1};
    Tcp::acceptor m_acceptor{m_context, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)};
    /// Sessions that are kept open without an answer.
    std::vector<SessionPtr> m_silent;
    std::vector<std::weak_ptr<Session>> m_sessions;
    std::thread m_thread;
};
