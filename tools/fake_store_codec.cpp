#include "fake_store_codec.h"

#include <boost/json.hpp>
#include <boost/url/parse.hpp>

#include <algorithm>
#include <charconv>

namespace geraniumcart {

namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;

namespace {

constexpr std::string_view ObjectsPath = "/v1/objects";
constexpr std::string_view ControlPath = "/control";
/// Upper bound of the time that one watch waits; a longer time that the caller asks for is reduced
/// to this.
constexpr std::chrono::milliseconds MaxWatchWait{60000};

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

/// Parses the parameters of a GET of one object. @return false if one is malformed
bool readWatch(const boost::urls::url_view &url, ObjectCall &call)
{
    for (const auto &parameter : url.params()) {
        const std::optional<std::uint64_t> number = parseNumber(std::string(parameter.value));
        if (!number)
            return false;
        if (parameter.key == "after") {
            call.kind = ObjectCall::Kind::Watch;
            call.after = *number;
        } else if (parameter.key == "waitMs") {
            const auto maxWaitMs = static_cast<std::uint64_t>(MaxWatchWait.count());
            call.wait = std::chrono::milliseconds(std::min(*number, maxWaitMs));
        }
    }
    return true;
}

} // namespace

ObjectCall parseCall(const HttpRequest &request)
{
    const auto parsed = boost::urls::parse_origin_form(request.target());
    if (!parsed)
        return {};
    const boost::urls::url_view &url = *parsed;
    const std::string path = url.path();
    ObjectCall call;
    if (path == ControlPath) {
        call.kind = ObjectCall::Kind::Control;
        return call;
    }
    if (path == ObjectsPath && request.method() == http::verb::get) {
        call.kind = ObjectCall::Kind::List;
        for (const auto &parameter : url.params())
            if (parameter.key == "prefix")
                call.key = parameter.value;
        return call;
    }
    if (!path.starts_with(std::string(ObjectsPath) + '/') || path.size() <= ObjectsPath.size() + 1)
        return {};
    call.key = path.substr(ObjectsPath.size() + 1);
    if (request.method() == http::verb::get) {
        call.kind = ObjectCall::Kind::Get;
        return readWatch(url, call) ? call : ObjectCall{};
    }
    if (request.count(http::field::if_match) > 0) {
        call.expected = parseNumber(request[http::field::if_match]);
        if (!call.expected)
            return {};
    }
    if (request.method() == http::verb::put)
        call.kind = ObjectCall::Kind::Put;
    else if (request.method() == http::verb::delete_ && call.expected)
        call.kind = ObjectCall::Kind::Remove;
    return call;
}

bool readFaults(const std::string &text, FakeStoreFaults &faults)
{
    beast::error_code error;
    const json::value document = json::parse(text, error);
    if (error || !document.is_object())
        return false;
    const auto readFlag = [](const json::value &value, bool &flag) {
        if (const bool *parsedValue = value.if_bool())
            flag = *parsedValue;
        return value.is_bool();
    };
    const auto readCount = [&error](const json::value &value, std::uint32_t &count) {
        const auto parsedValue = value.to_number<std::uint32_t>(error);
        if (!error)
            count = parsedValue;
        return !error;
    };
    for (const auto &[name, value] : document.get_object()) {
        std::uint32_t delayMs = 0;
        bool isValid = false;
        if (name == "outage") {
            isValid = readFlag(value, faults.outage);
        } else if (name == "refuse") {
            isValid = readFlag(value, faults.refuse);
        } else if (name == "unavailable") {
            isValid = readFlag(value, faults.unavailable);
        } else if (name == "loseAnswers") {
            isValid = readCount(value, faults.loseAnswers);
        } else if (name == "loseRequests") {
            isValid = readCount(value, faults.loseRequests);
        } else if (name == "delayMs") {
            isValid = readCount(value, delayMs);
            faults.delay = std::chrono::milliseconds(delayMs);
        }
        if (!isValid)
            return false;
    }
    return true;
}

} // namespace geraniumcart
