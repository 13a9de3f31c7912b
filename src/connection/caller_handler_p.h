#pragma once

#include "connection/caller_codec_p.h"

#include <geraniumcart/config.h>
#include <geraniumcart/front_end.h>

#include <functional>
#include <memory>

namespace geraniumcart {

/// Size limits and timeouts of one caller's connection.
struct CallerLimits
{
    std::size_t headerBytes = MaxHeaderBytes;
    std::size_t bodyBytes = MaxBodyBytes;
    Duration idleTimeout = CallerIdleTimeout;
    Duration readTimeout = CallerReadTimeout;
    Duration writeTimeout = CallerWriteTimeout;
    Duration lingerTimeout = CallerLingerTimeout;
    Duration drainGrace = CallerDrainGrace;
};

/// When and how a request arrived.
struct RequestArrival
{
    TimePoint time{};
    bool isFirstOnConnection = false;
};

/// Handles the HTTP requests that arrive on callers' connections. Each implementation serves one
/// set of paths and headers. Each worker has its own instance and uses it only on its own thread.
class CallerHandler
{
public:
    using Callback = std::function<void(HttpResponse)>;

    virtual ~CallerHandler() = default;
    /// Called before each request of a connection. @return the limits for this request, or
    /// std::nullopt to keep the current limits, which are initially those of the listener.
    virtual std::optional<CallerLimits> limits() const { return std::nullopt; }
    /// Handles one request. @p done is called exactly once, before or after this function returns,
    /// unless the call is abandoned. @return an id for abandon(), or 0 if the call cannot be
    /// abandoned.
    virtual CallId handle(HttpRequest request, const RequestArrival &arrival, Callback done) = 0;
    /// Abandons a call whose caller closed the connection. Its callback will not be called.
    virtual void abandon(CallId id) = 0;
    /// Builds the response to a request that was too large, malformed or not received in time. The
    /// connection is closed after this response.
    virtual HttpResponse refuse(const Refusal &refusal) = 0;
};

/// Serves the requests of geraniumcart's own interface through a FrontEnd.
class FrontEndHandler final : public CallerHandler
{
public:
    explicit FrontEndHandler(FrontEnd &frontEnd)
        : m_frontEnd(frontEnd)
    {
    }

    CallId handle(HttpRequest request, const RequestArrival &arrival, Callback done) override;
    void abandon(CallId id) override { m_frontEnd.abandon(id); }
    HttpResponse refuse(const Refusal &refusal) override;

private:
    FrontEnd &m_frontEnd;
};

} // namespace geraniumcart
