#pragma once

#include "process/rollout_recorder_p.h"
#include "process/store_watcher_p.h"

#include <geraniumcart/config_spread.h>
#include <geraniumcart/front_end.h>
#include <geraniumcart/membership.h>
#include <geraniumcart/object_store.h>
#include <geraniumcart/peer_messages.h>
#include <geraniumcart/rollout.h>
#include <geraniumcart/snapshot.h>
#include <geraniumcart/snapshot_builder.h>
#include <geraniumcart/timer_service.h>
#include <geraniumcart/upstream_gate.h>

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace geraniumcart {

/// Takes new routing before requests can pin it.
class RoutingSink
{
public:
    virtual ~RoutingSink() = default;
    /// @param share this daemon's share of each searcher that it dispatches to
    virtual void applyRouting(const RoutingSnapshot &snapshot,
                              const UpstreamGate::Share &share) = 0;
};

struct ControlContext
{
    TimerService &timers;
    ObjectStore &store;
    PeerNetwork &network;
    SnapshotPublisher &snapshots;
    RoutingSink &sink;
};

struct ControlConfig
{
    Member self;
    std::string cell;
    std::vector<std::string> seeds;
    RoutingMode mode = RoutingMode::Owner;
};

/// The control part of a daemon: follows the store or the peers, keeps membership, builds and
/// publishes routing, and reports what became of each rule. Belongs to the control thread, except
/// status().
class Control final : public GossipExchange, public StatusSource
{
public:
    Control(ControlContext context, ControlConfig config);

    /// Sets where callers connect, once the port is known. Before start().
    void setAddress(const std::string &address) { m_membership.setAddress(address); }
    void start();
    void onPeerMessage(const std::string &peerAddress, PeerMessage message);
    PeerHello hello(PeerPlane plane) const;

    /// First step of a planned stop: peers stop listing this daemon and take over its searchers,
    /// while it still serves callers that keep an older list.
    void beginLeaving();
    /// Last step: tells peers that this daemon is gone.
    void finishLeaving();

    void fill(Gossip &gossip) override;
    void take(const std::string &peerAddress, const Gossip &gossip) override;
    ControlStatus status() const override;

private:
    struct RuleProgress
    {
        RuleState state = RuleState::InProgress;
        WallTime since{};
        std::string reason;
    };

    void onObject(const StoredObject &object);
    void onRules(const StoredObject &object);
    void onHosts(const StoredObject &object);
    void onCatalog(const StoredObject &object);
    void onMembersChanged();
    void onPull(const std::string &peerAddress, const PeerObjectPull &pull);
    void onPush(const PeerObjectPush &push);
    void onReports(const PeerUpstreamReports &reports);

    void noteRulesKnown();
    void pushToPeers(const StoredObject &object);
    std::vector<std::string> presentPeers() const;
    bool isWatcher() const;
    void updateWatcher();
    void askPeersForEverything();

    void requestRebuild();
    void rebuild();
    void pollUpstreams();
    void sendReports(const std::string &peerAddress, const std::vector<UpstreamReport> &reports);
    std::vector<UpstreamReport> ownReports() const;
    bool isOwnZoneOutForLong() const;

    void stepRollouts();
    void updateServiceCounters();
    std::vector<AnswerCounts> ownAnswerCounts() const;
    std::vector<VersionShare> sharesOf(const std::string &service) const;
    bool isServedEverywhere(const std::string &service, const std::string &version) const;

    void updateStatus();
    void tickStatus();
    std::vector<std::string> warnings() const;
    bool isInForceEverywhere() const;
    bool isZoneIdle(const std::string &zone) const;
    void addRuleStatus(ControlStatus &status, const std::string &rule, const RuleOrigin &origin,
                       RuleState state, const std::string &reason);

    ControlContext m_context;
    ControlConfig m_config;
    ConfigReplica m_replica;
    StoreWatcher m_watcher;
    Membership m_membership;
    UpstreamRegistry m_registry;
    Rollout m_rollout;
    LeaseKeeper m_rolloutLease;
    RolloutRecorder m_rolloutRecorder;
    RoutingInputs m_inputs;
    bool m_rebuildPosted = false;
    std::uint64_t m_generation = 0;
    /// Incarnation at the start; counts of answers begin anew with it.
    std::uint64_t m_startedAt = 0;
    std::optional<TimePoint> m_zoneOutSince;
    /// Last states sent to peers and used for routing, by address.
    std::map<std::string, UpstreamReport, std::less<>> m_lastReports;
    TimePoint m_lastFullReport{};
    /// Object version of the rules that each peer holds, by peer address.
    std::map<std::string, std::uint64_t, std::less<>> m_peerRules;
    std::map<std::string, RuleProgress, std::less<>> m_progress;
    std::vector<std::string> m_knownPeers;

    mutable std::mutex m_statusMutex;
    std::shared_ptr<const ControlStatus> m_status;
};

} // namespace geraniumcart
