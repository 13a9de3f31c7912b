#include "connection/caller_codec_p.h"

#include <boost/beast/http/status.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>

namespace geraniumcart {

namespace http = boost::beast::http;

namespace {

bool isAscii(char letter)
{
    return (letter & 0x80) == 0;
}

/// Appends a JSON string.
void appendString(std::string &out, std::string_view text)
{
    std::string json = boost::json::serialize(boost::json::string_view(text.data(), text.size()));
    if (!std::ranges::all_of(text, isAscii)) {
        boost::system::error_code error;
        boost::json::parse(json, error);
        // Invalid UTF-8 would make the complete response invalid JSON.
        if (error)
            std::ranges::replace_if(
                    json, [](char letter) { return !isAscii(letter); }, '?');
    }
    out += json;
}

template <class Number>
void appendNumber(std::string &out, Number value)
{
    std::array<char, 32> digits;
    const auto result = std::to_chars(digits.data(), digits.data() + digits.size(), value);
    out.append(digits.data(), result.ptr);
}

void appendBool(std::string &out, bool value)
{
    out += value ? "true" : "false";
}

/// Appends the elements of a list with commas between them.
template <class List, class Append>
void appendList(std::string &out, const List &list, Append appendElement)
{
    bool isFirst = true;
    out += '[';
    for (const auto &element : list) {
        if (!std::exchange(isFirst, false))
            out += ',';
        appendElement(element);
    }
    out += ']';
}

void appendCoverage(std::string &out, const Coverage &coverage)
{
    out += "{\"shardsAnswered\":";
    appendNumber(out, coverage.shardsAnswered);
    out += ",\"shardsTotal\":";
    appendNumber(out, coverage.shardsTotal);
    out += ",\"documentsSearched\":";
    appendNumber(out, coverage.documentsSearched);
    out += ",\"documentsTotal\":";
    appendNumber(out, coverage.documentsTotal);
    out += ",\"complete\":";
    appendBool(out, coverage.isComplete());
    out += '}';
}

/// Appends the result of a booking as the searcher sent it. A result that is not JSON is appended
/// as a string: the booking has run, so the caller must still get a valid response.
void appendResult(std::string &out, std::string_view value)
{
    boost::system::error_code error;
    boost::json::parse(value, error);
    if (value.empty())
        out += "null";
    else if (error)
        appendString(out, value);
    else
        out += value;
}

/// @return @p json without leading and trailing white space
std::string_view trimmed(std::string_view json)
{
    constexpr std::string_view Blank = " \t\r\n";
    const std::size_t first = json.find_first_not_of(Blank);
    if (first == std::string_view::npos)
        return {};
    return json.substr(first, json.find_last_not_of(Blank) - first + 1);
}

/// @return the elements of a JSON array without its brackets; any other value is returned
/// unchanged, as a single element
std::string_view elementsOf(std::string_view json)
{
    const std::string_view value = trimmed(json);
    if (value.size() < 2 || value.front() != '[')
        return value;
    return trimmed(value.substr(1, value.size() - 2));
}

/// Appends the elements of the searchers' JSON arrays as one array.
void appendResults(std::string &out, const std::vector<std::string> &results)
{
    bool isFirst = true;
    out += '[';
    for (const std::string &result : results) {
        const std::string_view elements = elementsOf(result);
        if (elements.empty())
            continue;
        if (!std::exchange(isFirst, false))
            out += ',';
        out += elements;
    }
    out += ']';
}

void appendServiceLimits(std::string &out, const ServiceLimits &service)
{
    out += "{\"service\":";
    appendString(out, service.service);
    out += ",\"concurrency\":";
    appendNumber(out, service.limits.concurrency);
    out += ",\"running\":";
    appendNumber(out, service.limits.running);
    out += ",\"tenants\":";
    appendList(out, service.limits.tenants, [&](const TenantLimit &tenant) {
        out += "{\"tenant\":";
        appendString(out, tenant.tenant);
        out += ",\"ratePerSecond\":";
        appendNumber(out, tenant.ratePerSecond);
        out += ",\"burst\":";
        appendNumber(out, tenant.burst);
        out += ",\"localRatePerSecond\":";
        appendNumber(out, tenant.localRatePerSecond);
        out += ",\"localBurst\":";
        appendNumber(out, tenant.localBurst);
        out += '}';
    });
    out += ",\"classes\":";
    appendList(out, service.limits.classes, [&](const ClassLimit &limit) {
        out += "{\"class\":";
        appendString(out, limit.className);
        out += ",\"weight\":";
        appendNumber(out, limit.weight);
        out += ",\"queued\":";
        appendNumber(out, limit.queued);
        out += '}';
    });
    out += '}';
}

void appendRule(std::string &out, const RuleStatus &rule)
{
    const auto since = std::chrono::floor<std::chrono::milliseconds>(rule.since.time_since_epoch());
    out += "{\"rule\":";
    appendString(out, rule.rule);
    out += ",\"line\":";
    appendNumber(out, rule.line);
    out += ",\"state\":";
    appendString(out, toString(rule.state));
    out += ",\"reason\":";
    appendString(out, rule.reason);
    out += ",\"sinceMs\":";
    appendNumber(out, since.count());
    out += '}';
}

/// Appends the body of one response.
struct BodyEncoder
{
    std::string &out;

