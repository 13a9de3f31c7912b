#include "connection/endpoint_p.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>
#include <string>

namespace geraniumcart {

std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    std::string_view host = text.substr(0, colon);
    const bool isBracketed = host.starts_with('[') && host.ends_with(']');
    if (isBracketed)
        host = host.substr(1, host.size() - 2);

    std::uint16_t port = 0;
    const char *end = text.data() + text.size();
    const auto [parsed, portError] = std::from_chars(text.data() + colon + 1, end, port);
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(std::string(host), error);
    if (error || portError != std::errc() || parsed != end || address.is_v6() != isBracketed)
        return std::nullopt;
    return boost::asio::ip::tcp::endpoint(address, port);
}

} // namespace geraniumcart
