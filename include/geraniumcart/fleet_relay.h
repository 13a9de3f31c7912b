#pragma once

#include <geraniumcart/config_spread.h>
#include <geraniumcart/fleet_roles.h>
#include <geraniumcart/member.h>
#include <geraniumcart/peer_messages.h>
#include <geraniumcart/store_calls.h>
#include <geraniumcart/timer_service.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace geraniumcart {

/// How an object was read from the store.
enum class ObjectOrigin : std::uint8_t {
    /// In a list. It may have been written before the store came back from an earlier copy.
    Listed,
    /// As a change that was made in the era of the object.
    Changed,
};

/// Position of the store. Numbers of different eras cannot be compared, see StoredObject::era.
struct StoreRevision
{
    std::uint64_t era = 0;
    std::uint64_t number = 0;
};

/// Receives the objects of the store. An object with an empty value has been deleted.
class StoredObjectListener
{
public:
    virtual ~StoredObjectListener() = default;
    /// @param object without fields that change with every heartbeat
    virtual void onStoredObject(StoredObject object, ObjectOrigin origin) = 0;
    /// Called after all keys that begin with @p prefix were read at @p revision. Older objects with
    /// that prefix that are not in @p keys have been deleted.
    /// @param isComplete false if the list may lack objects that were written before @p revision;
    /// it deletes nothing then
    virtual void onObjectList(const std::string &prefix, const std::set<std::string> &keys,
                              const StoreRevision &revision, bool isComplete) = 0;
    /// Called after each answer of the store, before the calls for its objects.
    /// @param validFor time from now after which the objects of @p kind may have changed without
    /// this daemon having been told, unless the store answers again
    /// @param isComplete false if further pages of the answer follow
    virtual void onStoreContact(StoredKind kind, Duration validFor, bool isComplete) = 0;
    /// Called after a call to the store failed or was refused.
    virtual void onStoreFailure() = 0;
};

/// Distributes the objects of the store to all daemons. A few daemons watch the store and send each
/// change to the other daemons. Their heartbeats state for how long their objects are known to be
/// current, for the kind of objects with the oldest answer. A daemon watches the store itself once
/// that time has passed for all of its watchers; it then also sends what it learns to some
/// neighbors, which the store may not answer. A daemon that starts while the store does not answer
/// requests all objects from its peers, so that it can serve without the store. A daemon whose
/// objects differ from those of its watchers asks for the difference, deletions included: a watcher
/// that has started after an object was deleted never held it, but its list shows that it is gone.
/// An object is never replaced by an older version, see isNewer(). An object that is missing after
/// the store has come back from an earlier copy may have been written since that copy: it is kept
/// for a while, in which its writer can write it again. Used on the control thread only.
class FleetRelay final : public StoredObjectListener
{
public:
    struct Callbacks
    {
        /// Called for each object that was added or replaced by a newer version. The duration is
        /// the longest time for which the store may have had this version; zero if the store has
        /// failed since the objects were last known to be current.
        std::function<void(const StoredObject &, Duration)> apply;
        /// Starts (true) or stops (false) watching the store. The number is that of the daemons
        /// that start at the same time because no watcher sends heartbeats, or 0 for a watcher.
        std::function<void(bool, std::uint32_t)> setWatching;
    };

    FleetRelay(std::string self, TimerService &timers, PeerNetwork &network, Callbacks callbacks);

    /// Starts watching the store. After a short time for discovering peers, checks regularly
    /// whether this daemon still has to watch it.
    void start();
    /// Sets the current members according to membership, this daemon included.
    void setMembers(const std::vector<Member> &members);

    void onStoredObject(StoredObject object, ObjectOrigin origin) override;
    void onObjectList(const std::string &prefix, const std::set<std::string> &keys,
                      const StoreRevision &revision, bool isComplete) override;
    void onStoreContact(StoredKind kind, Duration validFor, bool isComplete) override;
    void onStoreFailure() override;

    // Process the messages of peers.
    void onStateHeartbeat(const std::string &peerAddress, const PeerStateHeartbeat &heartbeat);
    void onPull(const std::string &peerAddress, const PeerObjectPull &pull);
    void onPush(const std::string &peerAddress, const PeerObjectPush &push);

