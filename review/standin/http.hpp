#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <functional>
#include <istream>
#include <memory>
#include <string>
#include <utility>
#include <vector>

/// Minimal HTTP/1.1 server and client for the stand-ins. Everything runs on one io_context.
namespace review {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using Error = boost::system::error_code;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// @return the value of a header field in @p head; empty if it is absent
inline std::string headerValue(const std::string &head, const std::string &name)
{
    const std::size_t at = head.find("\r\n" + name + ": ");
    if (at == std::string::npos)
        return {};
    const std::size_t start = at + name.size() + 4;
    return head.substr(start, head.find("\r\n", start) - start);
}

inline std::string httpText(int status, const std::string &fields, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// One accepted connection. It serves one request at a time.
class Session : public std::enable_shared_from_this<Session>
{
public:
    using Handler = std::function<void(const std::shared_ptr<Session> &)>;

    Session(Tcp::socket accepted, Handler onRequest)
        : socket(std::move(accepted))
        , m_onRequest(std::move(onRequest))
    {
    }

    void read()
    {
        asio::async_read_until(
                socket, m_buffer, "\r\n\r\n",
                [self = shared_from_this()](Error error, std::size_t size) {
                    if (error) {
                        self->onEnd();
                        return;
                    }
                    self->head.assign(size, '\0');
                    std::istream(&self->m_buffer).read(self->head.data(), static_cast<long>(size));
                    self->readBody();
                });
    }
    /// Writes an answer and reads the next request.
    void answer(std::string text)
    {
        auto bytes = std::make_shared<std::string>(std::move(text));
        asio::async_write(socket, asio::buffer(*bytes),
                          [self = shared_from_this(), bytes](Error error, std::size_t) {
                              if (error)
                                  self->onEnd();
                              else
                                  self->read();
                          });
    }
    void reset()
    {
        Error ignored;
        socket.set_option(Tcp::socket::linger(true, 0), ignored);
        socket.close(ignored);
    }

    Tcp::socket socket;
    std::string head;
    std::string body;
    bool isClosed = false;

private:
    void readBody()
    {
        const std::size_t size =
                std::strtoul(headerValue(head, "Content-Length").c_str(), nullptr, 10);
        const std::size_t missing = size - std::min(size, m_buffer.size());
        asio::async_read(
                socket, m_buffer, asio::transfer_exactly(missing),
                [self = shared_from_this(), size](Error error, std::size_t) {
                    if (error) {
                        self->onEnd();
                        return;
                    }
                    self->body.assign(size, '\0');
                    std::istream(&self->m_buffer).read(self->body.data(), static_cast<long>(size));
                    self->m_onRequest(self);
                });
    }
    void onEnd()
    {
        isClosed = true;
        Error ignored;
        socket.close(ignored);
    }

    asio::streambuf m_buffer;
    Handler m_onRequest;
};

/// Listens on a free port of a loopback address.
class Server
{
public:
    Server(asio::io_context &context, const std::string &host, Session::Handler onRequest)
        : m_acceptor(context, Tcp::endpoint(asio::ip::make_address(host), 0))
        , m_onRequest(std::move(onRequest))
    {
        address = host + ":" + std::to_string(m_acceptor.local_endpoint().port());
        accept();
    }
    /// Stops listening and resets all connections, as the end of a process does.
    void stop()
    {
        Error ignored;
        m_acceptor.close(ignored);
        for (const auto &weak : m_sessions)
            if (const auto session = weak.lock())
                session->reset();
    }

    std::string address;

private:
    void accept()
    {
        m_acceptor.async_accept([this](Error error, Tcp::socket socket) {
            if (error)
                return;
            auto session = std::make_shared<Session>(std::move(socket), m_onRequest);
            m_sessions.push_back(session);
            session->read();
            accept();
        });
    }

    Tcp::acceptor m_acceptor;
    Session::Handler m_onRequest;
    std::vector<std::weak_ptr<Session>> m_sessions;
};

/// Answer to a client's request.
struct Answer
{
    /// 0 if the connection ended without a complete answer, or could not be opened.
    int status = 0;
    std::string head;
    std::string body;
    /// Why there is no answer.
    std::string error;
};

/// Sends one request on a connection of its own.
class ClientCall : public std::enable_shared_from_this<ClientCall>
{
public:
    using Callback = std::function<void(const Answer &)>;

    ClientCall(asio::io_context &context, std::string request, Callback done)
        : m_socket(context)
        , m_timer(context)
        , m_request(std::move(request))
        , m_done(std::move(done))
    {
    }
    void start(const std::string &address, milliseconds timeout)
    {
        const std::size_t colon = address.find(':');
        const Tcp::endpoint endpoint(
                asio::ip::make_address(address.substr(0, colon)),
                static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
        m_timer.expires_after(timeout);
        m_timer.async_wait([self = shared_from_this()](Error error) {
            if (!error)
                self->finish("no answer in time");
        });
        m_socket.async_connect(endpoint, [self = shared_from_this()](Error error) {
            if (error)
                self->finish("connect: " + error.message());
            else
                self->write();
        });
    }

private:
    void write()
    {
        asio::async_write(m_socket, asio::buffer(m_request),
                          [self = shared_from_this()](Error error, std::size_t) {
                              if (error)
                                  self->finish("write: " + error.message());
                              else
                                  self->read();
                          });
    }
    void read()
    {
        asio::async_read_until(m_socket, m_buffer, "\r\n\r\n",
                               [self = shared_from_this()](Error error, std::size_t size) {
                                   if (error) {
                                       self->finish("read: " + error.message());
                                       return;
                                   }
                                   self->m_answer.head.assign(size, '\0');
                                   std::istream(&self->m_buffer)
                                           .read(self->m_answer.head.data(),
                                                 static_cast<long>(size));
                                   self->readBody();
                               });
    }
    void readBody()
    {
        const std::size_t size =
                std::strtoul(headerValue(m_answer.head, "Content-Length").c_str(), nullptr, 10);
        const std::size_t missing = size - std::min(size, m_buffer.size());
        asio::async_read(m_socket, m_buffer, asio::transfer_exactly(missing),
                         [self = shared_from_this(), size](Error error, std::size_t) {
                             if (error) {
                                 self->finish("read: " + error.message());
                                 return;
                             }
                             self->m_answer.body.assign(size, '\0');
                             std::istream(&self->m_buffer)
                                     .read(self->m_answer.body.data(), static_cast<long>(size));
                             self->m_answer.status = std::atoi(self->m_answer.head.c_str() + 9);
                             self->finish({});
                         });
    }
    void finish(std::string error)
    {
        if (!m_done)
            return;
        m_answer.error = std::move(error);
        m_timer.cancel();
        Error ignored;
        m_socket.close(ignored);
        std::exchange(m_done, nullptr)(m_answer);
    }

    Tcp::socket m_socket;
    asio::steady_timer m_timer;
    asio::streambuf m_buffer;
    std::string m_request;
    Answer m_answer;
    Callback m_done;
};

} // namespace review
