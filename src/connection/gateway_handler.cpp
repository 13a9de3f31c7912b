#include "connection/gateway_handler_p.h"

#include "connection/forwarded_headers_p.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <utility>

namespace geraniumcart {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr unsigned HttpVersion = 11;
/// Longest field of signatures, in bytes. Beast refuses a field of more than 64 KB with an
/// exception, and many HTTP implementations accept no more than 8 KB.
constexpr std::size_t MaxSignaturesFieldBytes = 8 * 1024;

std::string_view view(beast::string_view text)
{
    return {text.data(), text.size()};
}

/// @return the duration, at most MaxDeadline, or std::nullopt if @p text is not a non-negative
/// integer
std::optional<Duration> parseMilliseconds(std::string_view text)
{
    std::int64_t count = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), count);
    if (error != std::errc() || end != text.data() + text.size() || count < 0)
        return std::nullopt;
    return std::min<Duration>(std::chrono::milliseconds(count), MaxDeadline);
}

/// @return the host of a Host header field in lower case, without the port
std::string hostOf(std::string_view field)
{
    std::string host(field.substr(0, field.find(':')));
    std::transform(host.begin(), host.end(), host.begin(),
                   [](unsigned char letter) { return std::tolower(letter); });
    return host;
}

/// @return the seconds with three decimals, as in "0.250"
std::string secondsText(Duration duration)
{
    std::array<char, 32> text;
    const double seconds = std::chrono::duration<double>(duration).count();
    const int size = std::snprintf(text.data(), text.size(), "%.3f", seconds);
    return {text.data(), static_cast<std::size_t>(size)};
}

HttpResponse textResponse(http::status status, std::string_view text)
{
    HttpResponse response(status, HttpVersion);
    response.set(http::field::content_type, "text/plain");
    response.body() = text;
    response.prepare_payload();
    return response;
}

/// Adds a comma-separated list, as several fields if one would be too long.
void addList(HttpResponse &response, const std::string &name,
             const std::vector<std::string> &elements)
{
    constexpr std::string_view Separator = ", ";
    std::string list;
    for (const std::string &element : elements) {
        if (!list.empty() &&
            list.size() + Separator.size() + element.size() > MaxSignaturesFieldBytes)
            response.insert(name, std::exchange(list, {}));
        list.append(list.empty() ? "" : Separator).append(element);
    }
    response.insert(name, list);
}

http::status statusOf(RefusalKind kind)
{
    switch (kind) {
    case RefusalKind::HeaderTooLarge:
        return http::status::request_header_fields_too_large;
    case RefusalKind::BodyTooLarge:
        return http::status::payload_too_large;
    case RefusalKind::RequestTimeout:
        return http::status::request_timeout;
    default:
        return http::status::bad_request;
    }
}

} // namespace

std::optional<CallerLimits> GatewayHandler::limits() const
{
    const ServingViewPin view = m_gateway.view();
    if (!view->routes)
        return std::nullopt;
    const CallerBounds &bounds = view->routes->callers;
    CallerLimits limits;
    limits.headerBytes = bounds.headerBytes;
    limits.bodyBytes = bounds.bodyBytes;
    limits.readTimeout = bounds.headerTimeout;
    limits.idleTimeout = bounds.idleTimeout;
    return limits;
}

