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

/// Receives each new routing snapshot on the control thread, before the snapshot is published and
/// requests can pin it.
class RoutingSink
{
public:
    virtual ~RoutingSink() = default;
    /// @param share this daemon's share of each searcher that it dispatches to
    virtual void applyRouting(const RoutingSnapshot &snapshot,
                              const UpstreamGate::Share &share) = 0;
};

/// Objects that Control uses. All of them must outlive it.
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

/// The control part of a daemon: reads the configuration from the store or from peers, maintains
/// membership, builds and publishes routing snapshots, and reports the state of each rule. Belongs
/// to the control thread, except status(), which is thread-safe.
class Control final : public GossipExchange, public StatusSource
{
public:
    Control(ControlContext context, ControlConfig config);

    /// Sets the address to which callers connect. Call it before start(), once the port is known.
    void setAddress(const std::string &address) { m_membership.setAddress(address); }
    /// Joins the fleet and starts the periodic tasks of the control part.
    void start();
    void onPeerMessage(const std::string &peerAddress, PeerMessage message);
    /// @return the hello message for a new connection to a peer
    PeerHello hello(PeerPlane plane) const;

    /// First step of a planned stop: peers no longer list this daemon and take over its searchers,
    /// while it still serves callers that use an older list.
    void beginLeaving();
    /// Last step of a planned stop: announces to peers that this daemon has stopped.
    void finishLeaving();

    void fill(Gossip &gossip) override;
    void onGossip(const std::string &peerAddress, const Gossip &gossip) override;
    ControlStatus status() const override;

private:
    /// State of one rule as it was last reported.
    struct RuleProgress
    {
        RuleState state = RuleState::InProgress;
        /// When the rule entered this state.
        WallTime since{};
        std::string reason;
    };

    // Called by the replica and for peer messages.
    void onObject(const StoredObject &object);
    void onRules(const StoredObject &object);
    void onHosts(const StoredObject &object);
    void onCatalog(const StoredObject &object);
    void onMembersChanged();
    void onPull(const std::string &peerAddress, const PeerObjectPull &pull);
    void onPush(const PeerObjectPush &push);
    void onReports(const PeerUpstreamReports &reports);

    /// Marks the rules as known although no rules object exists.
    void markRulesKnown();
    void pushToPeers(const StoredObject &object);
    std::vector<std::string> presentPeers() const;
    bool shouldWatchStore() const;
    void updateWatcher();
    /// Requests all configuration objects from peers, periodically until the configuration is
    /// complete.
    void requestFullCopy();

    /// Schedules rebuild(), unless it is scheduled already.
    void requestRebuild();
    /// Builds a routing snapshot and publishes it.
    void rebuild();
    /// Detects changed upstream states and reports them to peers, now and at each interval.
    void pollUpstreams();
    void sendReports(const std::string &peerAddress, const std::vector<UpstreamReport> &reports);
    /// Reports of the searchers that this daemon sends requests to directly.
    std::vector<UpstreamReport> ownReports() const;
    /// True once this daemon's zone has been out of service for longer than callers' lists are
    /// valid, so that no caller with a valid list is refused.
    bool mustRefuseNewWork() const;

    /// Updates all rollouts and the traffic shares of their versions, now and at each interval.
    void startRollouts();
    void stepRollouts();
    /// Creates the counters of services with a rollout and removes those of other services.
    void updateServiceCounters();
    std::vector<AnswerCounts> ownAnswerCounts() const;
    std::vector<VersionShare> sharesOf(const std::string &service) const;
    /// True if each shard of the service has a replica with the version.
    bool isServedEverywhere(const std::string &service, const std::string &version) const;

    void updateStatus();
    void startStatus();
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
    /// Incarnation at the start of this process. Peers detect by it that the answer counts
    /// restarted from zero.
    std::uint64_t m_startIncarnation = 0;
    /// When this daemon's zone was taken out of service; empty while it is in service.
    std::optional<TimePoint> m_zoneOutSince;
    /// Searcher states that were last used for routing and, if owned, sent to peers; by address.
    std::map<std::string, UpstreamReport, std::less<>> m_lastReports;
    TimePoint m_lastFullReport{};
    /// Version of the rules object that each peer holds, by peer address.
    std::map<std::string, std::uint64_t, std::less<>> m_peerRules;
    std::map<std::string, RuleProgress, std::less<>> m_ruleProgress;
    std::vector<std::string> m_knownPeers;

    mutable std::mutex m_statusMutex;
    std::shared_ptr<const ControlStatus> m_status;
};

} // namespace geraniumcart
