#pragma once

#include <boost/beast/http/field.hpp>

#include <string_view>

namespace geraniumcart {

/// True for fields that concern one connection only (RFC 9110, section 7.6.1) and are not passed
/// on. Content-Length is among them, since every message is framed anew.
bool isHopByHop(boost::beast::http::field field, std::string_view name);

} // namespace geraniumcart