std::optional<RoutedRequest> GatewayHandler::decode(HttpRequest &request,
                                                    const RequestArrival &arrival,
                                                    std::string &reason) const
{
    auto forward = std::make_shared<ForwardRequest>();
    RoutedRequest routed;
    routed.arrival = arrival.time;
    routed.isFirstOnConnection = arrival.isFirstOnConnection;
    routed.host = hostOf(view(request[http::field::host]));
    forward->id = view(request[m_names.requestId]);
    if (routed.host.empty() || request.count(http::field::host) != 1) {
        reason = "exactly one non-empty Host field is required";
        return std::nullopt;
    }
    if (forward->id.empty() || request.count(m_names.requestId) != 1) {
        reason = "exactly one non-empty " + m_names.requestId + " field is required";
        return std::nullopt;
    }
    if (const auto deadline = request.find(m_names.deadline); deadline != request.end()) {
        routed.callerTimeout = parseMilliseconds(view(deadline->value()));
        if (!routed.callerTimeout) {
            reason = m_names.deadline + " must be an integer of at least 0, in milliseconds";
            return std::nullopt;
        }
    }
    if (request.target().empty() || request.target().front() != '/') {
        reason = "the request target must be a path that starts with /";
        return std::nullopt;
    }
    forward->method = view(request.method_string());
    forward->target = view(request.target());
    forward->hasBody = request.find(http::field::content_length) != request.end() ||
                       request.find(http::field::transfer_encoding) != request.end();
    http::token_list connectionFields{request[http::field::connection]};
    for (const auto &field : request) {
        const beast::string_view name = field.name_string();
        if (isHopByHop(field.name(), view(name)) || connectionFields.exists(name) ||
            beast::iequals(name, m_names.deadline) ||
            beast::iequals(name, m_names.expectedInstance))
            continue;
        forward->headers.push_back({std::string(view(name)), std::string(view(field.value()))});
    }
    forward->body = std::move(request.body());
    routed.forward = std::move(forward);
    return routed;
}

CallId GatewayHandler::handle(HttpRequest request, const RequestArrival &arrival, Callback done)
{
    const bool keepsAlive = request.keep_alive();
    std::string reason;
    std::optional<RoutedRequest> routed = decode(request, arrival, reason);
    if (!routed) {
        HttpResponse response = textResponse(http::status::bad_request, reason);
        response.keep_alive(keepsAlive);
        done(std::move(response));
        return 0;
    }
    return m_gateway.handle(std::move(*routed),
                            [this, keepsAlive, done = std::move(done)](RoutedAnswer answer) {
                                const bool shouldClose = answer.shouldClose;
                                HttpResponse response = encode(std::move(answer));
                                response.keep_alive(keepsAlive && !shouldClose);
                                done(std::move(response));
                            });
}

HttpResponse GatewayHandler::refuse(const Refusal &refusal)
{
    HttpResponse response = textResponse(statusOf(refusal.kind), refusal.reason);
    response.keep_alive(false);
    return response;
}

HttpResponse GatewayHandler::encode(RoutedAnswer answer) const
{
    switch (answer.status) {
    case RoutedStatus::Reply: {
        HttpResponse response;
        response.version(HttpVersion);
        response.result(answer.reply.status);
        response.reason(answer.reply.reason);
        for (const HeaderField &field : answer.reply.headers)
            response.insert(field.name, field.value);
        response.body() = std::move(answer.reply.body);
        if (answer.reply.hasBody)
            response.prepare_payload();
        else if (answer.reply.statedLength)
            response.content_length(*answer.reply.statedLength);
        return response;
    }
    case RoutedStatus::Merged: {
        HttpResponse response(http::status::ok, HttpVersion);
        response.set(http::field::content_type, "application/octet-stream");
        addList(response, m_names.signatures, answer.signatures);
        response.set(m_names.missingShards, std::to_string(answer.missingShards));
        response.body() = std::move(answer.body);
        response.prepare_payload();
        return response;
    }
    case RoutedStatus::NoRoute:
        return textResponse(http::status::not_found, "no route");
    case RoutedStatus::Refused:
    case RoutedStatus::NotReady: {
        HttpResponse response = textResponse(http::status::service_unavailable, "not run");
        response.set(http::field::retry_after, secondsText(answer.retryAfter));
        return response;
    }
    case RoutedStatus::Failed:
        return textResponse(http::status::bad_gateway, "no complete answer was received");
    case RoutedStatus::TimedOut:
        return textResponse(http::status::gateway_timeout, "no answer in time");
    }
    return textResponse(http::status::internal_server_error, "unknown outcome");
}

} // namespace geraniumcart
