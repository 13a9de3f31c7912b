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

/// Follows objects in the store and offers each new version to the replica. Every waiting watch
/// costs the store one call, so only a few daemons run one; setActive() says whether this one does.
class StoreWatcher
{
public:
    StoreWatcher(ObjectStore &store, TimerService &timers, ConfigReplica &replica);
    ~StoreWatcher();

    /// Follows one key.
    void follow(const std::string &key);
    /// Follows all keys with a prefix; new ones are found by listing.
    void followPrefix(const std::string &prefix);
    void setActive(bool active);
    bool isActive() const { return m_active; }
    /// True once the store has answered for every followed key since setActive(true).
    bool hasCaughtUp() const;
    /// True while the last call was answered.
    bool isStoreReachable() const { return m_reachable; }

private:
    struct Subject
    {
        bool waiting = false;
        bool answered = false;
    };

    void watchKey(const std::string &key);
    void onWatched(const std::string &key, std::optional<StoredObject> object, StoreError error);
    void listPrefix(const std::string &prefix);
    void later(Duration delay, std::function<void()> action);
    Duration retryDelay();
    void noteReachable(bool reachable);

    ObjectStore &m_store;
    TimerService &m_timers;
    ConfigReplica &m_replica;
    std::map<std::string, Subject> m_subjects;
    std::vector<std::string> m_prefixes;
    bool m_active = false;
    bool m_reachable = false;
    bool m_listed = false;
    std::uint32_t m_failures = 0;
    /// Callbacks of the store may come after this object has gone.
    std::shared_ptr<char> m_alive = std::make_shared<char>();
};

} // namespace geraniumcart
