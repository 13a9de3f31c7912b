#include <geraniumcart/memory_object_store.h>

#include <algorithm>
#include <utility>

namespace geraniumcart {

std::optional<StoredObject> MemoryObjects::find(std::string_view key) const
{
    const auto found = m_objects.find(key);
    if (found == m_objects.end())
        return std::nullopt;
    return StoredObject{found->first, found->second.version, found->second.value};
}

std::uint64_t MemoryObjects::versionOf(std::string_view key) const
{
    const auto found = m_objects.find(key);
    return found == m_objects.end() ? 0 : found->second.version;
}

std::optional<std::uint64_t> MemoryObjects::put(const std::string &key, std::uint64_t expected,
                                                std::string value, StoreError &error)
{
    if (versionOf(key) != expected) {
        error = StoreError::Conflict;
        return std::nullopt;
    }
    error = StoreError::None;
    return write(key, std::move(value));
}

std::optional<std::uint64_t> MemoryObjects::remove(const std::string &key, std::uint64_t expected,
                                                   StoreError &error)
{
    const std::uint64_t version = versionOf(key);
    if (version == 0 || version != expected) {
        error = version == 0 ? StoreError::NotFound : StoreError::Conflict;
        return std::nullopt;
    }
    error = StoreError::None;
    m_objects.erase(key);
    return ++m_lastVersion;
}

std::uint64_t MemoryObjects::write(const std::string &key, std::string value)
{
    const std::uint64_t version = ++m_lastVersion;
    m_objects[key] = {version, value};

    // The callbacks may add watchers or write again, so they run after the iteration over
    // m_watchers.
    std::vector<WatchCallback> due;
    for (auto it = m_watchers.begin(); it != m_watchers.end();) {
        if (it->second.key == key && it->second.after < version) {
            due.push_back(std::move(it->second.callback));
            it = m_watchers.erase(it);
        } else {
            ++it;
        }
    }
    const StoredObject object{key, version, std::move(value)};
    for (const WatchCallback &callback : due)
        callback(object);
    return version;
}

std::vector<ObjectVersion> MemoryObjects::list(std::string_view prefix) const
{
    std::vector<ObjectVersion> found;
    for (auto it = m_objects.lower_bound(prefix);
         it != m_objects.end() && it->first.starts_with(prefix); ++it)
        found.push_back({it->first, it->second.version});
    return found;
}

MemoryObjects::WatcherId MemoryObjects::addWatcher(std::string key, std::uint64_t after,
                                                   WatchCallback callback)
{
    m_watchers.emplace(++m_lastWatcher, Watcher{std::move(key), after, std::move(callback)});
    return m_lastWatcher;
}

/// Injected faults and pending watches. Timers hold it weakly and do nothing once the store is
/// destroyed.
struct MemoryObjectStore::State
{
    struct Watch
    {
        MemoryObjects::WatcherId watcher = 0;
        TimerId timeout = 0;
        GetCallback callback;
    };

