#include "connection/searcher_answer_parser_p.h"

#include <boost/beast/core/string.hpp>

#include <xxhash.h>

#include <charconv>

namespace geraniumcart {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

/// Maximum size of an answer's header.
constexpr std::uint32_t MaxHeadBytes = 8 * 1024;

template <typename Number>
bool parseNumber(std::string_view text, Number &value)
{
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc() && end == text.data() + text.size();
}

bool parseServed(std::string_view text, ServedVersions &versions)
{
    const std::size_t dash = text.find('-');
    return dash != std::string_view::npos && parseNumber(text.substr(0, dash), versions.oldest) &&
           parseNumber(text.substr(dash + 1), versions.newest) &&
           versions.oldest <= versions.newest;
}

} // namespace

SearcherAnswerParser::SearcherAnswerParser(UpstreamAnswer &answer, OpenAnswers &openAnswers)
    : BoundedAnswerParser(openAnswers, MaxHeadBytes)
    , m_answer(answer)
{
}

bool SearcherAnswerParser::onStatus(unsigned status, Text)
{
    m_answer.status = static_cast<std::uint16_t>(status);
    // Requests never ask for an interim answer, so one violates the protocol.
    return statusKindOf(status) == StatusKind::Final;
}

void SearcherAnswerParser::on_field_impl(http::field field, Text name, Text value, ErrorCode &error)
{
    if (field == http::field::unknown &&
        !readField({name.data(), name.size()}, {value.data(), value.size()}))
        error = http::error::bad_value;
}

bool SearcherAnswerParser::readField(std::string_view name, std::string_view value)
{
    // The length alone nearly identifies the field, which leaves one comparison, or two for
    // length 7.
    switch (name.size()) {
    case 5:
        if (beast::iequals(name, "Shard"))
            return parseNumber(value, m_answer.shard.emplace());
        break;
    case 7:
        if (beast::iequals(name, "Boot-Id"))
            m_answer.bootId = XXH3_64bits(value.data(), value.size());
        else if (beast::iequals(name, "Not-Run"))
            m_answer.isNotRun = value == "1";
        break;
    case 8:
        if (beast::iequals(name, "Draining"))
            m_answer.isDraining = value == "1";
        break;
    case 9:
        if (beast::iequals(name, "Documents"))
            return parseNumber(value, m_answer.documents);
        break;
    case 10:
        if (beast::iequals(name, "Request-Id"))
            return parseNumber(value, m_answer.requestId.emplace());
        break;
    case 13:
        if (beast::iequals(name, "Index-Version"))
            return parseNumber(value, m_answer.indexVersion);
        break;
    case 14:
        if (beast::iequals(name, "Index-Versions"))
            return parseServed(value, m_answer.served.emplace());
        break;
    default:
        break;
    }
    return true;
}

} // namespace geraniumcart
