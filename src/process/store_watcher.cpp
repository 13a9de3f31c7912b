#include "process/store_watcher_p.h"

#include <algorithm>

namespace geraniumcart {

namespace {

/// Longest time that one watch call waits for a change.
constexpr std::chrono::seconds WatchWait{20};
/// Interval at which each prefix is listed to find new keys.
constexpr std::chrono::seconds ListInterval{2};
/// Pause before a failed call is repeated. It doubles up to the maximum, so that the store does not
/// receive a burst of retries when it returns from an outage.
constexpr std::chrono::milliseconds FirstRetryDelay{100};
constexpr std::chrono::milliseconds MaxRetryDelay{2000};
constexpr std::uint32_t MaxDoublings = 5;

} // namespace

StoreWatcher::StoreWatcher(ObjectStore &store, TimerService &timers, ConfigReplica &replica)
    : m_store(store)
    , m_timers(timers)
    , m_replica(replica)
{
}

StoreWatcher::~StoreWatcher() = default;

void StoreWatcher::later(Duration delay, std::function<void()> action)
{
    m_timers.schedule(delay, [alive = std::weak_ptr(m_alive), action = std::move(action)] {
        if (!alive.expired())
            action();
    });
}

void StoreWatcher::follow(const std::string &key)
{
    m_keys.try_emplace(key);
    if (m_active)
        watchKey(key);
}

void StoreWatcher::followPrefix(const std::string &prefix)
{
    m_prefixes.push_back(prefix);
    if (m_active)
        listPrefix(prefix);
}

void StoreWatcher::setActive(bool active)
{
    if (active == m_active)
        return;
    m_active = active;
    m_hasListed = m_prefixes.empty();
    if (!active)
        return;
    for (auto &[key, watched] : m_keys)
        watched.isAnswered = false;
    for (const auto &[key, watched] : m_keys)
        watchKey(key);
    for (const std::string &prefix : m_prefixes)
        listPrefix(prefix);
}

bool StoreWatcher::hasCaughtUp() const
{
    return m_active && m_hasListed &&
           std::all_of(m_keys.begin(), m_keys.end(),
                       [](const auto &entry) { return entry.second.isAnswered; });
}

void StoreWatcher::watchKey(const std::string &key)
{
    WatchedKey &watched = m_keys[key];
    if (!m_active || watched.isCallPending)
        return;
    watched.isCallPending = true;
    auto callback = [this, key, alive = std::weak_ptr(m_alive)](std::optional<StoredObject> object,
                                                                StoreError error) {
        if (!alive.expired())
            onWatched(key, std::move(object), error);
    };
    // The first call reads the current object instead of watching it, so that an object that does
    // not exist yet does not delay hasCaughtUp() by the duration of a watch.
    if (watched.isAnswered)
        m_store.watch(key, m_replica.versionOf(key), WatchWait, std::move(callback));
    else
        m_store.get(key, std::move(callback));
}

void StoreWatcher::onWatched(const std::string &key, std::optional<StoredObject> object,
                             StoreError error)
{
    WatchedKey &watched = m_keys[key];
    watched.isCallPending = false;
    const bool reached = object || error == StoreError::NotFound;
    recordReachability(reached);
    if (!reached) {
        later(retryDelay(), [this, key] { watchKey(key); });
        return;
    }
    watched.isAnswered = true;
    const auto watchAgain = [this, key] { watchKey(key); };
    try {
        if (object)
            m_replica.offer(std::move(*object));
    } catch (...) {
        // The value is not held, so that the next call returns it again without a wait.
        later(retryDelay(), watchAgain);
        throw;
    }
    later(Duration::zero(), watchAgain);
}

void StoreWatcher::listPrefix(const std::string &prefix)
{
    if (!m_active)
        return;
    m_store.list(prefix, [this, prefix, alive = std::weak_ptr(m_alive)](
                                 std::optional<std::vector<ObjectVersion>> keys, StoreError) {
        if (alive.expired())
            return;
        recordReachability(keys.has_value());
        later(keys ? Duration(ListInterval) : retryDelay(), [this, prefix] { listPrefix(prefix); });
        if (!keys)
            return;
        m_hasListed = true;
        for (const ObjectVersion &entry : *keys)
            follow(entry.key);
    });
}

Duration StoreWatcher::retryDelay()
{
    const std::uint32_t doublings = std::min(m_failures, MaxDoublings);
    return std::min<Duration>(FirstRetryDelay * (1u << doublings), MaxRetryDelay);
}

void StoreWatcher::recordReachability(bool reachable)
{
    m_reachable = reachable;
    m_failures = reachable ? 0 : m_failures + 1;
}

} // namespace geraniumcart
