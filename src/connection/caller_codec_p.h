#pragma once

#include <geraniumcart/front_end.h>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <string>
#include <variant>

namespace geraniumcart {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

/// Properties of a request that the encoding of its response depends on.
struct ResponseFraming
{
    /// HTTP version in Beast's form: 10 or 11.
    unsigned version = 11;
    bool keepAlive = true;
    /// Method that the path accepts; sent in the Allow header with status 405.
    const char *allowedMethod = "";
};

/// Decodes one HTTP request of geraniumcart's own interface. Relative deadlines count from
/// @p arrival.
/// @param framing receives what the encoding of the response needs, on success and on failure
/// @return the request, or a refusal whose reason names the header, its value and the accepted
/// range
std::variant<CallerRequest, Refusal> decodeCallerRequest(HttpRequest request, TimePoint arrival,
                                                         ResponseFraming &framing);

/// Encodes one response as JSON or plain text. Search results are copied into the JSON without
/// parsing, because they were validated when they were received from the searchers.
HttpResponse encodeCallerResponse(const CallerResponse &response, const ResponseFraming &framing);

} // namespace geraniumcart
