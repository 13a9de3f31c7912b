#pragma once

#include "connection/caller_handler_p.h"

#include <geraniumcart/gateway.h>

#include <string>

namespace geraniumcart {

/// Names of the header fields between callers and this daemon that HTTP does not define. The
/// platform defines them.
struct CallerHeaderNames
{
    std::string requestId;
    std::string deadline;
    std::string signatures;
    std::string missingShards;
    /// Set by this daemon in requests to searchers. A field of that name from a caller is not
    /// forwarded.
    std::string expectedInstance;
};

/// Decodes callers' requests, forwards them through a Gateway and encodes its answers. Each worker
/// has its own instance and uses it only on its own thread.
class GatewayHandler final : public CallerHandler
{
public:
    GatewayHandler(Gateway &gateway, const CallerHeaderNames &names)
        : m_gateway(gateway)
        , m_names(names)
    {
    }

    std::optional<CallerLimits> limits() const override;
    CallId handle(HttpRequest request, const RequestArrival &arrival, Callback done) override;
    void abandon(CallId id) override { m_gateway.abandon(id); }
    HttpResponse refuse(const Refusal &refusal) override;

private:
    /// Converts a caller's request into the request to forward.
    /// @param reason receives the cause if std::nullopt is returned
    std::optional<RoutedRequest> decode(HttpRequest &request, const RequestArrival &arrival,
                                        std::string &reason) const;
    HttpResponse encode(RoutedAnswer answer) const;

    Gateway &m_gateway;
    const CallerHeaderNames m_names;
};

} // namespace geraniumcart
