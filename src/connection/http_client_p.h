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

/// Whether a request that brought no response can have been acted upon.
enum class HttpFailure : std::uint8_t {
    None,
    /// No byte of it was written.
    NotSent,
    /// At least one byte of it was written.
    ResponseLost,
};

struct HttpClientLimits
{
    /// Connections open at once; further requests wait for one.
    std::size_t connections = 32;
    /// Connections kept open between requests.
    std::size_t idle = 8;
    std::size_t responseBytes = MaxAnswerBytes;
};

/// HTTP/1.1 client of one server. Keeps connections open and sends one request at a time on each.
/// Belongs to the thread of its io_context.
class HttpClient
{
public:
    using Callback = std::function<void(HttpFailure, HttpResponse)>;

    HttpClient(boost::asio::io_context &context, boost::asio::ip::tcp::endpoint server,
               HttpClientLimits limits = {});
    /// Closes all connections and drops pending callbacks.
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Sends @p request, whose Host field is filled in. Calls @p callback once, never before this
    /// returns and at the latest after @p limit, which covers connecting and waiting for a
    /// connection.
    void send(HttpRequest request, Duration limit, Callback callback);

private:
    struct Call;
    class Connection;
    class Pool;

    std::shared_ptr<Pool> m_pool;
};

} // namespace geraniumcart
