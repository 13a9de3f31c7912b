#include "process/rollout_recorder_p.h"

#include <catch2/catch.hpp>

#include <geraniumcart/manual_timer_service.h>
#include <geraniumcart/memory_object_store.h>

#include <functional>

using namespace geraniumcart;
using namespace std::chrono_literals;

namespace {

constexpr Duration Step = 200ms;
constexpr const char *Key = "status/move/lend-front";
const WallTime SetTime{std::chrono::hours(24 * 365 * 50 + 1)};

RuleSet rulesWith(const std::string &version, WallTime by)
{
    RuleSet rules;
    rules.rollouts = {RolloutRule{"lend-front", version, by, {1, "catalogue: test"}}};
    return rules;
}

RolloutRecord recordOf(const std::string &version, WallTime by, RolloutPhase state,
                       std::uint64_t rulesVersion)
{
    return {"lend-front", version, by, state, "earlier", rulesVersion};
}

/// Daemon with its own store, lease and rollout.
struct Daemon
{
    Daemon()
        : store(timers)
        , lease({"moves", "a", 1}, store, timers)
        , rollout({}, timers)
        , recorder(lease, store, timers, rollout)
    {
    }
    void run(Duration length)
    {
        for (Duration spent{}; spent < length; spent += Step) {
            timers.advance(Step);
            recorder.step(rulesVersion);
        }
    }
    /// Record in the store, or nothing if there is none or it is invalid.
    std::optional<RolloutRecord> stored()
    {
        const auto object = store.objects().find(Key);
        return object ? parseRolloutRecord(object->value) : std::nullopt;
    }
    void rollBack() { rollout.applyStop({"lend-front", "v42", SetTime, "answers failed"}); }
    void complete() { rollout.applyCompletion("lend-front", "v42", SetTime); }

    ManualTimerService timers;
    MemoryObjectStore store;
    LeaseKeeper lease;
    Rollout rollout;
    RolloutRecorder recorder;
    std::uint64_t rulesVersion = 7;
};

} // namespace

// Guards against a finished rollout without a record, after lost store calls or an outage; against
// a record that an earlier rule or a daemon without the lease overwrites; and against writes that
// continue after one was confirmed.
TEST_CASE("A finished rollout is recorded until the write is confirmed", "[rollout-recorder]")
{
    struct Row
    {
        const char *failure;
        bool isHolder;
        /// Record in the store at the start, if any.
        std::optional<RolloutRecord> before;
        std::function<void(Daemon &)> act;
        std::optional<RolloutPhase> expected;
        const char *reason;
        std::string version = "v42";
    };
    const Row row = GENERATE(values<Row>({
            {"a rolled back rollout is not recorded",
             true,
             {},
             &Daemon::rollBack,
             RolloutPhase::RolledBack,
             "answers failed"},
            {"a completed rollout is not recorded",
             true,
             {},
             &Daemon::complete,
             RolloutPhase::Done,
             "all traffic on the new version"},
            {"a rollout in progress is recorded", true, {}, [](Daemon &) {}, {}, ""},
            {"a daemon without the lease records", false, {}, &Daemon::rollBack, {}, ""},
            {"a rollout that is rolled back after completion stays recorded as completed",
             true,
             {},
             [](Daemon &daemon) {
                 daemon.complete();
                 daemon.run(2s);
                 daemon.rollBack();
             },
             RolloutPhase::RolledBack,
             "answers failed"},
            {"the record of a rolled back rollout becomes completed", true,
             recordOf("v42", SetTime, RolloutPhase::RolledBack, 5), &Daemon::complete,
             RolloutPhase::RolledBack, "earlier"},
            {"the record of an earlier rule is not replaced", true,
             recordOf("v41", SetTime + 1h, RolloutPhase::Done, 5), &Daemon::rollBack,
             RolloutPhase::RolledBack, "answers failed"},
            {"the record of a later rule is overwritten", true,
             recordOf("v43", SetTime - 1h, RolloutPhase::Done, 9), &Daemon::rollBack,
             RolloutPhase::Done, "earlier", "v43"},
            {"a lost answer leads to no record",
             true,
             {},
             [](Daemon &daemon) {
                 daemon.store.loseAnswers(2);
                 daemon.rollBack();
             },
             RolloutPhase::RolledBack,
             "answers failed"},
            {"a lost request leads to no record",
             true,
             {},
             [](Daemon &daemon) {
                 daemon.store.loseRequests(2);
                 daemon.rollBack();
             },
             RolloutPhase::RolledBack,
             "answers failed"},
            {"an outage of the store leads to no record",
             true,
             {},
             [](Daemon &daemon) {
                 daemon.store.setOutage(StoreOutage::Refusing);
                 daemon.rollBack();
                 daemon.run(30s);
                 daemon.store.setOutage(StoreOutage::None);
             },
             RolloutPhase::RolledBack,
             "answers failed"},
    }));
    CAPTURE(row.failure);
    Daemon daemon;
    daemon.rollout.configure(rulesWith("v42", SetTime));
    daemon.lease.setActive(row.isHolder);
    daemon.run(1s);
    REQUIRE(daemon.lease.isHeld() == row.isHolder);
    if (row.before)
        daemon.store.objects().write(Key, formatRolloutRecord(*row.before));
    row.act(daemon);
    daemon.run(10s);
    const auto stored = daemon.stored();
    REQUIRE(stored.has_value() == row.expected.has_value());
    if (!stored)
        return;
    CHECK(stored->state == *row.expected);
    CHECK(stored->reason == row.reason);
    CHECK(stored->version == row.version);
    // A confirmed record must not be written again.
    const auto version = daemon.store.objects().find(Key)->version;
    daemon.run(10s);
    CHECK(daemon.store.objects().find(Key)->version == version);
}

