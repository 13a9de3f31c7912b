#include "connection/http_client_p.h"

#include "connection/answer_status_p.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <optional>
#include <set>
#include <sstream>
#include <utility>
#include <vector>

namespace geraniumcart {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using Tcp = asio::ip::tcp;

namespace {

/// Maximum size of a response's header, a chunk's header or the trailers, which are parsed only as
/// a whole.
constexpr std::size_t MaxUnparsedBytes = 64 * 1024;

} // namespace

/// One request and its callback.
struct HttpClient::Call
{
    HttpRequest request;
    TimePoint deadline;
    Callback callback;
    /// Expires at the deadline.
    asio::steady_timer timer;
};

/// Connections of one client and the requests that wait for a free connection.
class HttpClient::Pool : public std::enable_shared_from_this<Pool>
{
public:
    Pool(asio::io_context &context, Tcp::endpoint server, HttpClientLimits limits)
        : m_context(context)
        , m_server(std::move(server))
        , m_limits(limits)
    {
    }

    asio::io_context &context() { return m_context; }
    const Tcp::endpoint &server() const { return m_server; }
    const HttpClientLimits &limits() const { return m_limits; }

    void submit(std::shared_ptr<Call> call);
    /// Returns a connection to the pool after a request, or closes it if it is not usable or enough
    /// are idle, and starts the next waiting request.
    void release(const std::shared_ptr<Connection> &connection, bool isUsable);
    /// Closes all idle connections.
    void dropIdle();
    void close();

private:
    /// Removes an idle connection that is still usable from the pool.
    /// @return null if there is none
    std::shared_ptr<Connection> takeIdle();
    void enqueue(std::shared_ptr<Call> call);
    void sendNext();

    asio::io_context &m_context;
    Tcp::endpoint m_server;
    HttpClientLimits m_limits;
    std::set<std::shared_ptr<Connection>> m_open;
    std::vector<std::shared_ptr<Connection>> m_idle;
    std::deque<std::shared_ptr<Call>> m_waiting;
};

/// One connection to the server, with at most one request at a time.
class HttpClient::Connection : public std::enable_shared_from_this<Connection>
{
public:
    explicit Connection(const std::shared_ptr<Pool> &pool)
        : m_pool(pool)
        , m_server(pool->server())
        , m_responseBytes(pool->limits().responseBytes)
        , m_stream(pool->context())
    {
    }

    void run(std::shared_ptr<Call> call)
    {
        m_call = std::move(call);
        startTimer();
        if (m_isConnected)
            write();
        else
            connect();
    }

    /// Returns false if the server has closed the idle connection or sent bytes that belong to no
    /// request.
    bool isUsable()
    {
        std::array<char, 1> byte{};
        beast::error_code error;
        m_stream.socket().non_blocking(true, error);
        m_stream.socket().receive(asio::buffer(byte), Tcp::socket::message_peek, error);
        return error == asio::error::would_block;
    }

    void close()
    {
        if (m_call)
            m_call->timer.cancel();
        m_call = nullptr;
        m_stream.close();
    }

private:
    /// Closes the connection at the call's deadline, which ends the operation in progress. The
    /// timeout of tcp_stream is not used: it is cancelled by each completed read, so that it never
    /// expires while the server sends faster than its bytes are read.
    void startTimer()
    {
        m_isTimedOut = false;
        m_call->timer.expires_at(m_call->deadline);
        m_call->timer.async_wait(
                [weak = weak_from_this(), call = std::weak_ptr(m_call)](beast::error_code error) {
                    const std::shared_ptr<Connection> self = weak.lock();
                    if (error || !self || !self->m_call || self->m_call != call.lock())
                        return;
                    self->m_isTimedOut = true;
                    self->m_stream.close();
                });
    }

    void connect()
    {
        m_isReused = false;
        m_stream.async_connect(m_server, [self = shared_from_this()](beast::error_code error) {
            if (!self->m_call)
                return;
            if (error) {
                self->finish(HttpFailure::NotSent, {}, error);
                return;
            }
            self->m_isConnected = true;
            self->m_stream.socket().set_option(Tcp::no_delay(true), error);
            self->write();
        });
    }

    void write()
    {
        http::async_write(
                m_stream, m_call->request,
                [self = shared_from_this()](beast::error_code error, std::size_t written) {
                    self->onWritten(error, written);
                });
    }

    void onWritten(beast::error_code error, std::size_t written)
    {
        if (!m_call)
            return;
        if (!error) {
            read();
        } else if (written > 0) {
            finish(HttpFailure::ResponseLost, {}, error);
        } else if (m_isReused && !m_isTimedOut) {
            // The server had closed the idle connection. No byte of the request was written, so it
            // is sent again on a new connection.
            m_stream.close();
            m_isConnected = false;
            connect();
        } else {
            finish(HttpFailure::NotSent, {}, error);
        }
    }

