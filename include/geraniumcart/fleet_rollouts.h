#pragma once

#include <geraniumcart/membership.h>
#include <geraniumcart/rollout.h>
#include <geraniumcart/serving_view.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace geraniumcart {

/// State of a rollout as recorded in the object store.
enum class RolloutState : std::uint8_t {
    /// The operator has ordered the rollout; no daemon has recorded its start yet.
    Ordered,
    /// A daemon has recorded the start; traffic is moving to the new version.
    InService,
    /// All traffic goes to the new version; the old searchers stop without draining.
    Completed,
    /// The new version gets no requests; its searchers stop.
    RolledBack,
};
const char *toString(RolloutState state);

/// An operator's order to move a service to searchers of another version.
struct RolloutOrder
{
    std::string service;
    std::string version;
    /// Time from the order until all traffic has to be on the new version.
    Duration duration{};
    RolloutState state = RolloutState::Ordered;
    /// When the rollout has to be complete, by the clock of the daemon that recorded its start.
    std::optional<WallTime> dueAt;
    /// Version of the stored object. The next write is conditional on it.
    std::uint64_t revision = 0;
    /// Era of the store in which it gave the revision, see StoredObject::era.
    std::uint64_t era = 0;
};

/// Receives rollout orders, independent of where they are stored. Called on the control thread.
class RolloutListener
{
public:
    virtual ~RolloutListener() = default;
    /// Called for each new order, and whenever a stored order has changed.
    virtual void onRollout(const RolloutOrder &order) = 0;
    /// Called when the order of @p service was deleted.
    /// @param era era of the store in which it was, see StoredObject::era
    virtual void onRolloutRemoved(const std::string &service, std::uint64_t era) = 0;
};

/// Moves the traffic of services to new versions, as ordered. Every daemon divides its own requests
/// between the versions by the answer counts of all daemons, which heartbeats carry, and stops
/// sending to a bad version without waiting for other daemons. The daemons that watch the store
/// record the rollout's state there. A state that the store has lost because it came back from an
/// earlier copy stays in force and is recorded again. Used on the control thread only.
class FleetRollouts final : public RolloutListener, public GossipExchange
{
public:
    struct Callbacks
    {
        /// Writes @p order with its new state to the store, on condition that the stored object has
        /// not changed since the order's revision.
        std::function<void(const RolloutOrder &order)> record;
        /// Returns true on the daemons that watch the store, which record the state of rollouts.
        std::function<bool()> isRecorder;
    };

    /// @param incarnation distinguishes starts of this daemon; increases with each start
    FleetRollouts(std::string self, std::uint64_t incarnation, TimerService &timers,
                  ServingViewBuilder &view, Callbacks callbacks);

    void onRollout(const RolloutOrder &order) override;
    void onRolloutRemoved(const std::string &service, std::uint64_t era) override;
    /// Adds answer counts of this and other daemons to an outgoing heartbeat.
    void fill(Gossip &gossip) override;
    /// Merges the answer counts of a received heartbeat.
    void onGossip(const std::string &peerAddress, const Gossip &gossip) override;

private:
    /// One ordered rollout.
    struct Entry
    {
        /// With the latest state that this daemon has known.
        RolloutOrder order;
        /// State in the store, which may be an earlier one after the store has come back from a
        /// copy.
        RolloutState storedState = RolloutState::Ordered;
        /// When the rollout has to be complete. It is recorded as wall time for daemons that start
        /// later.
        WallTime dueWallTime{};
        /// The same time on this daemon's steady clock, converted when the order was first seen.
        TimePoint dueAt{};
        /// When the order's current state was first received from the store.
        TimePoint stateSince{};
        /// When this daemon last tried to record a state.
        TimePoint lastRecordAt{};
    };

    /// End of a rollout whose order the store has lost because it came back from an earlier copy.
    struct LostEnd
    {
        std::string version;
        RolloutState state = RolloutState::RolledBack;
        /// When an order for the version counts as a new one again.
        TimePoint until{};
    };
    /// Keeps the end of the rollout of @p entry, if the store is in a later era than its order.
    void keepLostEnd(const Entry &entry, std::uint64_t era);
    /// @return the state of @p order that this daemon has known before the store lost it
    std::optional<RolloutState> lostState(const RolloutOrder &order) const;
    void configure();
    /// Schedules step() if a rollout is in progress or has to be recorded again, otherwise cancels
    /// it.
    void scheduleStep();
    void step();
    void stepEntry(Entry &entry);
    /// @return true if the store does not hold the state of @p entry
    static bool isLostInStore(const Entry &entry) { return entry.storedState != entry.order.state; }
    void record(Entry &entry, RolloutState state, const std::string &reason);
    /// Publishes how requests are divided between versions in the serving view.
    void updateDivisions();
    /// @return std::nullopt if requests are not divided between the service's versions
    std::optional<VersionDivision> divisionOf(const Entry &entry);
    /// @return null if no rollout of the service is in progress
    const RolloutStatus *statusOf(const std::string &service) const;

    const std::string m_self;
    std::uint64_t m_incarnation;
    TimerService &m_timers;
    ServingViewBuilder &m_view;
    Callbacks m_callbacks;
    Rollout m_rollout;
    std::map<std::string, Entry, std::less<>> m_entries;
    /// By service.
    std::map<std::string, LostEnd> m_lostEnds;
    std::vector<RolloutStatus> m_statuses;
    ServiceCounters m_counters;
    /// Index of the first row of answer counts in the next heartbeat.
    std::size_t m_nextRow = 0;
    /// Timer of the next step; 0 while no rollout is open.
    TimerId m_stepTimer = 0;
};

} // namespace geraniumcart
