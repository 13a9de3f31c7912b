#include "connection/answer_reader_p.h"

#include "connection/bounded_answer_parser_p.h"
#include "connection/forwarded_headers_p.h"

#include <geraniumcart/config.h>

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

namespace geraniumcart {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

/// Maximum size of an answer's header, and of a chunk's header or the trailers.
constexpr std::uint32_t MaxHeadBytes = 16 * 1024;
/// Maximum number of bytes that are read for one request. It leaves as much for the framing of
/// chunks as for the largest body.
constexpr std::size_t MaxReceivedBytes = 2 * MaxAnswerBytes;
/// Maximum number of interim answers and late answers to earlier requests before an answer. A
/// searcher sends one or two at most.
constexpr std::uint32_t MaxSkippedMessages = 8;
/// Longest signature of an answer, in bytes, about ten times that of a usual one. The signatures of
/// all shards are sent to the caller together, so that a longer one would take the room of others.
constexpr std::size_t MaxSignatureBytes = 256;
/// Longest warm-up that a searcher may state. A longer one is taken for an error.
constexpr std::chrono::milliseconds MaxWarmUp = std::chrono::hours(1);
constexpr unsigned MisdirectedRequest = 421;
constexpr unsigned ServiceUnavailable = 503;
/// Value of the field in which a searcher announces that it is about to stop.
constexpr std::string_view IsLeavingValue = "1";

std::string_view view(beast::string_view text)
{
    return {text.data(), text.size()};
}

/// @return false for a text that cannot be a signature: spoiled bytes, or a comma, which separates
/// the signatures of a merged answer
bool isSignature(std::string_view text)
{
    return text.size() <= MaxSignatureBytes && std::ranges::all_of(text, [](char letter) {
               return letter > ' ' && letter <= '~' && letter != ',';
           });
}

/// Parses `timeout=N` of a Keep-Alive field, where N is in seconds.
std::optional<Duration> parseKeepAlive(std::string_view value)
{
    constexpr std::string_view Name = "timeout=";
    const std::size_t at = value.find(Name);
    if (at == std::string_view::npos)
        return std::nullopt;
    const std::string_view digits = value.substr(at + Name.size());
    std::uint32_t count = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), count);
    if (error != std::errc())
        return std::nullopt;
    return std::chrono::seconds(count);
}

/// Parses a Retry-After field in seconds, which may have a fraction.
/// @return at most MaxPause; zero for a date, a negative number and anything else that is not a
/// duration
Duration parseRetryAfter(std::string_view value)
{
    double seconds = 0;
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), seconds);
    if (error != std::errc() || end != value.data() + value.size() || !std::isfinite(seconds) ||
        seconds <= 0)
        return Duration::zero();
    constexpr std::chrono::duration<double> Longest = MaxPause;
    return std::chrono::duration_cast<Duration>(
            std::min(std::chrono::duration<double>(seconds), Longest));
}

} // namespace

/// Parses a rate limit in requests per second, which may have a fraction.
/// @return std::nullopt for a negative number and anything else that is not a rate
std::optional<double> parseRateLimit(std::string_view value)
{
    double rate = 0;
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), rate);
    if (error != std::errc() || end != value.data() + value.size() || !std::isfinite(rate) ||
        rate < 0)
        return std::nullopt;
    return rate;
}

/// Parses a time in milliseconds, which may have a fraction.
/// @return std::nullopt for a negative number, one beyond MaxWarmUp and anything else
std::optional<Duration> parseWarmUp(std::string_view value)
{
    using Milliseconds = std::chrono::duration<double, std::milli>;
    double count = 0;
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), count);
    if (error != std::errc() || end != value.data() + value.size() || !std::isfinite(count) ||
        count < 0 || Milliseconds(count) > MaxWarmUp)
        return std::nullopt;
    return std::chrono::duration_cast<Duration>(Milliseconds(count));
}

/// Parses one answer into an UpstreamReply.
class AnswerReader::Parser final : public BoundedAnswerParser
{
public:
    Parser(const UpstreamHeaderNames &names, OpenAnswers &openAnswers)
        : BoundedAnswerParser(openAnswers, MaxHeadBytes)
        , m_names(names)
    {
    }

