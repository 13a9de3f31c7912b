#pragma once

#include <geraniumcart/rules.h>

#include <cstdint>
#include <span>
#include <string_view>

namespace geraniumcart::fuzz {

/// Parses @p input as a rules file.
/// @return the violated property, or nullptr if all hold
inline const char *checkRules(std::span<const std::uint8_t> input)
{
    const std::string_view text(reinterpret_cast<const char *>(input.data()), input.size());
    ParseError error;
    const auto rules = parseRules(text, error);
    if (rules.has_value() != (error.error == RuleError::None))
        return "a rejected rules file has an error, an accepted one has none";
    if (rules)
        return nullptr;
    if (describe(error).empty())
        return "an error has a description";
    const bool hasPosition =
            error.error == RuleError::TooLong || (error.line > 0 && error.column > 0);
    return hasPosition ? nullptr : "an error has a line and a column";
}

} // namespace geraniumcart::fuzz
