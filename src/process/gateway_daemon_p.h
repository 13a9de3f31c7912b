#pragma once

#include "connection/caller_handler_p.h"
#include "connection/gateway_handler_p.h"
#include "connection/upstream_link_p.h"

#include <geraniumcart/fleet_relay.h>
#include <geraniumcart/fleet_rollouts.h>
#include <geraniumcart/gateway_settings.h>
#include <geraniumcart/serving_view.h>
#include <geraniumcart/store_calls.h>

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <memory>
#include <string>

namespace geraniumcart {

/// Reads configuration and searchers where they are kept. Belongs to the control thread.
class FleetSource
{
public:
    virtual ~FleetSource() = default;
    /// Starts or ends following the store; what it holds goes to the sink.
    virtual void setWatching(bool isWatching) = 0;
    /// Decodes one object, from the store or from a peer; what it says goes to the listener.
    virtual void apply(const StoredObject &object) = 0;
    /// Writes the state of a rollout, on condition that the stored object is still of the order's
    /// revision. A failure is logged; the caller tries again while the store tells another state.
    virtual void recordRollout(const RolloutOrder &order) = 0;
};

/// What a platform brings: names on the wire, formats, and the source of the fleet's state. It
/// decides nothing.
class GatewayPlatform
{
public:
    virtual ~GatewayPlatform() = default;
    virtual UpstreamHeaderNames upstreamHeaders() const = 0;
    virtual CallerHeaderNames callerHeaders() const = 0;
    /// All arguments live longer than the source.
    virtual std::unique_ptr<FleetSource>
    makeFleetSource(boost::asio::io_context &context, TimerService &timers,
                    StoredObjectListener &sink, FleetListener &listener, RolloutListener &rollouts,
                    StoreCallCounts &calls) = 0;
    /// Serves callers that ask which daemons to use.
    virtual std::unique_ptr<CallerHandler>
    makeDirectoryHandler(const ServingViewPublisher &views) = 0;
    /// Serves questions for readiness. @param isReady lives longer than the handler
    virtual std::unique_ptr<CallerHandler>
    makeReadinessHandler(const std::atomic<bool> &isReady) = 0;
};

/// A daemon that passes requests on by route: callers' side, searchers' side, peers and the source
/// of the fleet's state, put together.
class GatewayDaemon
{
public:
    GatewayDaemon(GatewaySettings settings, GatewayPlatform &platform);
    ~GatewayDaemon();
    GatewayDaemon(const GatewayDaemon &) = delete;
    GatewayDaemon &operator=(const GatewayDaemon &) = delete;

    /// Binds all addresses. @return false with @p reason if one cannot be bound
    bool open(std::string &reason);
    /// Serves until a planned stop has ended. SIGTERM and SIGINT start one.
    void run();

private:
    struct Parts;
    std::unique_ptr<Parts> m_parts;
};

} // namespace geraniumcart
