#pragma once

#include "connection/upstream_connections_p.h"
#include "process/loop_lag_p.h"
#include "process/worker_pool_p.h"

#include <geraniumcart/gateway.h>
#include <geraniumcart/gateway_settings.h>
#include <geraniumcart/metrics.h>

#include <atomic>
#include <functional>
#include <optional>
#include <string>
#include <unordered_set>

namespace geraniumcart {

/// What the daemon is to callers. The control thread writes, workers read.
struct EntryRole
{
    std::atomic<bool> isReady{false};
    /// Callers would be sent here once it is ready.
    std::atomic<bool> isCandidate{true};
};

/// States of connections that one thread writes and others read.
class SharedLinkStates
{
public:
    void set(const LinkStates &states);
    void addTo(LinkStates &sum) const;

private:
    std::atomic<std::uint32_t> m_opening{0};
    std::atomic<std::uint32_t> m_idle{0};
    std::atomic<std::uint32_t> m_busy{0};
};

/// What the requests of one worker use: its gateway, its connections to searchers and its counts.
class GatewayWorker
{
public:
    GatewayWorker(Worker &worker, const GatewaySettings &settings, const UpstreamHeaderNames &names,
                  const ServingViewPublisher &views, const EntryRole &role, Stats &stats);

    /// Begins to export counts and to measure load. Called before the worker's thread runs.
    /// @param busyChanged called on the worker when it becomes busy or stops being so
    void start(std::function<void(bool isBusy)> busyChanged);
    /// Lets the worker adapt its connections to the view in force. Thread-safe.
    void postViewChanged();
    /// Adds the states of its connections as of the last export. Thread-safe.
    void addLinkStates(LinkStates &sum) const { m_linkStates.addTo(sum); }

    Gateway &gateway() { return m_gateway; }

private:
    void onViewChanged();
    void openAhead(const std::shared_ptr<Upstream> &upstream, const std::string &key);
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
    /// What is in the metrics already.
    CallCounts m_exportedCalls;
    LinkCounts m_exportedLinks;
    SharedLinkStates m_linkStates;
    std::optional<LoopLag> m_lag;
    /// Searchers to which a connection was opened ahead of need.
    std::unordered_set<std::string> m_openedAhead;
};

} // namespace geraniumcart
