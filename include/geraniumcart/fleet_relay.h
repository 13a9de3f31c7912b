#pragma once

#include <geraniumcart/config_spread.h>
#include <geraniumcart/member.h>
#include <geraniumcart/peer_messages.h>
#include <geraniumcart/timer_service.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace geraniumcart {

/// Names of the members that follow the store themselves, the same on every daemon that sees the
/// same members. They are spread over the availability zones; their number grows with a twelfth of
/// the fleet, so that the store's calls grow much more slowly than the fleet.
std::vector<std::string> pickWatchers(std::span<const Member> members);

/// Names of the watchers that tell @p member of changes, in order of preference.
std::vector<std::string> pickSources(const std::string &member,
                                     std::span<const std::string> watchers);

/// Receives what the store holds. An object with an empty value is gone.
class StoredObjectListener
{
public:
    virtual ~StoredObjectListener() = default;
    /// @param object without fields that change with every heartbeat
    virtual void onStoredObject(StoredObject object) = 0;
    /// A whole list was read at @p revision: other objects whose key begins with @p prefix are
    /// gone.
    virtual void onObjectList(const std::string &prefix, const std::set<std::string> &keys,
                              std::uint64_t revision) = 0;
    /// The store answered.
    virtual void onStoreContact() = 0;
    /// A call to the store failed or was refused.
    virtual void onStoreFailure() = 0;
};

/// Spreads what the store holds over all daemons. A few watch the store and tell the others of each
/// change; a daemon that hears of no watcher watches the store itself. A daemon that starts asks
/// its peers for everything, so that it can serve while the store is away. Versions never go back.
/// Belongs to the control thread.
class FleetRelay final : public StoredObjectListener
{
public:
    struct Callbacks
    {
        /// Called for each object that became newer.
        ConfigReplica::Listener apply;
        /// Starts or ends watching the store.
        std::function<void(bool)> setWatching;
    };

    FleetRelay(std::string self, TimerService &timers, PeerNetwork &network, Callbacks callbacks);

    void start();
    /// Takes the members as membership sees them, this daemon included.
    void setMembers(const std::vector<Member> &members);

    void onStoredObject(StoredObject object) override;
    void onObjectList(const std::string &prefix, const std::set<std::string> &keys,
                      std::uint64_t revision) override;
    void onStoreContact() override;
    void onStoreFailure() override { m_isStoreLost = true; }

    void onStateHeartbeat(const std::string &peerAddress, const PeerStateHeartbeat &beat);
    void onPull(const std::string &peerAddress, const PeerObjectPull &pull);
    void onPush(const PeerObjectPush &push);

    bool isWatching() const { return m_isWatching; }
    /// Time since the store or a watcher was last heard; all of the daemon's life before that.
    Duration stateAge() const
    {
        return m_timers.now() - std::max(m_lastStateHeartbeat, m_lastContact);
    }
    /// Hash of all objects that are not gone.
    std::uint64_t digest() const { return m_digest; }

private:
    void offer(StoredObject object);
    void tick();
    void setWatching(bool isWatching);
    void askPeers();
    void beat();
    void sendPendingChanges();
    bool isDesignated() const;
    bool isCurrent() const;

    const std::string m_self;
    TimerService &m_timers;
    PeerNetwork &m_network;
    Callbacks m_callbacks;
    ConfigReplica m_replica;
    std::vector<std::string> m_watchers;
    /// Peer addresses of the members that this daemon tells, if it is a watcher.
    std::vector<std::string> m_followers;
    /// Peer addresses of all members that answer.
    std::vector<std::string> m_peers;
    std::size_t m_nextAsked = 0;
    /// Changes that followers were not told of yet.
    std::map<std::string, StoredObject> m_pendingChanges;
    std::uint64_t m_digest = 0;
    bool m_isWatching = false;
    /// The last call to the store failed.
    bool m_isStoreLost = false;
    bool m_hasAskedPeers = false;
    std::uint32_t m_mismatches = 0;
    /// Last beat of a watcher; long ago before the first.
    TimePoint m_lastStateHeartbeat{};
    TimePoint m_lastContact{};
    TimePoint m_lastPull{};
    TimePoint m_lastAsked{};
};

} // namespace geraniumcart
