#pragma once

#include <optional>
#include <string>

namespace geraniumcart::tools {

/// Shows a daemon's JSON answer to `status`, `entries` or `limits` as an aligned table.
/// @return nothing if the answer is not what such a command gives
std::optional<std::string> formatAnswer(const std::string &command, const std::string &json);

} // namespace geraniumcart::tools
