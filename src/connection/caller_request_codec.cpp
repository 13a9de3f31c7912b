#include "connection/caller_codec_p.h"

#include <geraniumcart/config.h>

#include <boost/beast/http/verb.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>

namespace geraniumcart {

namespace http = boost::beast::http;

namespace {

constexpr std::string_view SearchPrefix = "/v1/search/";
constexpr std::string_view BookPrefix = "/v1/book/";
/// Tenant of a request without a Geraniumcart-Tenant header.
constexpr std::string_view DefaultTenant = "default";
/// Maximum length of an invalid value in an error message, in bytes; the remainder is cut.
constexpr std::size_t MaxQuotedBytes = 64;

std::string_view view(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

/// Quotes a value from the caller for an error message: cuts long values and replaces each byte
/// that is not printable ASCII by '?'.
std::string quoted(std::string_view text)
{
    std::string result(text.substr(0, MaxQuotedBytes));
    for (char &letter : result)
        if (letter < 0x20 || letter > 0x7e)
            letter = '?';
    return "'" + result + (text.size() > MaxQuotedBytes ? "...'" : "'");
}

bool isName(std::string_view text)
{
    const auto isAllowed = [](char letter) {
        return (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z') ||
               (letter >= '0' && letter <= '9') || letter == '-' || letter == '_' || letter == '.';
    };
    return !text.empty() && text.size() <= MaxNameBytes && std::ranges::all_of(text, isAllowed);
}

bool isKey(std::string_view text)
{
    const auto isAllowed = [](char letter) { return letter > 0x20 && letter < 0x7f; };
    return !text.empty() && text.size() <= MaxKeyBytes && std::ranges::all_of(text, isAllowed);
}

/// Reads the request headers of searches and bookings. Reading continues after an invalid header;
/// reason() describes the first one.
class HeaderReader
{
public:
    explicit HeaderReader(const HttpRequest &request)
        : m_request(request)
    {
    }

    /// @return the value of the header, or @p fallback if it is missing
    /// @param accepted describes the accepted values in the reason
    std::string text(const char *name, std::string_view fallback,
                     bool (*isAccepted)(std::string_view), const std::string &accepted)
    {
        const std::optional<std::string_view> given = value(name);
        if (!given)
            return std::string(fallback);
        if (!isAccepted(*given))
            rejectValue(name, *given, accepted);
        return std::string(*given);
    }

    /// @return the value of the header, or @p fallback if it is missing, not a number or out of
    /// range
    /// @param accepted describes the accepted values in the reason
    template <class Number>
    Number number(const char *name, Number fallback, Number low, Number high,
                  const std::string &accepted)
    {
        const std::optional<std::string_view> given = value(name);
        if (!given)
            return fallback;
        Number result{};
        const char *end = given->data() + given->size();
        const auto [parsed, error] = std::from_chars(given->data(), end, result);
        // The range is tested by a negated condition, because every comparison with a NaN is false.
        if (error != std::errc() || parsed != end || !(result >= low && result <= high)) {
            rejectValue(name, *given, accepted);
            return fallback;
        }
        return result;
    }

    /// @return what is wrong with the first invalid header, or std::nullopt if all are valid
    const std::optional<std::string> &reason() const { return m_reason; }

private:
    /// @return the value of a header that may occur at most once
    std::optional<std::string_view> value(const char *name)
    {
        const auto [first, last] = m_request.equal_range(name);
        if (first == last)
            return std::nullopt;
        if (std::next(first) != last)
            reject(std::string(name) + " is given more than once");
        return view(first->value());
    }
    /// Sets the reason, unless an earlier header was invalid.
    void reject(std::string reason)
    {
        if (!m_reason)
            m_reason = std::move(reason);
    }
    void rejectValue(const char *name, std::string_view given, const std::string &accepted)
    {
        reject(std::string(name) + ": " + quoted(given) +
               " is not accepted; accepted: " + accepted);
    }

    const HttpRequest &m_request;
    std::optional<std::string> m_reason;
};

struct Route
{
    std::string_view path;
    CallKind call;
};

constexpr std::array Routes{
        Route{"/v1/entries", CallKind::Entries}, Route{"/v1/status", CallKind::Status},
        Route{"/v1/limits", CallKind::Limits},   Route{"/healthz", CallKind::Health},
        Route{"/readyz", CallKind::Ready},       Route{"/metrics", CallKind::Metrics},
};

/// Sets the call and service that a path selects. @return false if the path is unknown.
bool findRoute(std::string_view path, CallerRequest &result)
{
    const auto parseService = [&](std::string_view prefix, CallKind call) {
        result.call = call;
        result.service = path.substr(prefix.size());
        return isName(result.service);
    };
    if (path.starts_with(SearchPrefix))
        return parseService(SearchPrefix, CallKind::Search);
    if (path.starts_with(BookPrefix))
        return parseService(BookPrefix, CallKind::Book);
    const auto found = std::ranges::find(Routes, path, &Route::path);
    if (found == Routes.end())
        return false;
    result.call = found->call;
    return true;
}

/// Decodes the headers into @p result.
/// @return what is wrong with the first invalid header, or std::nullopt if all are valid
std::optional<std::string> readHeaders(const HttpRequest &request, CallerRequest &result)
{
    const std::string acceptedName =
            "1 to " + std::to_string(MaxNameBytes) + " of A-Z a-z 0-9 . _ -";
    const std::string acceptedKey =
            "1 to " + std::to_string(MaxKeyBytes) + " printable ASCII characters without spaces";
    HeaderReader headers(request);
    result.tenant = headers.text("Geraniumcart-Tenant", DefaultTenant, isName, acceptedName);
    result.className = headers.text("Geraniumcart-Class", DefaultClassName, isName, acceptedName);
    result.idempotencyKey = headers.text("Idempotency-Key", "", isKey, acceptedKey);
    result.routeKey = headers.text("Geraniumcart-Route-Key", "", isKey, acceptedKey);
    result.minCoverage =
            headers.number<double>("Geraniumcart-Min-Coverage", 0, 0, 1, "a number from 0 to 1");
    result.deadline =
            result.arrival +
            std::chrono::milliseconds(headers.number<std::int64_t>(
                    "Geraniumcart-Deadline-Ms", DefaultDeadline.count(), 1, MaxDeadline.count(),
                    "an integer from 1 to " + std::to_string(MaxDeadline.count())));
    return headers.reason();
}

Refusal makeRefusal(RefusalKind kind, std::string reason)
{
    return {kind, std::move(reason), true, std::nullopt};
}

} // namespace

std::variant<CallerRequest, Refusal> decodeCallerRequest(HttpRequest request, TimePoint arrival,
                                                         ResponseFraming &framing)
{
    framing.version = request.version();
    framing.keepAlive = request.keep_alive();

    const std::string_view target = view(request.target());
    const std::string_view path = target.substr(0, target.find('?'));
    CallerRequest result;
    if (!findRoute(path, result))
        return makeRefusal(RefusalKind::UnknownPath, "unknown path " + quoted(path));
    const bool isSearchOrBooking = result.call == CallKind::Search || result.call == CallKind::Book;
    framing.allowedMethod = isSearchOrBooking ? "POST" : "GET";
    if (request.method() != (isSearchOrBooking ? http::verb::post : http::verb::get))
        return makeRefusal(RefusalKind::MethodNotAllowed,
                           std::string("the path accepts ") + framing.allowedMethod);
    result.arrival = arrival;
    if (isSearchOrBooking) {
        if (std::optional<std::string> reason = readHeaders(request, result))
            return makeRefusal(RefusalKind::BadRequest, std::move(*reason));
        result.body = std::make_shared<const std::string>(std::move(request.body()));
    }
    return result;
}

} // namespace geraniumcart