// Guards against a daemon that starts after the end of a rollout and ignores its record, or that
// applies the record of another rule.
TEST_CASE("A daemon that starts later applies the record of a finished rollout",
          "[rollout-recorder]")
{
    struct Row
    {
        const char *failure;
        RolloutRecord record;
        bool isRecordFirst;
        RolloutPhase expected;
    };
    const auto row = GENERATE(values<Row>({
            {"a rolled back version gets traffic again",
             recordOf("v42", SetTime, RolloutPhase::RolledBack, 7), false,
             RolloutPhase::RolledBack},
            {"a completed rollout starts again", recordOf("v42", SetTime, RolloutPhase::Done, 7),
             false, RolloutPhase::Done},
            {"a record that is received before its rule is lost",
             recordOf("v42", SetTime, RolloutPhase::RolledBack, 7), true, RolloutPhase::RolledBack},
            {"a record for another set time ends the rollout",
             recordOf("v42", SetTime - 1h, RolloutPhase::RolledBack, 5), false,
             RolloutPhase::InProgress},
            {"a record for another version ends the rollout",
             recordOf("v41", SetTime, RolloutPhase::Done, 5), true, RolloutPhase::InProgress},
    }));
    CAPTURE(row.failure);
    Daemon daemon;
    const StoredObject object{Key, 20, formatRolloutRecord(row.record)};
    if (row.isRecordFirst)
        daemon.recorder.onRecord(object);
    daemon.rollout.configure(rulesWith("v42", SetTime));
    if (!row.isRecordFirst)
        daemon.recorder.onRecord(object);
    daemon.run(1s);
    CHECK(daemon.rollout.statuses().front().state == row.expected);
}

// Guards against an invalid object, written by another program, that ends a rollout or stops the
// daemon.
TEST_CASE("An invalid rollout record is ignored", "[rollout-recorder]")
{
    const char *value = GENERATE(
            "", "[]", "{}", R"({"service":"lend-front","version":"v42","state":"takenBack"})",
            R"({"service":"lend-front","version":"v42","state":"inProgress","reason":"",)"
            R"("bySeconds":1576803600,"rulesVersion":7})",
            R"({"service":"other","version":"v42","state":"takenBack","reason":"",)"
            R"("bySeconds":1576803600,"rulesVersion":7})");
    CAPTURE(value);
    Daemon daemon;
    daemon.rollout.configure(rulesWith("v42", SetTime));
    daemon.recorder.onRecord({Key, 20, value});
    daemon.run(1s);
    CHECK(daemon.rollout.statuses().front().state == RolloutPhase::InProgress);
}