    bool isWatching() const { return m_isWatching; }
    /// Time since the last answer of the store or the last heartbeat from a watcher. Before the
    /// first of either it counts from the clock's epoch, so it covers all of the daemon's uptime.
    Duration stateAge() const
    {
        return m_timers.now() - std::max(m_lastStateHeartbeat, m_lastContact);
    }
    /// Combined hash of all objects that have not been deleted.
    std::uint64_t digest() const { return m_digest; }
    /// Number of objects that were received with another value than the one held, and not applied
    /// because they counted as older.
    std::uint64_t refusedObjects() const { return m_refusedObjects; }
    /// Time for which all heartbeats have had another digest than this daemon; zero if the last one
    /// had the same.
    Duration differenceAge() const
    {
        return m_differsSince ? m_timers.now() - *m_differsSince : Duration::zero();
    }

private:
    /// @param source address of the peer that sent the object; empty for the store
    void offer(StoredObject object, const std::string &source);
    /// Logs the objects that were received in this turn of the event loop, one line for each
    /// source.
    void logReceived();
    /// Counts and logs an object that is not applied because @p stored counts as newer.
    void reportRefused(const StoredObject &object, const StoredObject &stored,
                       const std::string &source);
    /// Last complete list of one kind.
    struct ObjectList
    {
        StoreRevision revision;
        /// When objects of earlier eras that this list lacks count as deleted.
        TimePoint missingUntil{};
    };
    /// @return the last complete list of the kind of @p key; nullptr before the first
    const ObjectList *listOf(const std::string &key) const;
    /// @return the deletion of an object, if this daemon does not hold it although it is older than
    /// the last list of its kind. A peer that was cut off or paused, or whose watchers have
    /// restarted, may still hold it.
    std::optional<StoredObject> deletedBeforeList(const ObjectVersion &version) const;
    /// Deletes the objects that were missing when the store came back and that nobody has written
    /// again in time.
    void dropMissing();
    /// @param currentAt time at which this daemon's objects were last known to be current
    /// @return the longest time for which the store may have had a change that is learned now, see
    /// Callbacks::apply
    Duration changeAge(TimePoint currentAt) const;
    /// Asks @p peer for the difference if its heartbeats have differed for long enough.
    void onOtherDigest(const std::string &peer);
    void tick();
    /// @param substitutes see Callbacks::setWatching
    void setWatching(bool isWatching, std::uint32_t substitutes);
    /// Number of daemons that watch the store if no watcher sends heartbeats.
    std::uint32_t substitutes() const;
    void requestFromPeers();
    void sendHeartbeats();
    void sendPendingChanges();
    bool isDesignated() const;
    /// @return time for which all objects of this daemon are known to be current; zero or less if
    /// they may be outdated, or if this daemon does not watch the store
    Duration validity() const;
    /// @return true if a watcher has stated that its objects are current now
    bool hasSource() const { return m_timers.now() < m_validUntil; }
    /// Detects the loss and the return of all watchers.
    void updateIsolation();
    /// Schedules that a changed object is sent to other daemons.
    void scheduleSending(const std::string &key);

    const std::string m_self;
    TimerService &m_timers;
    PeerNetwork &m_network;
    Callbacks m_callbacks;
    ConfigReplica m_replica;
    std::vector<std::string> m_watchers;
    /// Peer addresses of the members that this daemon sends changes to if it is a watcher.
    std::vector<std::string> m_followers;
    /// Peer addresses of the members that this daemon sends changes to while it is isolated.
    std::vector<std::string> m_neighbors;
    /// Peer addresses of all other members that respond.
    std::vector<std::string> m_peers;
    /// Index into m_peers (modulo its size) of the next peer to request objects from.
    std::size_t m_nextPeer = 0;
    /// Changes that have not been sent to other daemons yet.
    std::map<std::string, StoredObject> m_pendingChanges;
    /// Keys of the latest changes, with the time at which each was received.
    std::deque<std::pair<TimePoint, std::string>> m_recentChanges;
    /// Objects that were received from one source and not logged yet.
    struct Received
    {
        std::size_t objects = 0;
        std::uint64_t newest = 0;
        std::string newestKey;
    };
    /// By source, see offer().
    std::map<std::string, Received> m_received;
    /// By prefix of the keys.
    std::map<std::string, ObjectList, std::less<>> m_lists;
    /// Keys of objects of an earlier era that the last list of their kind lacked.
    std::set<std::string> m_missing;
    std::uint64_t m_digest = 0;
    std::uint64_t m_refusedObjects = 0;
    /// Objects that were refused since the last log line about one, and time of that line.
    std::uint64_t m_refusedNotLogged = 0;
    TimePoint m_lastRefusedLog{};
    bool m_isWatching = false;
    /// True while this daemon watches in place of the watchers.
    bool m_isSubstitute = false;
    /// True if the last call to the store failed.
    bool m_hasStoreFailed = false;
    /// Time of the last failed call of this daemon or of one of its watchers.
    std::optional<TimePoint> m_lastStoreFailure;
    bool m_hasScheduledPeerRequest = false;
    /// True from the time at which the last watcher was lost until one returns. False until a
    /// daemon that starts has had a watcher.
    bool m_isIsolated = false;
    /// Consecutive heartbeats of one watcher whose digest differs from this daemon's, by its peer
    /// address.
    std::map<std::string, std::uint32_t> m_mismatches;
    /// Time of the first heartbeat with another digest since one with the same digest.
    std::optional<TimePoint> m_differsSince;
    TimePoint m_lastDifferenceLog{};
    /// Time at which the objects of each kind were last known to be current, from an answer of the
    /// store or a heartbeat with the same digest; the clock's epoch before the first.
    std::array<TimePoint, StoredKinds> m_currentAt{};
    /// See Callbacks::apply; of the objects that are being offered.
    Duration m_changeAge{};
    /// Time until which a watcher has stated that its objects are current; the clock's epoch before
    /// the first heartbeat.
    TimePoint m_validUntil{};
    /// Time until which the objects of each kind are known to be current, from the store's answers.
    std::array<TimePoint, StoredKinds> m_kindValidUntil{};
    /// Time of the last heartbeat from a watcher; the clock's epoch before the first.
    TimePoint m_lastStateHeartbeat{};
    TimePoint m_lastContact{};
    TimePoint m_lastPull{};
    TimePoint m_lastPeerRequest{};
};

} // namespace geraniumcart
