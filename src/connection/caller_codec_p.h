#pragma once

#include <geraniumcart/front_end.h>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <string>
#include <variant>

namespace geraniumcart {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

/// What an answer's encoding needs to know of its request.
struct ResponseFraming
{
    /// HTTP version in Beast's form: 10 or 11.
    unsigned version = 11;
    bool keepAlive = true;
    /// The answer to HEAD has no body.
    bool isHead = false;
    /// Method that the path accepts; given with status 405.
    const char *allowedMethod = "";
};

/// Decodes one request. Relative deadlines count from @p arrival.
/// @return the request, or a refusal that names the header, its value and the accepted range.
/// @p framing is filled in in both cases.
std::variant<CallerRequest, Refusal> decodeCallerRequest(HttpRequest request, TimePoint arrival,
                                                         ResponseFraming &framing);

/// Encodes one answer as JSON or text. Bodies from searchers were validated when they came in and
/// are spliced as they are.
HttpResponse encodeCallerResponse(const CallerResponse &response, const ResponseFraming &framing);

} // namespace geraniumcart
