#pragma once

#include "connection/caller_handler_p.h"

#include <functional>
#include <string>

namespace geraniumcart {

/// Serves `GET /metrics` in the Prometheus text format. Other requests get status 404.
class MetricsHandler final : public CallerHandler
{
public:
    /// @param text returns the current metrics; called on the worker's thread for each request
    explicit MetricsHandler(std::function<std::string()> text)
        : m_text(std::move(text))
    {
    }

    CallId handle(HttpRequest request, const RequestArrival &arrival, Callback done) override;
    void abandon(CallId) override {}
    HttpResponse refuse(const Refusal &refusal) override;

private:
    std::function<std::string()> m_text;
};

} // namespace geraniumcart
