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

/// How a rollout stands, as the store tells.
enum class RolloutState : std::uint8_t {
    /// Nothing was recorded yet.
    Ordered,
    InService,
    /// All traffic is on the new version; the old searchers stop at once.
    Completed,
    /// The new version gets nothing; its searchers leave.
    RolledBack,
};
const char *toString(RolloutState state);

/// An operator's order to move a service to searchers of another version.
struct RolloutOrder
{
    std::string service;
    std::string version;
    /// Time from the order until all traffic shall have moved.
    Duration duration{};
    RolloutState state = RolloutState::Ordered;
    /// When the move is due, as the daemon that recorded its start saw it.
    std::optional<WallTime> dueAt;
    /// Version of the stored object, on which the next record is conditional.
    std::uint64_t revision = 0;
};

/// Hears of the orders, from wherever they are kept. Calls come on the control thread.
class RolloutListener
{
public:
    virtual ~RolloutListener() = default;
    virtual void onRollout(const RolloutOrder &order) = 0;
    virtual void onRolloutGone(const std::string &service) = 0;
};

/// Moves the traffic of services to new versions, as ordered. Every daemon divides its own requests
/// on the counts of all daemons, which ride on heartbeats, and stops a bad version by itself; the
/// daemons that follow the store record how the move stands. Belongs to the control thread.
class FleetRollouts final : public RolloutListener, public GossipExchange
{
public:
    struct Callbacks
    {
        /// Records @p order with its new state, unless the stored object has changed since.
        std::function<void(const RolloutOrder &order)> record;
        /// True on the daemons that follow the store.
        std::function<bool()> isRecorder;
    };

    /// @param incarnation tells starts of this daemon apart; grows with each
    FleetRollouts(std::string self, std::uint64_t incarnation, TimerService &timers,
                  ServingViewBuilder &view, Callbacks callbacks);

    void onRollout(const RolloutOrder &order) override;
    void onRolloutGone(const std::string &service) override;
    void fill(Gossip &gossip) override;
    void onGossip(const std::string &peerAddress, const Gossip &gossip) override;

private:
    struct Entry
    {
        RolloutOrder order;
        /// When the move is due, for daemons that start later.
        WallTime by{};
        /// The same by this daemon's steady clock, as of the first sight of the order.
        TimePoint dueAt{};
        /// Since when the store tells the order's state.
        TimePoint stateSince{};
        TimePoint lastRecord{};
        std::uint64_t oldAnswers = 0;
        /// Since when the old versions have answered nothing.
        TimePoint oldQuietSince{};
    };

    void configure();
    void step();
    void stepEntry(Entry &entry);
    void record(Entry &entry, RolloutState state, const std::string &reason);
    bool isOldQuiet(Entry &entry);
    void divideRequests();
    /// @return nothing where all versions are alike
    std::optional<VersionDivision> divisionOf(const Entry &entry);
    const RolloutStatus *statusOf(const std::string &service) const;

    const std::string m_self;
    std::uint64_t m_incarnation;
    TimerService &m_timers;
    ServingViewBuilder &m_view;
    Callbacks m_callbacks;
    Rollout m_rollout;
    std::map<std::string, Entry, std::less<>> m_entries;
    std::vector<RolloutStatus> m_statuses;
    ServiceCounters m_counters;
    /// First of the rows that the next heartbeat carries.
    std::size_t m_nextRow = 0;
    bool m_isStepping = false;
};

} // namespace geraniumcart
