#pragma once

#include "connection/caller_handler_p.h"

#include <functional>
#include <string>

namespace geraniumcart {

/// Serves `GET /metrics` as Prometheus text.
class MetricsHandler final : public CallerHandler
{
public:
    /// @param text called on the worker's thread for each question
    explicit MetricsHandler(std::function<std::string()> text)
        : m_text(std::move(text))
    {
    }

    CallId handle(HttpRequest request, TimePoint arrival, Callback done) override;
    void abandon(CallId) override {}
    HttpResponse refuse(const Refusal &refusal) override;

private:
    std::function<std::string()> m_text;
};

} // namespace geraniumcart
