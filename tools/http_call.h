#pragma once

#include "connection/endpoint_p.h"

#include <geraniumcart/timer_service.h>

#include <boost/beast/http.hpp>

#include <optional>
#include <string>

namespace geraniumcart::tools {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

HttpRequest makeRequest(boost::beast::http::verb method, const std::string &target,
                        std::string body = {});

/// Sends one request on a connection of its own and waits for the answer.
/// @return nothing with @p reason when there is no whole answer within @p timeout
std::optional<HttpResponse> httpCall(const std::string &address, HttpRequest request,
                                     Duration timeout, std::string &reason);

} // namespace geraniumcart::tools
