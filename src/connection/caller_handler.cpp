#include "connection/caller_handler_p.h"

#include <utility>
#include <variant>

namespace geraniumcart {

CallId FrontEndHandler::handle(HttpRequest request, const RequestArrival &arrival, Callback done)
{
    ResponseFraming framing;
    auto decoded = decodeCallerRequest(std::move(request), arrival.time, framing);
    if (auto *refusal = std::get_if<Refusal>(&decoded)) {
        done(encodeCallerResponse({std::move(*refusal)}, framing));
        return 0;
    }
    return m_frontEnd.handle(std::get<CallerRequest>(std::move(decoded)),
                             [framing, done = std::move(done)](const CallerResponse &response) {
                                 ResponseFraming responseFraming = framing;
                                 responseFraming.keepAlive &= !response.shouldClose;
                                 done(encodeCallerResponse(response, responseFraming));
                             });
}

HttpResponse FrontEndHandler::refuse(const Refusal &refusal)
{
    ResponseFraming framing;
    framing.keepAlive = false;
    return encodeCallerResponse({refusal}, framing);
}

} // namespace geraniumcart