    void operator()(const SearchOutcome &outcome) const
    {
        std::size_t size = 256 + 48 * outcome.missing.size();
        for (const std::string &result : outcome.results)
            size += result.size() + 1;
        out.reserve(size);

        out += "{\"indexVersion\":";
        appendNumber(out, outcome.indexVersion);
        out += ",\"coverage\":";
        appendCoverage(out, outcome.coverage);
        out += ",\"results\":";
        appendResults(out, outcome.results);
        out += ",\"missing\":";
        appendList(out, outcome.missing, [&](const MissingShard &missing) {
            out += "{\"shard\":";
            appendNumber(out, missing.shard);
            out += ",\"reason\":";
            appendString(out, toString(missing.reason));
            out += '}';
        });
        out += '}';
    }

    void operator()(const BookingResult &result) const
    {
        out += "{\"outcome\":";
        appendString(out, toString(result.outcome));
        out += ",\"repeat\":";
        appendBool(out, result.isRepeat);
        if (result.outcome == BookingOutcome::Done) {
            const std::string_view value = trimmed(result.body);
            out += ",\"result\":";
            appendResult(out, value);
        } else {
            out += ",\"reason\":";
            appendString(out, result.reason);
        }
        out += '}';
    }

    void operator()(const Refusal &refusal) const
    {
        out += "{\"error\":";
        appendString(out, toString(refusal.kind));
        out += ",\"reason\":";
        appendString(out, refusal.reason);
        if (refusal.isNotRun)
            out += ",\"outcome\":\"notRun\"";
        if (refusal.coverage) {
            out += ",\"coverage\":";
            appendCoverage(out, *refusal.coverage);
        }
        out += '}';
    }

    void operator()(const EntriesAnswer &answer) const
    {
        out += "{\"entries\":";
        appendList(out, answer.entries, [&](const EntryAddress &entry) {
            out += "{\"address\":";
            appendString(out, entry.address);
            out += ",\"zone\":";
            appendString(out, entry.zone);
            out += ",\"weight\":";
            appendNumber(out, entry.weight);
            out += '}';
        });
        out += ",\"validForMs\":";
        appendNumber(out, std::chrono::floor<std::chrono::milliseconds>(answer.validFor).count());
        out += '}';
    }

    void operator()(const StatusAnswer &answer) const
    {
        out += "{\"rulesVersion\":";
        appendNumber(out, answer.rulesVersion);
        out += ",\"ready\":";
        appendBool(out, answer.isReady);
        out += ",\"rules\":";
        appendList(out, answer.control.rules,
                   [&](const RuleStatus &rule) { appendRule(out, rule); });
        out += ",\"warnings\":";
        appendList(out, answer.control.warnings,
                   [&](const std::string &warning) { appendString(out, warning); });
        out += ",\"members\":";
        appendList(out, answer.control.members, [&](const MemberStatus &member) {
            out += "{\"name\":";
            appendString(out, member.name);
            out += ",\"zone\":";
            appendString(out, member.zone);
            out += ",\"state\":";
            appendString(out, toString(member.state));
            out += '}';
        });
        out += '}';
    }

    void operator()(const LimitsAnswer &answer) const
    {
        out += "{\"services\":";
        appendList(out, answer.services,
                   [&](const ServiceLimits &service) { appendServiceLimits(out, service); });
        out += '}';
    }

    void operator()(const TextAnswer &answer) const { out = answer.text; }
};

http::status statusOf(RefusalKind kind)
{
    switch (kind) {
    case RefusalKind::BadRequest:
        return http::status::bad_request;
    case RefusalKind::UnknownPath:
    case RefusalKind::UnknownService:
        return http::status::not_found;
    case RefusalKind::MethodNotAllowed:
        return http::status::method_not_allowed;
    case RefusalKind::RequestTimeout:
        return http::status::request_timeout;
    case RefusalKind::BodyTooLarge:
        return http::status::payload_too_large;
    case RefusalKind::HeaderTooLarge:
        return http::status::request_header_fields_too_large;
    case RefusalKind::RateLimited:
        return http::status::too_many_requests;
    case RefusalKind::Overloaded:
    case RefusalKind::NotAccepting:
    case RefusalKind::NotReady:
    case RefusalKind::BelowMinCoverage:
        return http::status::service_unavailable;
    case RefusalKind::DeadlinePassed:
        return http::status::gateway_timeout;
    }
    return http::status::internal_server_error;
}

http::status statusOf(BookingOutcome outcome)
{
    switch (outcome) {
    case BookingOutcome::Done:
        return http::status::ok;
    case BookingOutcome::NotRun:
        return http::status::service_unavailable;
    case BookingOutcome::Unknown:
        return http::status::bad_gateway;
    }
    return http::status::internal_server_error;
}

http::status statusOf(const CallerAnswer &answer)
{
    if (const auto *refusal = std::get_if<Refusal>(&answer))
        return statusOf(refusal->kind);
    if (const auto *booking = std::get_if<BookingResult>(&answer))
        return statusOf(booking->outcome);
    if (const auto *text = std::get_if<TextAnswer>(&answer))
        return text->isOk ? http::status::ok : http::status::service_unavailable;
    return http::status::ok;
}

const char *contentTypeOf(const CallerAnswer &answer)
{
    const auto *text = std::get_if<TextAnswer>(&answer);
    if (!text)
        return "application/json";
    return text->kind == TextKind::Prometheus ? "text/plain; version=0.0.4" : "text/plain";
}

} // namespace

HttpResponse encodeCallerResponse(const CallerResponse &response, const ResponseFraming &framing)
{
    HttpResponse message(statusOf(response.answer), framing.version);
    message.set(http::field::content_type, contentTypeOf(response.answer));
    if (message.result() == http::status::method_not_allowed)
        message.set(http::field::allow, framing.allowedMethod);
    message.keep_alive(framing.keepAlive);
    std::visit(BodyEncoder{message.body()}, response.answer);
    message.content_length(message.body().size());
    return message;
}

} // namespace geraniumcart
