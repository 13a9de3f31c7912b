#pragma once

#include <geraniumcart/config.h>
#include <geraniumcart/object_store.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumcart {

/// Contents of an object store in memory. One version counter serves the whole store, so that an
/// object that was removed and created again never repeats a version. Belongs to one thread.
class MemoryObjects
{
public:
    using WatcherId = std::uint64_t;
    using WatchCallback = std::function<void(const StoredObject &)>;

    std::optional<StoredObject> find(std::string_view key) const;
    /// Writes if the object's version is @p expected; 0 creates it.
    /// @return the new version, or nothing with @p error set to Conflict
    std::optional<std::uint64_t> put(const std::string &key, std::uint64_t expected,
                                     std::string value, StoreError &error);
    /// Removes the object if its version is @p expected. The removal has a version of its own.
    /// @return the version of the removal, or nothing with @p error set to NotFound or Conflict
    std::optional<std::uint64_t> remove(const std::string &key, std::uint64_t expected,
                                        StoreError &error);
    /// Writes without a condition, as the platform does with its own objects.
    /// @return the new version
    std::uint64_t write(const std::string &key, std::string value);
    /// Objects whose key starts with @p prefix, ordered by key.
    std::vector<ObjectVersion> list(std::string_view prefix) const;
    /// Version of the newest write or removal; 0 before the first.
    std::uint64_t lastVersion() const { return m_lastVersion; }

    /// Calls @p callback once, inside the write that raises the object's version above @p after.
    /// A removal does not trigger it.
    WatcherId addWatcher(std::string key, std::uint64_t after, WatchCallback callback);
    void removeWatcher(WatcherId id) { m_watchers.erase(id); }

private:
    struct Stored
    {
        std::uint64_t version = 0;
        std::string value;
    };
    struct Watcher
    {
        std::string key;
        std::uint64_t after = 0;
        WatchCallback callback;
    };

    std::uint64_t versionOf(std::string_view key) const;

    std::map<std::string, Stored, std::less<>> m_objects;
    std::map<WatcherId, Watcher> m_watchers;
    std::uint64_t m_lastVersion = 0;
    WatcherId m_lastWatcher = 0;
};

/// Fault that a test injects into a store.
enum class StoreOutage : std::uint8_t {
    None,
    /// Calls fail at once as Unavailable.
    Refusing,
    /// Calls get no answer and fail at the time limit of a store call.
    Silent,
};

/// Number of calls made to a store since its construction.
struct StoreCalls
{
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t watches = 0;
    bool operator==(const StoreCalls &) const = default;
};

/// Object store in memory, for tests and embedders. Stores that share one MemoryObjects see each
/// other's writes, but each has its own faults, like daemons with separate network paths. The
/// destructor discards pending callbacks without calling them.
class MemoryObjectStore final : public ObjectStore
{
public:
    explicit MemoryObjectStore(TimerService &timers);
    /// @param objects contents, shared with other stores on the same thread
    MemoryObjectStore(TimerService &timers, std::shared_ptr<MemoryObjects> objects);
    ~MemoryObjectStore() override;
    MemoryObjectStore(const MemoryObjectStore &) = delete;
    MemoryObjectStore &operator=(const MemoryObjectStore &) = delete;

    void get(std::string key, GetCallback callback) override;
    void watch(std::string key, std::uint64_t after, Duration wait, GetCallback callback) override;
    void put(std::string key, std::uint64_t expected, std::string value,
             PutCallback callback) override;
    void remove(std::string key, std::uint64_t expected, PutCallback callback) override;
    void list(std::string prefix, ListCallback callback) override;

    /// Starts or ends an outage. A write that is pending when it starts ends as Unknown and has no
    /// effect.
    void setOutage(StoreOutage outage);
    /// Each call takes effect and is answered after @p delay. A call whose delay exceeds
    /// StoreCallTimeout fails at that limit, but a write still takes effect after the delay.
    void setDelay(Duration delay);
    /// The next @p count writes take effect and end as Unknown.
    void loseAnswers(std::uint32_t count);
    /// The next @p count writes have no effect and end as Unknown.
    void loseRequests(std::uint32_t count);

    /// Direct access to the contents, without the injected faults.
    MemoryObjects &objects() { return *m_objects; }
    const StoreCalls &calls() const { return m_calls; }

private:
    struct State;
    using Write = std::function<std::optional<std::uint64_t>(MemoryObjects &, StoreError &)>;

    void submitRead(std::function<void()> answer, std::function<void(StoreError)> fail);
    void submitWrite(Write write, PutCallback callback);
    /// Runs @p action after @p delay unless this store has been destroyed by then.
    TimerId scheduleCallback(Duration delay, std::function<void()> action);

    TimerService &m_timers;
    std::shared_ptr<MemoryObjects> m_objects;
    std::shared_ptr<State> m_state;
    StoreCalls m_calls;
};

} // namespace geraniumcart
