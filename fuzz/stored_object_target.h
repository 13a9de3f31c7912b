#pragma once

#include "json_split.h"
#include "records.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace geraniumcart::fuzz {

/// @return the value of @p text; null if it cannot be parsed. The library rounds a number in
/// another way if fewer bytes follow it than it reads at once, so blanks are appended.
inline boost::json::value parsePadded(std::string_view text)
{
    constexpr std::size_t Blanks = 64;
    boost::system::error_code error;
    return boost::json::parse(std::string(text) + std::string(Blanks, ' '), error);
}

/// Reads @p input as the text of an object in the platform's store, in the ways of all kinds.
/// @return the violated property, or nullptr if all hold
inline const char *checkStoredObject(std::span<const std::uint8_t> input)
{
    const std::string_view text(reinterpret_cast<const char *>(input.data()), input.size());
    std::size_t elements = 0;
    const bool isArray =
            platform::forEachElement(text, [&elements](std::string_view) { ++elements; });
    std::string reason;
    platform::parseRollout(std::string(text), reason);

    boost::system::error_code error;
    const boost::json::value value = boost::json::parse({text.data(), text.size()}, error);
    if (error)
        return nullptr;
    platform::parseSearcher("i", &value, reason);
    platform::parseRouteTable(value, reason);
    platform::stableText(value);
    if (value.is_array() && (!isArray || elements != value.get_array().size()))
        return "the elements of a valid array are found";
    if (!value.is_object())
        return nullptr;
    const boost::json::value padded = parsePadded(text);
    for (const auto &[key, field] : padded.as_object()) {
        // A name with escape sequences is compared as it is written.
        if (key.find_first_of("\\\"") != boost::json::string_view::npos ||
            text.find('\\') != std::string_view::npos)
            continue;
        const auto found = platform::fieldText(text, {key.data(), key.size()});
        // Compared as text, since the library reads some numbers as NaN, which differs from itself.
        if (!found || boost::json::serialize(parsePadded(*found)) != boost::json::serialize(field))
            return "the value of each field of a valid object is found";
    }
    return nullptr;
}

} // namespace geraniumcart::fuzz
