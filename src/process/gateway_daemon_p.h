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

/// Reads the configuration and the searcher records from the platform's store. Belongs to the
/// control thread.
class FleetSource
{
public:
    virtual ~FleetSource() = default;
    /// Starts or stops watching the store; the objects found there go to the StoredObjectListener.
    /// @param substitutes number of daemons that start at the same time because no watcher
    /// responds;
    ///     while the store does not answer either, their calls are spread accordingly. 0 for a
    ///     watcher
    virtual void setWatching(bool isWatching, std::uint32_t substitutes) = 0;
    /// Decodes one object from the store or from a peer and passes its content to the listeners.
    /// @param age see FleetRelay::Callbacks::apply
    virtual void apply(const StoredObject &object, Duration age) = 0;
    /// Writes the state of a rollout if the stored object still has the revision of @p order. A
    /// failure is logged; the caller tries again while the store holds another state.
    virtual void recordRollout(const RolloutOrder &order) = 0;
};

/// Platform-specific parts of a gateway daemon: header names, formats, and the source of the
/// fleet's state. A platform makes no routing decisions.
class GatewayPlatform
{
public:
    virtual ~GatewayPlatform() = default;
    virtual UpstreamHeaderNames upstreamHeaders() const = 0;
    virtual CallerHeaderNames callerHeaders() const = 0;
    /// @param sink receives the stored objects that the source reads
    /// @param listener receives the decoded routes and searchers
    /// All arguments must outlive the source.
    virtual std::unique_ptr<FleetSource>
    makeFleetSource(boost::asio::io_context &context, TimerService &timers,
                    StoredObjectListener &sink, FleetListener &listener, RolloutListener &rollouts,
                    StoreCallCounts &calls) = 0;
    /// Creates the handler of directory requests, whose answers list the daemons that accept
    /// callers' requests.
    virtual std::unique_ptr<CallerHandler>
    makeDirectoryHandler(const ServingViewPublisher &views) = 0;
    /// Creates the handler of readiness probes.
    /// @param isReady must outlive the handler
    virtual std::unique_ptr<CallerHandler>
    makeReadinessHandler(const std::atomic<bool> &isReady) = 0;
};

/// A daemon that forwards requests by route. Connects the listeners for callers, the connections to
/// searchers, the peer network and the source of the fleet's state.
class GatewayDaemon
{
public:
    GatewayDaemon(GatewaySettings settings, GatewayPlatform &platform);
    ~GatewayDaemon();
    GatewayDaemon(const GatewayDaemon &) = delete;
    GatewayDaemon &operator=(const GatewayDaemon &) = delete;

    /// Binds all addresses.
    /// @return false, with @p reason set, if one cannot be bound
    bool open(std::string &reason);
    /// Serves requests and blocks until a planned stop is complete. SIGTERM and SIGINT start one; a
    /// second signal ends it immediately.
    void run();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace geraniumcart
