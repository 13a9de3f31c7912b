#pragma once

#include <boost/beast/http/field.hpp>

#include <string_view>

namespace geraniumcart {

/// @return true for header fields that apply to a single connection (RFC 9110, section 7.6.1) and
/// are not forwarded. They include Content-Length, because the framing of each forwarded message is
/// generated again, and Expect, which each connection handles on its own.
bool isHopByHop(boost::beast::http::field field, std::string_view name);

} // namespace geraniumcart
