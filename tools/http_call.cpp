#include "http_call.h"

#include "connection/endpoint_p.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace geraniumcart::tools {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

/// Maximum body size of an answer; a call with a larger answer fails.
constexpr std::uint64_t MaxAnswerBody = 64 * 1024 * 1024;

} // namespace

HttpRequest makeRequest(http::verb method, const std::string &target, std::string body)
{
    HttpRequest request(method, target, 11);
    request.set(http::field::host, "geraniumcart");
    if (!body.empty())
        request.set(http::field::content_type, "application/json");
    request.body() = std::move(body);
    request.prepare_payload();
    return request;
}

std::optional<HttpResponse> httpCall(const std::string &address, HttpRequest request,
                                     Duration timeout, std::string &reason)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint) {
        reason = "not an IP:PORT address: " + address;
        return std::nullopt;
    }
    asio::io_context context(1);
    beast::tcp_stream stream(context);
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(MaxAnswerBody);
    boost::system::error_code failure = asio::error::operation_aborted;
    stream.expires_after(timeout);
    stream.async_connect(*endpoint, [&](const boost::system::error_code &connectError) {
        failure = connectError;
        if (connectError)
            return;
        http::async_write(stream, request, [&](boost::system::error_code writeError, std::size_t) {
            failure = writeError;
            if (writeError)
                return;
            http::async_read(
                    stream, buffer, parser,
                    [&](boost::system::error_code error, std::size_t) { failure = error; });
        });
    });
    context.run();
    if (failure) {
        reason = address + ": " + failure.message();
        return std::nullopt;
    }
    return parser.release();
}

} // namespace geraniumcart::tools
