#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string_view>

namespace geraniumcart {

/// Parses `IP:PORT`, or `[IP]:PORT` for IPv6. Host names are not resolved.
/// @return std::nullopt if @p text has another form
std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view text);

} // namespace geraniumcart
