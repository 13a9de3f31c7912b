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
/// Tenant of a request that names none.
constexpr std::string_view DefaultTenant = "default";
/// Longest part of a bad value that an error message repeats, in bytes.
constexpr std::size_t MaxQuotedBytes = 64;

std::string_view view(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

/// A value from the caller, made safe for an error message.
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

/// Reads the request headers of searches and bookings. The first fault is kept.
class HeaderReader
{
public:
    explicit HeaderReader(const HttpRequest &request)
        : m_request(request)
    {
    }

    std::string text(const char *name, std::string_view fallback,
                     bool (*isAccepted)(std::string_view), const std::string &accepted)
    {
        const std::optional<std::string_view> given = value(name);
        if (!given)
            return std::string(fallback);
        if (!isAccepted(*given))
            faultValue(name, *given, accepted);
        return std::string(*given);
    }

    template <class Number>
    Number number(const char *name, Number fallback, Number low, Number high,
                  const std::string &accepted)
    {
        const std::optional<std::string_view> given = value(name);
        if (!given)
            return fallback;
        Number result{};
        const char *end = given->data() + given->size();
        const auto [stop, error] = std::from_chars(given->data(), end, result);
        // Written so that a NaN is refused.
        if (error != std::errc() || stop != end || !(result >= low && result <= high)) {
            faultValue(name, *given, accepted);
            return fallback;
        }
        return result;
    }

    const std::optional<std::string> &reason() const { return m_reason; }

private:
    /// The value of a header that may occur once.
    std::optional<std::string_view> value(const char *name)
    {
        const auto [first, last] = m_request.equal_range(name);
        if (first == last)
            return std::nullopt;
        if (std::next(first) != last)
            fault(std::string(name) + " is given more than once");
        return view(first->value());
    }
    void fault(std::string reason)
    {
        if (!m_reason)
            m_reason = std::move(reason);
    }
    void faultValue(const char *name, std::string_view given, const std::string &accepted)
    {
        fault(std::string(name) + ": " + quoted(given) + " is not accepted; accepted: " + accepted);
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

/// Finds the call that a path names. @return false where there is none.
bool findRoute(std::string_view path, CallerRequest &result)
{
    const auto takeService = [&](std::string_view prefix, CallKind call) {
        result.call = call;
        result.service = path.substr(prefix.size());
        return isName(result.service);
    };
    if (path.starts_with(SearchPrefix))
        return takeService(SearchPrefix, CallKind::Search);
    if (path.starts_with(BookPrefix))
        return takeService(BookPrefix, CallKind::Book);
    const auto found = std::ranges::find(Routes, path, &Route::path);
    if (found == Routes.end())
        return false;
    result.call = found->call;
    return true;
}

/// Fills in what the headers say. @return what is wrong with them, if anything.
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
    framing.isHead = request.method() == http::verb::head;

    const std::string_view target = view(request.target());
    const std::string_view path = target.substr(0, target.find('?'));
    CallerRequest result;
    if (!findRoute(path, result))
        return makeRefusal(RefusalKind::UnknownPath, "no call has the path " + quoted(path));
    const bool isRun = result.call == CallKind::Search || result.call == CallKind::Book;
    framing.allowedMethod = isRun ? "POST" : "GET";
    if (request.method() != (isRun ? http::verb::post : http::verb::get))
        return makeRefusal(RefusalKind::MethodNotAllowed,
                           std::string("the path accepts ") + framing.allowedMethod);
    result.arrival = arrival;
    if (isRun) {
        if (std::optional<std::string> reason = readHeaders(request, result))
            return makeRefusal(RefusalKind::BadRequest, std::move(*reason));
        result.body = std::make_shared<const std::string>(std::move(request.body()));
    }
    return result;
}

} // namespace geraniumcart
