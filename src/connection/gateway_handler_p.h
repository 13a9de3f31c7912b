#pragma once

#include "connection/caller_handler_p.h"

#include <geraniumcart/gateway.h>

#include <string>

namespace geraniumcart {

/// Names of the header fields between callers and this daemon that are not HTTP's own.
struct CallerHeaderNames
{
    std::string requestId;
    std::string deadline;
    std::string signatures;
    std::string missingShards;
    /// Set by this daemon towards searchers; a caller's own is not passed on.
    std::string expectedInstance;
};

/// Passes callers' requests on by route. One instance for each worker.
class GatewayHandler final : public CallerHandler
{
public:
    GatewayHandler(Gateway &gateway, const CallerHeaderNames &names)
        : m_gateway(gateway)
        , m_names(names)
    {
    }

    std::optional<CallerLimits> limits() const override;
    CallId handle(HttpRequest request, TimePoint arrival, Callback done) override;
    void abandon(CallId id) override { m_gateway.abandon(id); }
    HttpResponse refuse(const Refusal &refusal) override;

private:
    /// @param reason set where nothing is returned
    std::optional<RoutedRequest> decode(HttpRequest &request, TimePoint arrival,
                                        std::string &reason) const;
    HttpResponse encode(RoutedAnswer answer) const;

    Gateway &m_gateway;
    const CallerHeaderNames m_names;
};

} // namespace geraniumcart
