#pragma once

#include <optional>
#include <string>

namespace geraniumcart::tools {

/// Formats the JSON answer of a daemon as aligned tables.
/// @param command `status`, `entries` or `limits`
/// @return std::nullopt if @p text is malformed or not an answer to this command
std::optional<std::string> formatAnswer(const std::string &command, const std::string &text);

} // namespace geraniumcart::tools
