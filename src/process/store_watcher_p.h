#pragma once

#include <geraniumcart/config_spread.h>
#include <geraniumcart/object_store.h>
#include <geraniumcart/timer_service.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace geraniumcart {

/// Watches objects in the store and offers each new version to the replica. Every watch keeps one
/// call to the store pending, so only a few daemons watch; setActive() controls whether this one
/// does. Failed calls are repeated with a growing pause. Belongs to the control thread.
class StoreWatcher
{
public:
    StoreWatcher(ObjectStore &store, TimerService &timers, ConfigReplica &replica);
    ~StoreWatcher();

    /// Watches one key.
    void follow(const std::string &key);
    /// Watches all keys with a prefix; new keys are found by listing them periodically.
    void followPrefix(const std::string &prefix);
    /// Starts or stops watching. After a stop, a pending call still completes.
    void setActive(bool active);
    bool isActive() const { return m_active; }
    /// True once the store has answered for every watched key since setActive(true).
    bool hasCaughtUp() const;
    /// True if the last completed call was answered.
    bool isStoreReachable() const { return m_reachable; }

private:
    struct WatchedKey
    {
        bool isCallPending = false;
        /// The store has answered a call for this key since setActive(true).
        bool isAnswered = false;
    };

    void watchKey(const std::string &key);
    void onWatched(const std::string &key, std::optional<StoredObject> object, StoreError error);
    void listPrefix(const std::string &prefix);
    /// Runs @p action after @p delay unless this object has been destroyed by then.
    void later(Duration delay, std::function<void()> action);
    Duration retryDelay();
    void recordReachability(bool reachable);

    ObjectStore &m_store;
    TimerService &m_timers;
    ConfigReplica &m_replica;
    std::map<std::string, WatchedKey> m_keys;
    std::vector<std::string> m_prefixes;
    bool m_active = false;
    bool m_reachable = false;
    bool m_hasListed = false;
    /// Failed calls since the last answer.
    std::uint32_t m_failures = 0;
    /// Callbacks of the store and of timers hold it weakly: they may run after the destructor, and
    /// then do nothing.
    std::shared_ptr<char> m_alive = std::make_shared<char>();
};

} // namespace geraniumcart
