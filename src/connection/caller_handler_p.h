#pragma once

#include "connection/caller_codec_p.h"

#include <geraniumcart/config.h>
#include <geraniumcart/front_end.h>

#include <functional>
#include <memory>

namespace geraniumcart {

/// What one caller's connection may use.
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

/// Handles the requests of callers' connections in one vocabulary of calls and headers. One
/// instance for each worker; belongs to its thread.
class CallerHandler
{
public:
    using Callback = std::function<void(HttpResponse)>;

    virtual ~CallerHandler() = default;
    /// Limits for the next request on a connection. Nothing keeps those of the listener.
    virtual std::optional<CallerLimits> limits() const { return std::nullopt; }
    /// Handles one request. @p done is called once, before or after this returns, unless the call
    /// is abandoned. @return a name for abandon(); 0 names none.
    virtual CallId handle(HttpRequest request, TimePoint arrival, Callback done) = 0;
    /// The caller went away; the callback is not called any more.
    virtual void abandon(CallId id) = 0;
    /// Answer to what could not be read as a request.
    virtual HttpResponse refuse(const Refusal &refusal) = 0;
};

/// Serves the calls of geraniumcart's own interface.
class FrontEndHandler final : public CallerHandler
{
public:
    explicit FrontEndHandler(FrontEnd &frontEnd)
        : m_frontEnd(frontEnd)
    {
    }

    CallId handle(HttpRequest request, TimePoint arrival, Callback done) override;
    void abandon(CallId id) override { m_frontEnd.abandon(id); }
    HttpResponse refuse(const Refusal &refusal) override;

private:
    FrontEnd &m_frontEnd;
};

} // namespace geraniumcart