    StoreOutage outage = StoreOutage::None;
    Duration delay{};
    /// Number of the next writes whose answer is lost, and of those whose request is lost.
    std::uint32_t answersToLose = 0;
    std::uint32_t requestsToLose = 0;
    std::map<std::uint64_t, Watch> watches;
    std::uint64_t lastWatch = 0;
};

MemoryObjectStore::MemoryObjectStore(TimerService &timers)
    : MemoryObjectStore(timers, std::make_shared<MemoryObjects>())
{
}

MemoryObjectStore::MemoryObjectStore(TimerService &timers, std::shared_ptr<MemoryObjects> objects)
    : m_timers(timers)
    , m_objects(std::move(objects))
    , m_state(std::make_shared<State>())
{
}

MemoryObjectStore::~MemoryObjectStore()
{
    for (const auto &[id, watch] : m_state->watches) {
        m_objects->removeWatcher(watch.watcher);
        m_timers.cancel(watch.timeout);
    }
}

TimerId MemoryObjectStore::scheduleCallback(Duration delay, std::function<void()> action)
{
    return m_timers.schedule(delay,
                             [state = std::weak_ptr<State>(m_state), action = std::move(action)] {
                                 if (!state.expired())
                                     action();
                             });
}

void MemoryObjectStore::submitRead(std::function<void()> answer,
                                   std::function<void(StoreError)> fail)
{
    if (m_state->outage == StoreOutage::Refusing) {
        scheduleCallback({}, [fail] { fail(StoreError::Unavailable); });
        return;
    }
    if (m_state->outage == StoreOutage::Silent || m_state->delay > StoreCallTimeout) {
        scheduleCallback(StoreCallTimeout, [fail] { fail(StoreError::Unavailable); });
        return;
    }
    scheduleCallback(m_state->delay, [this, answer = std::move(answer), fail] {
        if (m_state->outage == StoreOutage::None)
            answer();
        else
            fail(StoreError::Unavailable);
    });
}

void MemoryObjectStore::submitWrite(Write write, PutCallback callback)
{
    ++m_calls.writes;
    const auto fail = [callback](StoreError error) { callback(std::nullopt, error); };
    if (m_state->outage == StoreOutage::Refusing) {
        scheduleCallback({}, [fail] { fail(StoreError::Unavailable); });
        return;
    }
    if (m_state->outage == StoreOutage::Silent) {
        scheduleCallback(StoreCallTimeout, [fail] { fail(StoreError::Unknown); });
        return;
    }
    const Duration delay = m_state->delay;
    const Duration answerDelay = std::min<Duration>(delay, StoreCallTimeout);
    if (m_state->requestsToLose > 0) {
        --m_state->requestsToLose;
        scheduleCallback(answerDelay, [fail] { fail(StoreError::Unknown); });
        return;
    }
    const bool losesAnswer = m_state->answersToLose > 0;
    if (losesAnswer)
        --m_state->answersToLose;
    if (losesAnswer || delay > StoreCallTimeout) {
        // The request has been sent, so it takes effect even if the client is destroyed before the
        // delay ends.
        m_timers.schedule(delay, [objects = m_objects, write = std::move(write)] {
            StoreError ignored = StoreError::None;
            write(*objects, ignored);
        });
        scheduleCallback(answerDelay, [fail] { fail(StoreError::Unknown); });
        return;
    }
    scheduleCallback(delay, [this, write = std::move(write), callback = std::move(callback)] {
        if (m_state->outage != StoreOutage::None) {
            callback(std::nullopt, StoreError::Unknown);
            return;
        }
        StoreError error = StoreError::None;
        const std::optional<std::uint64_t> version = write(*m_objects, error);
        callback(version, error);
    });
}

void MemoryObjectStore::get(std::string key, GetCallback callback)
{
    ++m_calls.reads;
    submitRead(
            [this, key = std::move(key), callback] {
                std::optional<StoredObject> object = m_objects->find(key);
                const StoreError error = object ? StoreError::None : StoreError::NotFound;
                callback(std::move(object), error);
            },
            [callback](StoreError error) { callback(std::nullopt, error); });
}

void MemoryObjectStore::list(std::string prefix, ListCallback callback)
{
    ++m_calls.reads;
    submitRead([this, prefix = std::move(prefix),
                callback] { callback(m_objects->list(prefix), StoreError::None); },
               [callback](StoreError error) { callback(std::nullopt, error); });
}

void MemoryObjectStore::put(std::string key, std::uint64_t expected, std::string value,
                            PutCallback callback)
{
    submitWrite([key = std::move(key), expected, value = std::move(value)](
                        MemoryObjects &objects,
                        StoreError &error) { return objects.put(key, expected, value, error); },
                std::move(callback));
}

void MemoryObjectStore::remove(std::string key, std::uint64_t expected, PutCallback callback)
{
    submitWrite(
            [key = std::move(key), expected](MemoryObjects &objects, StoreError &error) {
                return objects.remove(key, expected, error);
            },
            std::move(callback));
}

void MemoryObjectStore::watch(std::string key, std::uint64_t after, Duration wait,
                              GetCallback callback)
{
    ++m_calls.watches;
    if (m_state->outage == StoreOutage::Refusing) {
        scheduleCallback({}, [callback] { callback(std::nullopt, StoreError::Unavailable); });
        return;
    }
    if (m_state->outage == StoreOutage::Silent) {
        scheduleCallback(wait + StoreCallTimeout,
                         [callback] { callback(std::nullopt, StoreError::Unavailable); });
        return;
    }
    const std::uint64_t id = ++m_state->lastWatch;
    // Removes the watch from the pending ones, so that its callback runs only once.
    const auto finish = [this, id](std::optional<StoredObject> object, StoreError error) {
        const auto watch = m_state->watches.extract(id);
        if (watch.empty())
            return;
        m_objects->removeWatcher(watch.mapped().watcher);
        m_timers.cancel(watch.mapped().timeout);
        watch.mapped().callback(std::move(object), error);
    };
    State::Watch &watch = m_state->watches[id];
    watch.callback = std::move(callback);

    std::optional<StoredObject> object = m_objects->find(key);
    if (object && object->version > after) {
        watch.timeout = scheduleCallback(m_state->delay, [finish, object = std::move(object)] {
            finish(object, StoreError::None);
        });
        return;
    }
    watch.timeout =
            scheduleCallback(wait, [finish] { finish(std::nullopt, StoreError::NotFound); });
    watch.watcher = m_objects->addWatcher(
            std::move(key), after, [this, finish](const StoredObject &changed) {
                scheduleCallback(m_state->delay,
                                 [finish, changed] { finish(changed, StoreError::None); });
            });
}

void MemoryObjectStore::setOutage(StoreOutage outage)
{
    m_state->outage = outage;
    if (outage == StoreOutage::None)
        return;
    const Duration failureDelay =
            outage == StoreOutage::Refusing ? Duration::zero() : StoreCallTimeout;
    for (auto &[id, watch] : m_state->watches) {
        m_objects->removeWatcher(watch.watcher);
        m_timers.cancel(watch.timeout);
        scheduleCallback(failureDelay, [callback = std::move(watch.callback)] {
            callback(std::nullopt, StoreError::Unavailable);
        });
    }
    m_state->watches.clear();
}

void MemoryObjectStore::setDelay(Duration delay)
{
    m_state->delay = delay;
}

void MemoryObjectStore::loseAnswers(std::uint32_t count)
{
    m_state->answersToLose = count;
}

void MemoryObjectStore::loseRequests(std::uint32_t count)
{
    m_state->requestsToLose = count;
}

} // namespace geraniumcart