    UpstreamReply reply;
    std::string requestId;
    std::optional<Duration> keepAliveTime;

private:
    bool onStatus(unsigned status, beast::string_view reason) override
    {
        reply.status = status;
        reply.reason = view(reason);
        reply.isNotRun = reply.isOtherInstance = status == MisdirectedRequest;
        return true;
    }
    std::string &body() override { return reply.body; }
    void on_field_impl(http::field field, beast::string_view name, beast::string_view value,
                       error_code &error) override
    {
        if (field == http::field::keep_alive)
            keepAliveTime = parseKeepAlive(view(value));
        if (beast::iequals(name, m_names.requestId))
            requestId = view(value);
        else if (beast::iequals(name, m_names.signature))
            readSignature(view(value), error);
        else if (beast::iequals(name, m_names.notRun))
            reply.isNotRun = true;
        else if (beast::iequals(name, m_names.leaving))
            reply.isLeaving = reply.isLeaving || view(value) == IsLeavingValue;
        else if (beast::iequals(name, m_names.rateLimit))
            readRateLimit(view(value));
        else if (beast::iequals(name, m_names.instanceId))
            reply.instanceId = view(value);
        else if (beast::iequals(name, m_names.warmUp))
            readWarmUp(view(value));
        else if (field == http::field::retry_after && reply.status == ServiceUnavailable)
            // If there are several fields, the longest time keeps the wish of each.
            reply.pause = std::max(reply.pause, parseRetryAfter(view(value)));
        else if (beast::iequals(name, m_names.load))
            return;
        if (!isHopByHop(field, view(name)))
            reply.headers.push_back({std::string(view(name)), std::string(view(value))});
    }
    void readSignature(std::string_view value, error_code &error)
    {
        reply.signature = value;
        if (!isSignature(value))
            error = http::error::bad_value;
    }
    /// If there are several fields, the lowest limit counts.
    void readRateLimit(std::string_view value)
    {
        const std::optional<double> limit = parseRateLimit(value);
        if (!limit)
            reply.isRateLimitUnreadable = true;
        else
            reply.rateLimit = std::min(*limit, reply.rateLimit.value_or(*limit));
    }

    /// If there are several fields, the longest time counts.
    void readWarmUp(std::string_view value)
    {
        const std::optional<Duration> time = parseWarmUp(value);
        if (!time)
            reply.isWarmUpUnreadable = true;
        else
            reply.remainingWarmUp = std::max(*time, reply.remainingWarmUp.value_or(*time));
    }

    const UpstreamHeaderNames &m_names;
};

AnswerReader::AnswerReader(const UpstreamHeaderNames &names, OpenAnswers &openAnswers)
    : m_names(names)
    , m_openAnswers(openAnswers)
{
}

AnswerReader::~AnswerReader() = default;

void AnswerReader::start(const std::string &requestId, bool isHead)
{
    m_requestId = requestId;
    m_isHead = isHead;
    m_received = 0;
    m_skippedMessages = 0;
    resetParser();
}

void AnswerReader::stop()
{
    m_parser.reset();
}

void AnswerReader::resetParser()
{
    m_parser = std::make_unique<Parser>(m_names, m_openAnswers);
    m_parser->skip(m_isHead);
}

AnswerReader::Progress AnswerReader::feed(std::string_view bytes)
{
    // Bytes without a request belong to none, so the start of the next answer would be unknown.
    if (!m_parser)
        return Progress::Malformed;
    m_received += bytes.size();
    m_unparsed.append(bytes);
    if (m_received > MaxReceivedBytes)
        return fail();
    while (!m_unparsed.empty()) {
        const Progress progress = parseMessage();
        if (progress != Progress::NeedMore || !m_isAtMessageStart)
            return progress;
    }
    return Progress::NeedMore;
}

AnswerReader::Progress AnswerReader::parseMessage()
{
    m_isAtMessageStart = false;
    std::size_t used = 0;
    error_code error;
    while (used < m_unparsed.size() && !m_parser->is_done()) {
        const std::size_t taken = m_parser->put(
                asio::buffer(m_unparsed.data() + used, m_unparsed.size() - used), error);
        used += taken;
        if (error || taken == 0)
            break;
    }
    m_unparsed.erase(0, used);
    if (error && error != http::error::need_more)
        return fail();
    if (m_parser->is_done())
        return onMessage();
    // The parser consumes a body as it arrives. What is left is a header, a chunk's header or the
    // trailers, which it consumes only as a whole.
    return m_unparsed.size() > MaxHeadBytes ? fail() : Progress::NeedMore;
}

AnswerReader::Progress AnswerReader::end()
{
    // A body without a length ends when the searcher closes the connection without an error.
    if (!m_parser || !m_parser->need_eof())
        return fail();
    error_code error;
    m_parser->put_eof(error);
    if (error || !m_parser->is_done())
        return fail();
    m_isReusable = false;
    const Progress progress = onMessage();
    return progress == Progress::Answer ? progress : fail();
}

AnswerReader::Progress AnswerReader::onMessage()
{
    const bool isInterim = statusKindOf(m_parser->reply.status) == StatusKind::Interim;
    // A late answer to an earlier request may arrive before the answer to the current one.
    const bool isOther = !isInterim && m_parser->requestId != m_requestId &&
                         (m_parser->reply.isSuccess() || !m_parser->requestId.empty());
    if (isInterim || isOther) {
        m_isReusable = m_isReusable && !isOther;
        if (++m_skippedMessages > MaxSkippedMessages)
            return fail();
        resetParser();
        m_isAtMessageStart = true;
        return Progress::NeedMore;
    }
    const std::unique_ptr<Parser> parser = std::move(m_parser);
    if (parser->keepAliveTime)
        m_keepAlive = parser->keepAliveTime;
    m_isReusable =
            m_isReusable && m_unparsed.empty() && parser->keep_alive() && !parser->need_eof();
    m_reply = std::move(parser->reply);
    m_reply.hasBody = !m_isHead;
    if (m_isHead && parser->content_length())
        m_reply.statedLength = *parser->content_length();
    return Progress::Answer;
}

AnswerReader::Progress AnswerReader::fail()
{
    m_parser.reset();
    m_isReusable = false;
    return Progress::Malformed;
}

} // namespace geraniumcart
