#include <catch2/catch.hpp>

#include <geraniumcart/manual_timer_service.h>
#include <geraniumcart/memory_object_store.h>

#include <functional>
#include <string>
#include <vector>

using namespace geraniumcart;
using namespace std::chrono_literals;

namespace {

/// Number of times that a callback ran, and its last result.
struct CallResult
{
    int calls = 0;
    std::uint64_t version = 0;
    StoreError error = StoreError::None;
};

ObjectStore::PutCallback recordPut(CallResult &result)
{
    return [&result](std::optional<std::uint64_t> version, StoreError error) {
        ++result.calls;
        result.version = version.value_or(0);
        result.error = error;
    };
}

ObjectStore::GetCallback recordGet(CallResult &result)
{
    return [&result](std::optional<StoredObject> object, StoreError error) {
        ++result.calls;
        result.version = object ? object->version : 0;
        result.error = error;
    };
}

using Fault = std::function<void(MemoryObjectStore &)>;

} // namespace

// Guards against injected faults with a wrong result: a write that took effect but is reported as
// failed, or the reverse, and calls that end early, twice or never.
TEST_CASE("a write under a fault ends once, with the correct result")
{
    const auto [failure, fault, endsAfter, error, takesEffectAfter] =
            GENERATE(table<const char *, Fault, std::chrono::milliseconds, StoreError,
                           std::optional<std::chrono::milliseconds>>({
                    {"a healthy store loses a write", [](auto &) {}, 0ms, StoreError::None, 0ms},
                    {"a refused write is reported as possibly effective",
                     [](auto &store) { store.setOutage(StoreOutage::Refusing); }, 0ms,
                     StoreError::Unavailable, std::nullopt},
                    {"an unanswered write is reported as certainly without effect",
                     [](auto &store) { store.setOutage(StoreOutage::Silent); }, StoreCallTimeout,
                     StoreError::Unknown, std::nullopt},
                    {"a write whose answer is lost is reported as certainly without effect",
                     [](auto &store) { store.loseAnswers(1); }, 0ms, StoreError::Unknown, 0ms},
                    {"a write whose request is lost takes effect",
                     [](auto &store) { store.loseRequests(1); }, 0ms, StoreError::Unknown,
                     std::nullopt},
                    {"a slow write is answered before its delay",
                     [](auto &store) { store.setDelay(40ms); }, 40ms, StoreError::None, 40ms},
                    {"a write slower than the limit never ends or has no effect",
                     [](auto &store) { store.setDelay(3s); }, StoreCallTimeout, StoreError::Unknown,
                     3000ms},
            }));
    INFO(failure);

    ManualTimerService timers;
    MemoryObjectStore store(timers);
    fault(store);
    CallResult result;
    store.put("rules", 0, "text", recordPut(result));
    CHECK(result.calls == 0);
    if (endsAfter > 0ms) {
        timers.advance(endsAfter - 1ms);
        CHECK(result.calls == 0);
        timers.advance(1ms);
    }
    timers.advance(0ms);
    CHECK(result.calls == 1);
    CHECK(result.error == error);

    const auto isEffectiveAtEnd = takesEffectAfter && *takesEffectAfter <= endsAfter;
    CHECK(store.objects().find("rules").has_value() == isEffectiveAtEnd);
    timers.advance(10s);
    CHECK(result.calls == 1);
    CHECK(store.objects().find("rules").has_value() == takesEffectAfter.has_value());
}

// Guards against reads that report any other error than Unavailable when there is no answer.
TEST_CASE("a read under a fault ends once, as unavailable")
{
    const auto [failure, fault, endsAfter] =
            GENERATE(table<const char *, Fault, std::chrono::milliseconds>({
                    {"a refused read does not end at once",
                     [](auto &store) { store.setOutage(StoreOutage::Refusing); }, 0ms},
                    {"an unanswered read never ends",
                     [](auto &store) { store.setOutage(StoreOutage::Silent); }, StoreCallTimeout},
                    {"a read slower than the limit never ends",
                     [](auto &store) { store.setDelay(1h); }, StoreCallTimeout},
            }));
    INFO(failure);

    ManualTimerService timers;
    MemoryObjectStore store(timers);
    store.objects().write("rules", "text");
    fault(store);
    CallResult result;
    CallResult listed;
    store.get("rules", recordGet(result));
    store.list("r", [&](auto, StoreError error) {
        ++listed.calls;
        listed.error = error;
    });
    timers.advance(endsAfter);
    CHECK(result.calls == 1);
    CHECK(result.error == StoreError::Unavailable);
    CHECK(listed.calls == 1);
    CHECK(listed.error == StoreError::Unavailable);
    timers.advance(2h);
    CHECK(result.calls == 1);
}

