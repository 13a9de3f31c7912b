#pragma once

#include "connection/upstream_connections_p.h"
#include "process/loop_lag_p.h"
#include "process/worker_pool_p.h"

#include <geraniumcart/gateway.h>
#include <geraniumcart/gateway_settings.h>
#include <geraniumcart/metrics.h>

#include <array>
#include <atomic>
#include <functional>
#include <optional>
#include <string>
#include <unordered_set>

namespace geraniumcart {

/// Whether callers are sent to this daemon. Written by the control thread, read by the workers.
struct EntryRole
{
    /// True while the daemon answers readiness probes with success.
    std::atomic<bool> isReady{false};
    /// True if callers would be sent here as soon as the daemon is ready.
    std::atomic<bool> isCandidate{true};
};

/// Numbers of connections by state and by cause, written by one thread and read by other threads.
class SharedLinkStates
{
public:
    void set(const LinkStates &states, const LinkCounts &counts);
    void addTo(LinkStates &states, LinkCounts &counts) const;

private:
    using Counter = std::atomic<std::uint64_t>;

    std::atomic<std::uint32_t> m_opening{0};
    std::atomic<std::uint32_t> m_idle{0};
    std::atomic<std::uint32_t> m_busy{0};
    std::array<Counter, static_cast<std::size_t>(OpenCause::Count)> m_opened{};
    std::array<Counter, static_cast<std::size_t>(CloseCause::Count)> m_closed{};
};

/// Per-worker state of a gateway daemon: the gateway, the connections to searchers and the
/// counters. Belongs to the thread of its worker, except where a function says otherwise.
class GatewayWorker
{
public:
    GatewayWorker(Worker &worker, const GatewaySettings &settings, const UpstreamHeaderNames &names,
                  const ServingViewPublisher &views, const EntryRole &role, Stats &stats);

    /// Starts exporting counters and measuring load. Call before the thread of the worker starts.
    /// @param busyChanged called on the worker when it becomes busy or is no longer busy
    void start(std::function<void(bool isBusy)> busyChanged);
    /// Ends all open requests, see Gateway::endOpenRequests(). Thread-safe.
    void postEndOfRequests();
    /// Makes the worker adapt its connections to the current view. Thread-safe.
    void postViewChanged();
    /// Adds the numbers of connections at the last export, and of those that were opened and closed
    /// until then. Thread-safe.
    void addLinks(LinkStates &states, LinkCounts &counts) const
    {
        m_linkStates.addTo(states, counts);
    }

    Gateway &gateway() { return m_gateway; }

private:
    void onViewChanged();
    /// Opens a connection to @p upstream before a request needs one, unless the daemon has ceased
    /// to be a candidate since then; see EntryRole.
    void prewarm(const std::shared_ptr<Upstream> &upstream, const std::string &key);
    void exportCounts();

    Worker &m_worker;
    const std::string m_callerAddress;
    const ServingViewPublisher &m_views;
    const EntryRole &m_role;
    Stats &m_stats;
    UpstreamConnections m_connections;
    UpstreamChoice m_choice;
    CallCounts m_calls;
    Gateway m_gateway;
    /// Counts that have already been added to the metrics.
    CallCounts m_exportedCalls;
    LinkCounts m_exportedLinks;
    SharedLinkStates m_linkStates;
    std::optional<LoopLag> m_lag;
    /// Searchers to which a connection was opened, or is scheduled to be opened, before any request
    /// needs one.
    std::unordered_set<std::string> m_prewarmed;
};

} // namespace geraniumcart