    void read()
    {
        m_parser.emplace();
        m_parser->body_limit(m_responseBytes);
        m_parser->eager(true);
        http::async_read(m_stream, m_buffer, *m_parser,
                         [self = shared_from_this()](beast::error_code error, std::size_t) {
                             if (!self->m_call)
                                 return;
                             // The request asks for no interim response, which the client would
                             // have to skip without a bound.
                             if (!error && statusKindOf(self->m_parser->get().result_int()) !=
                                                   StatusKind::Final)
                                 error = http::error::bad_status;
                             if (error)
                                 self->finish(HttpFailure::ResponseLost, {}, error);
                             else
                                 self->finish(HttpFailure::None, self->m_parser->release(), error);
                         });
    }

    void finish(HttpFailure failure, HttpResponse response, beast::error_code error)
    {
        const std::shared_ptr<Call> call = std::exchange(m_call, nullptr);
        const std::shared_ptr<Pool> pool = m_pool.lock();
        call->timer.cancel();
        const bool isKept =
                !error && !m_isTimedOut && response.keep_alive() && m_buffer.size() == 0;
        m_isReused = true;
        if (!isKept)
            m_stream.close();
        if (!pool)
            return;
        // A network fault stops all connections over the failed path at once. After a request has
        // timed out, the idle connections are therefore closed instead of reused.
        if (m_isTimedOut)
            pool->dropIdle();
        pool->release(shared_from_this(), isKept);
        call->callback(failure, std::move(response));
    }

    std::weak_ptr<Pool> m_pool;
    Tcp::endpoint m_server;
    std::size_t m_responseBytes;
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer{MaxUnparsedBytes};
    std::optional<http::response_parser<http::string_body>> m_parser;
    /// The request in progress; null while idle.
    std::shared_ptr<Call> m_call;
    bool m_isConnected = false;
    /// True if the connection has carried an earlier request.
    bool m_isReused = false;
    /// True if the deadline of the request in progress has passed.
    bool m_isTimedOut = false;
};

std::shared_ptr<HttpClient::Connection> HttpClient::Pool::takeIdle()
{
    while (!m_idle.empty()) {
        std::shared_ptr<Connection> connection = std::move(m_idle.back());
        m_idle.pop_back();
        if (connection->isUsable())
            return connection;
        connection->close();
        m_open.erase(connection);
    }
    return nullptr;
}

void HttpClient::Pool::submit(std::shared_ptr<Call> call)
{
    std::shared_ptr<Connection> connection = takeIdle();
    if (!connection && m_open.size() >= m_limits.connections) {
        enqueue(std::move(call));
        return;
    }
    if (!connection) {
        connection = std::make_shared<Connection>(shared_from_this());
        m_open.insert(connection);
    }
    connection->run(std::move(call));
}

void HttpClient::Pool::enqueue(std::shared_ptr<Call> call)
{
    m_waiting.push_back(call);
    call->timer.expires_at(call->deadline);
    call->timer.async_wait([pool = weak_from_this(), call](beast::error_code error) {
        const std::shared_ptr<Pool> self = pool.lock();
        // The call may have left the queue after the timer expired but before this handler ran.
        if (error || !self || std::erase(self->m_waiting, call) == 0)
            return;
        call->callback(HttpFailure::NotSent, {});
    });
}

void HttpClient::Pool::sendNext()
{
    if (m_waiting.empty())
        return;
    const std::shared_ptr<Call> call = std::move(m_waiting.front());
    m_waiting.pop_front();
    call->timer.cancel();
    submit(call);
}

void HttpClient::Pool::release(const std::shared_ptr<Connection> &connection, bool isUsable)
{
    if (isUsable && m_idle.size() < m_limits.idle + m_waiting.size()) {
        m_idle.push_back(connection);
    } else {
        connection->close();
        m_open.erase(connection);
    }
    sendNext();
}

void HttpClient::Pool::dropIdle()
{
    for (const auto &connection : m_idle) {
        connection->close();
        m_open.erase(connection);
    }
    m_idle.clear();
}

void HttpClient::Pool::close()
{
    for (const auto &connection : m_open)
        connection->close();
    m_open.clear();
    m_idle.clear();
    for (const auto &call : m_waiting)
        call->timer.cancel();
    m_waiting.clear();
}

HttpClient::HttpClient(asio::io_context &context, Tcp::endpoint server, HttpClientLimits limits)
    : m_pool(std::make_shared<Pool>(context, std::move(server), limits))
{
}

HttpClient::~HttpClient()
{
    m_pool->close();
}

void HttpClient::send(HttpRequest request, Duration limit, Callback callback)
{
    std::ostringstream host;
    host << m_pool->server();
    request.set(http::field::host, host.str());
    request.prepare_payload();
    m_pool->submit(std::make_shared<Call>(
            Call{std::move(request), std::chrono::steady_clock::now() + limit, std::move(callback),
                 asio::steady_timer(m_pool->context())}));
}

} // namespace geraniumcart