// Guards against watches that miss a change, end twice, or stay pending during an outage.
TEST_CASE("a watch ends once")
{
    using Event = std::function<void(MemoryObjectStore &)>;
    const auto [failure, event, error, version] =
            GENERATE(table<const char *, Event, StoreError, std::uint64_t>({
                    {"a change is missed",
                     [](auto &store) { store.objects().write("rules", "new"); }, StoreError::None,
                     2},
                    {"another object's change ends the watch",
                     [](auto &store) { store.objects().write("hosts", "{}"); },
                     StoreError::NotFound, 0},
                    {"a removal ends the watch as a change",
                     [](auto &store) {
                         StoreError ignored{};
                         store.objects().remove("rules", 1, ignored);
                     },
                     StoreError::NotFound, 0},
                    {"two changes end the watch twice",
                     [](auto &store) {
                         store.objects().write("rules", "new");
                         store.objects().write("rules", "newer");
                     },
                     StoreError::None, 2},
                    {"the watch stays pending during an outage",
                     [](auto &store) { store.setOutage(StoreOutage::Refusing); },
                     StoreError::Unavailable, 0},
                    {"a watch without an answer is reported as without a change",
                     [](auto &store) {
                         store.setOutage(StoreOutage::Silent);
                         store.objects().write("rules", "new");
                     },
                     StoreError::Unavailable, 0},
            }));
    INFO(failure);

    ManualTimerService timers;
    MemoryObjectStore store(timers);
    store.objects().write("rules", "old");
    CallResult result;
    store.watch("rules", 1, 10s, recordGet(result));
    timers.advance(1s);
    CHECK(result.calls == 0);
    event(store);
    timers.advance(20s);
    CHECK(result.calls == 1);
    CHECK(result.error == error);
    CHECK(result.version == version);
}

// Guards against a version that repeats after an object was removed and created again: a write that
// expects the old object would then succeed.
TEST_CASE("a write that expects an old version fails after removal and re-creation")
{
    ManualTimerService timers;
    const auto objects = std::make_shared<MemoryObjects>();
    MemoryObjectStore client(timers, objects);
    const std::uint64_t oldVersion = objects->write("leases/rollout", "a");
    StoreError error{};
    REQUIRE(objects->remove("leases/rollout", oldVersion, error));
    REQUIRE(objects->put("leases/rollout", 0, "b", error));
    CallResult result;
    client.put("leases/rollout", oldVersion, "a again", recordPut(result));
    timers.advance(0ms);
    CHECK(result.error == StoreError::Conflict);
    CHECK(objects->find("leases/rollout")->value == "b");
}

// Guards against callbacks of a client that was destroyed, and against an outage of one client that
// affects another.
TEST_CASE("stores on the same objects have separate faults and lifetimes")
{
    ManualTimerService timers;
    const auto objects = std::make_shared<MemoryObjects>();
    MemoryObjectStore healthy(timers, objects);
    CallResult dropped;
    CallResult refused;
    CallResult stored;
    CallResult watched;
    MemoryObjectStore refusing(timers, objects);
    refusing.setOutage(StoreOutage::Refusing);
    refusing.get("a", recordGet(refused));
    {
        MemoryObjectStore destroyed(timers, objects);
        destroyed.get("a", recordGet(dropped));
        destroyed.watch("a", 0, 1s, recordGet(dropped));
    }
    healthy.watch("a", 0, 1s, recordGet(watched));
    healthy.put("a", 0, "x", recordPut(stored));
    timers.advance(5s);
    CHECK(dropped.calls == 0);
    CHECK(refused.error == StoreError::Unavailable);
    CHECK(stored.version == 1);
    CHECK(watched.version == 1);
    CHECK(healthy.calls() == StoreCalls{0, 1, 1});
}
