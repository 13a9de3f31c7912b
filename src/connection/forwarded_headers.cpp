#include "connection/forwarded_headers_p.h"

#include <boost/beast/core/string.hpp>

namespace geraniumcart {

namespace http = boost::beast::http;

bool isHopByHop(http::field field, std::string_view name)
{
    switch (field) {
    case http::field::connection:
    case http::field::keep_alive:
    case http::field::proxy_connection:
    case http::field::te:
    case http::field::trailer:
    case http::field::transfer_encoding:
    case http::field::upgrade:
    case http::field::content_length:
    case http::field::expect:
        return true;
    default:
        return boost::beast::iequals({name.data(), name.size()}, "Proxy-Authenticate") ||
               boost::beast::iequals({name.data(), name.size()}, "Proxy-Authorization");
    }
}

} // namespace geraniumcart
