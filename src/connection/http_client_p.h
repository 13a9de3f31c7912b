#pragma once

#include <geraniumcart/config.h>
#include <geraniumcart/timer_service.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

namespace geraniumcart {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

/// Why a request got no response. Shows whether the server may have acted on it.
enum class HttpFailure : std::uint8_t {
    None,
    /// No byte of the request was written, so the server cannot have acted on it.
    NotSent,
    /// At least one byte of the request was written, so the server may have acted on it.
    ResponseLost,
};

struct HttpClientLimits
{
    /// Maximum number of open connections; further requests wait until one is free.
    std::size_t connections = 32;
    /// Maximum number of connections that stay open between requests.
    std::size_t idle = 8;
    /// Maximum size of a response body; a larger one fails as HttpFailure::ResponseLost.
    std::size_t responseBytes = MaxAnswerBytes;
};

/// Sends HTTP requests to one server.
class HttpRequestSender
{
public:
    using Callback = std::function<void(HttpFailure, HttpResponse)>;

    /// Discards pending callbacks without calling them.
    virtual ~HttpRequestSender() = default;
    /// Sends @p request. @p callback is called exactly once, after this function has returned.
    /// @param limit timeout of the call, including the time to connect and to wait for a free
    ///     connection
    virtual void send(HttpRequest request, Duration limit, Callback callback) = 0;
};

/// HTTP/1.1 client for one server. Keeps connections open and sends one request at a time on each.
/// All functions and callbacks run on the thread of its io_context.
class HttpClient final : public HttpRequestSender
{
public:
    HttpClient(boost::asio::io_context &context, boost::asio::ip::tcp::endpoint server,
               HttpClientLimits limits = {});
    /// Closes all connections.
    ~HttpClient() override;
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Sets the Host field of @p request and sends it.
    void send(HttpRequest request, Duration limit, Callback callback) override;

private:
    struct Call;
    class Connection;
    class Pool;

    std::shared_ptr<Pool> m_pool;
};

} // namespace geraniumcart
