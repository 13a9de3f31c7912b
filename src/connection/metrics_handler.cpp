#include "connection/metrics_handler_p.h"

namespace geraniumcart {

namespace http = boost::beast::http;

CallId MetricsHandler::handle(HttpRequest request, const RequestArrival &, Callback done)
{
    const bool isKnown = request.method() == http::verb::get && request.target() == "/metrics";
    HttpResponse response(isKnown ? http::status::ok : http::status::not_found, 11);
    response.set(http::field::content_type, "text/plain; version=0.0.4");
    if (isKnown)
        response.body() = m_text();
    response.prepare_payload();
    response.keep_alive(request.keep_alive());
    done(std::move(response));
    return 0;
}

HttpResponse MetricsHandler::refuse(const Refusal &refusal)
{
    HttpResponse response(http::status::bad_request, 11);
    response.body() = refusal.reason;
    response.prepare_payload();
    response.keep_alive(false);
    return response;
}

} // namespace geraniumcart
