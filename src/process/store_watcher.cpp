#include "process/store_watcher_p.h"

#include <algorithm>

namespace geraniumcart {

namespace {

/// Longest wait of one watch call.
constexpr std::chrono::seconds WatchWait{20};
/// Interval at which prefixes are listed for new keys.
constexpr std::chrono::seconds ListInterval{2};
constexpr std::chrono::milliseconds FirstRetry{100};
/// An outage of the store must not turn into a storm of retries when it comes back.
constexpr std::chrono::milliseconds LongestRetry{2000};
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
    m_subjects.try_emplace(key);
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
    m_listed = m_prefixes.empty();
    if (!active)
        return;
    for (auto &[key, subject] : m_subjects)
        subject.answered = false;
    for (const auto &[key, subject] : m_subjects)
        watchKey(key);
    for (const std::string &prefix : m_prefixes)
        listPrefix(prefix);
}

bool StoreWatcher::hasCaughtUp() const
{
    return m_active && m_listed &&
           std::all_of(m_subjects.begin(), m_subjects.end(),
                       [](const auto &entry) { return entry.second.answered; });
}

void StoreWatcher::watchKey(const std::string &key)
{
    Subject &subject = m_subjects[key];
    if (!m_active || subject.waiting)
        return;
    subject.waiting = true;
    auto callback = [this, key, alive = std::weak_ptr(m_alive)](std::optional<StoredObject> object,
                                                                StoreError error) {
        if (!alive.expired())
            onWatched(key, std::move(object), error);
    };
    // The first call asks for what there is, so that an object that does not exist yet does not
    // hold up hasCaughtUp() for the length of a watch.
    if (subject.answered)
        m_store.watch(key, m_replica.versionOf(key), WatchWait, std::move(callback));
    else
        m_store.get(key, std::move(callback));
}

void StoreWatcher::onWatched(const std::string &key, std::optional<StoredObject> object,
                             StoreError error)
{
    Subject &subject = m_subjects[key];
    subject.waiting = false;
    const bool reached = object || error == StoreError::NotFound;
    noteReachable(reached);
    if (!reached) {
        later(retryDelay(), [this, key] { watchKey(key); });
        return;
    }
    subject.answered = true;
    if (object)
        m_replica.offer(std::move(*object));
    watchKey(key);
}

void StoreWatcher::listPrefix(const std::string &prefix)
{
    if (!m_active)
        return;
    m_store.list(prefix, [this, prefix, alive = std::weak_ptr(m_alive)](
                                 std::optional<std::vector<ObjectVersion>> keys, StoreError) {
        if (alive.expired())
            return;
        noteReachable(keys.has_value());
        if (keys) {
            m_listed = true;
            for (const ObjectVersion &entry : *keys)
                follow(entry.key);
        }
        later(keys ? Duration(ListInterval) : retryDelay(), [this, prefix] { listPrefix(prefix); });
    });
}

Duration StoreWatcher::retryDelay()
{
    const std::uint32_t doublings = std::min(m_failures, MaxDoublings);
    return std::min<Duration>(FirstRetry * (1u << doublings), LongestRetry);
}

void StoreWatcher::noteReachable(bool reachable)
{
    m_reachable = reachable;
    m_failures = reachable ? 0 : m_failures + 1;
}

} // namespace geraniumcart
