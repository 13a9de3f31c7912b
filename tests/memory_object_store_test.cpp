#include <catch2/catch.hpp>

#include <geraniumcart/manual_timer_service.h>
#include <geraniumcart/memory_object_store.h>

#include <functional>
#include <string>
#include <vector>

using namespace geraniumcart;
using namespace std::chrono_literals;

namespace {

struct Seen
{
    int calls = 0;
    std::uint64_t version = 0;
    StoreError error = StoreError::None;
};

ObjectStore::PutCallback into(Seen &seen)
{
    return [&seen](std::optional<std::uint64_t> version, StoreError error) {
        ++seen.calls;
        seen.version = version.value_or(0);
        seen.error = error;
    };
}

ObjectStore::GetCallback intoGet(Seen &seen)
{
    return [&seen](std::optional<StoredObject> object, StoreError error) {
        ++seen.calls;
        seen.version = object ? object->version : 0;
        seen.error = error;
    };
}

using Fault = std::function<void(MemoryObjectStore &)>;

} // namespace

// Guards against faults that end a call wrongly: a write reported as not taken that took effect,
// or the other way round, and calls that end early, twice or never.
TEST_CASE("a write under a fault ends once, with a true result")
{
    const auto [failure, fault, endsAfter, error, takesEffectAfter] =
            GENERATE(table<const char *, Fault, std::chrono::milliseconds, StoreError,
                           std::optional<std::chrono::milliseconds>>({
                    {"a healthy store loses a write", [](auto &) {}, 0ms, StoreError::None, 0ms},
                    {"a refused write is reported as possibly done",
                     [](auto &store) { store.setOutage(StoreOutage::Refusing); }, 0ms,
                     StoreError::Unavailable, std::nullopt},
                    {"an unanswered write is reported as not done",
                     [](auto &store) { store.setOutage(StoreOutage::Silent); }, StoreCallLimit,
                     StoreError::Unknown, std::nullopt},
                    {"a lost answer is reported as not done",
                     [](auto &store) { store.loseAnswers(1); }, 0ms, StoreError::Unknown, 0ms},
                    {"a lost request takes effect", [](auto &store) { store.loseRequests(1); }, 0ms,
                     StoreError::Unknown, std::nullopt},
                    {"a slow write is answered early", [](auto &store) { store.setDelay(40ms); },
                     40ms, StoreError::None, 40ms},
                    {"a write slower than the limit never ends or has no effect",
                     [](auto &store) { store.setDelay(3s); }, StoreCallLimit, StoreError::Unknown,
                     3000ms},
            }));
    INFO(failure);

    ManualTimerService timers;
    MemoryObjectStore store(timers);
    fault(store);
    Seen seen;
    store.put("rules", 0, "text", into(seen));
    CHECK(seen.calls == 0);
    if (endsAfter > 0ms) {
        timers.advance(endsAfter - 1ms);
        CHECK(seen.calls == 0);
        timers.advance(1ms);
    }
    timers.advance(0ms);
    CHECK(seen.calls == 1);
    CHECK(seen.error == error);

    const auto effectNow = takesEffectAfter && *takesEffectAfter <= endsAfter;
    CHECK(store.objects().find("rules").has_value() == effectNow);
    timers.advance(10s);
    CHECK(seen.calls == 1);
    CHECK(store.objects().find("rules").has_value() == takesEffectAfter.has_value());
}

// Guards against reads that report anything but Unavailable when no answer came.
TEST_CASE("a read under a fault ends once, as unavailable")
{
    const auto [failure, fault, endsAfter] =
            GENERATE(table<const char *, Fault, std::chrono::milliseconds>({
                    {"a refused read waits",
                     [](auto &store) { store.setOutage(StoreOutage::Refusing); }, 0ms},
                    {"an unanswered read never ends",
                     [](auto &store) { store.setOutage(StoreOutage::Silent); }, StoreCallLimit},
                    {"a read slower than the limit never ends",
                     [](auto &store) { store.setDelay(1h); }, StoreCallLimit},
            }));
    INFO(failure);

    ManualTimerService timers;
    MemoryObjectStore store(timers);
    store.objects().write("rules", "text");
    fault(store);
    Seen seen;
    Seen listed;
    store.get("rules", intoGet(seen));
    store.list("r", [&](auto, StoreError error) {
        ++listed.calls;
        listed.error = error;
    });
    timers.advance(endsAfter);
    CHECK(seen.calls == 1);
    CHECK(seen.error == StoreError::Unavailable);
    CHECK(listed.calls == 1);
    CHECK(listed.error == StoreError::Unavailable);
    timers.advance(2h);
    CHECK(seen.calls == 1);
}

// Guards against watches that miss a change, end twice, or hang over an outage.
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
                    {"a removal is taken for a change",
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
                    {"an outage leaves the watch hanging",
                     [](auto &store) { store.setOutage(StoreOutage::Refusing); },
                     StoreError::Unavailable, 0},
                    {"a silent outage is taken for no change",
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
    Seen seen;
    store.watch("rules", 1, 10s, intoGet(seen));
    timers.advance(1s);
    CHECK(seen.calls == 0);
    event(store);
    timers.advance(20s);
    CHECK(seen.calls == 1);
    CHECK(seen.error == error);
    CHECK(seen.version == version);
}

// Guards against a version that repeats after an object was removed and created again, which would
// let a write conditional on the old object pass.
TEST_CASE("a paused writer's condition fails after removal and re-creation")
{
    ManualTimerService timers;
    const auto objects = std::make_shared<MemoryObjects>();
    MemoryObjectStore paused(timers, objects);
    const std::uint64_t held = objects->write("leases/rollout", "a");
    StoreError error{};
    REQUIRE(objects->remove("leases/rollout", held, error));
    REQUIRE(objects->put("leases/rollout", 0, "b", error));
    Seen seen;
    paused.put("leases/rollout", held, "a again", into(seen));
    timers.advance(0ms);
    CHECK(seen.error == StoreError::Conflict);
    CHECK(objects->find("leases/rollout")->value == "b");
}

// Guards against callbacks into a client that is gone, and against one client's outage reaching
// another.
TEST_CASE("stores on the same objects have separate faults and lifetimes")
{
    ManualTimerService timers;
    const auto objects = std::make_shared<MemoryObjects>();
    MemoryObjectStore healthy(timers, objects);
    Seen dropped;
    Seen refused;
    Seen stored;
    Seen watched;
    MemoryObjectStore cut(timers, objects);
    cut.setOutage(StoreOutage::Refusing);
    cut.get("a", intoGet(refused));
    {
        MemoryObjectStore gone(timers, objects);
        gone.get("a", intoGet(dropped));
        gone.watch("a", 0, 1s, intoGet(dropped));
    }
    healthy.watch("a", 0, 1s, intoGet(watched));
    healthy.put("a", 0, "x", into(stored));
    timers.advance(5s);
    CHECK(dropped.calls == 0);
    CHECK(refused.error == StoreError::Unavailable);
    CHECK(stored.version == 1);
    CHECK(watched.version == 1);
    CHECK(healthy.calls() == StoreCalls{0, 1, 1});
}
