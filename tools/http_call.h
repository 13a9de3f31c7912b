#pragma once

#include <geraniumcart/timer_service.h>

#include <boost/beast/http.hpp>

#include <optional>
#include <string>

namespace geraniumcart::tools {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

/// @return an HTTP/1.1 request; a body that is not empty is declared as JSON
HttpRequest makeRequest(boost::beast::http::verb method, const std::string &target,
                        std::string body = {});

/// Sends one request on a new connection. Blocks until the answer is complete or the call fails.
/// @param address IP:PORT
/// @return std::nullopt with @p reason if there is no complete answer within @p timeout
std::optional<HttpResponse> httpCall(const std::string &address, HttpRequest request,
                                     Duration timeout, std::string &reason);

} // namespace geraniumcart::tools
