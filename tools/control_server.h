#pragma once

#include "http_call.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace geraniumcart::tools {

/// Small HTTP server on a thread of its own, for example for the control port of the fake
/// searchers. The handler runs on that thread and may block.
class ControlServer
{
public:
    using Handler = std::function<HttpResponse(const HttpRequest &)>;

    explicit ControlServer(Handler handler);
    ~ControlServer();
    ControlServer(const ControlServer &) = delete;
    ControlServer &operator=(const ControlServer &) = delete;

    /// Starts the thread and listens.
    /// @param address IP:PORT; port 0 lets the kernel pick
    /// @return false with @p reason on failure
    bool start(const std::string &address, std::string &reason);
    /// Ends the thread. Blocks until the handler call in progress has returned; further requests
    /// get no answer. Must not be called from the handler.
    void stop();
    /// Must be called only after a successful start(). @return IP:PORT of the listener
    std::string address() const;

private:
    class Session;
    void accept();

    Handler m_handler;
    boost::asio::io_context m_context{1};
    boost::asio::ip::tcp::acceptor m_acceptor{m_context};
    std::thread m_thread;
};

/// @return a complete response with a JSON body
HttpResponse makeJsonResponse(boost::beast::http::status status, std::string body);

} // namespace geraniumcart::tools
