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
    std::optional<RolloutRecord> stored()
    {
        const auto object = store.objects().find(Key);
        return object ? parseRolloutRecord(object->value) : std::nullopt;
    }
    void takeBack() { rollout.applyStop({"lend-front", "v42", SetTime, "answers failed"}); }
    void complete() { rollout.applyCompletion("lend-front", "v42", SetTime); }

    ManualTimerService timers;
    MemoryObjectStore store;
    LeaseKeeper lease;
    Rollout rollout;
    RolloutRecorder recorder;
    std::uint64_t rulesVersion = 7;
};

} // namespace

TEST_CASE("A finished move is recorded until confirmed", "[move-recorder]")
{
    struct Row
    {
        const char *failure;
        bool isHolder;
        /// What the store holds before, or nothing.
        std::optional<RolloutRecord> before;
        std::function<void(Daemon &)> act;
        std::optional<RolloutPhase> expected;
        const char *reason;
        std::string version = "v42";
    };
    const Row row = GENERATE(values<Row>({
            {"a taken back move is not recorded",
             true,
             {},
             &Daemon::takeBack,
             RolloutPhase::RolledBack,
             "answers failed"},
            {"a done move is not recorded",
             true,
             {},
             &Daemon::complete,
             RolloutPhase::Done,
             "all traffic on the new version"},
            {"a move under way is recorded", true, {}, [](Daemon &) {}, {}, ""},
            {"a daemon without the duty records", false, {}, &Daemon::takeBack, {}, ""},
            {"a move taken back after it was done stays recorded as done",
             true,
             {},
             [](Daemon &daemon) {
                 daemon.complete();
                 daemon.run(2s);
                 daemon.takeBack();
             },
             RolloutPhase::RolledBack,
             "answers failed"},
            {"a record of a taken back move becomes done", true,
             recordOf("v42", SetTime, RolloutPhase::RolledBack, 5), &Daemon::complete,
             RolloutPhase::RolledBack, "earlier"},
            {"the record of an earlier rule stays", true,
             recordOf("v41", SetTime + 1h, RolloutPhase::Done, 5), &Daemon::takeBack,
             RolloutPhase::RolledBack, "answers failed"},
            {"the record of a later rule is overwritten", true,
             recordOf("v43", SetTime - 1h, RolloutPhase::Done, 9), &Daemon::takeBack,
             RolloutPhase::Done, "earlier", "v43"},
            {"a lost answer leads to no record",
             true,
             {},
             [](Daemon &daemon) {
                 daemon.store.loseAnswers(2);
                 daemon.takeBack();
             },
             RolloutPhase::RolledBack,
             "answers failed"},
            {"a lost request leads to no record",
             true,
             {},
             [](Daemon &daemon) {
                 daemon.store.loseRequests(2);
                 daemon.takeBack();
             },
             RolloutPhase::RolledBack,
             "answers failed"},
            {"an outage of the store leads to no record",
             true,
             {},
             [](Daemon &daemon) {
                 daemon.store.setOutage(StoreOutage::Refusing);
                 daemon.takeBack();
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
    // Failure: a confirmed record is written again and again.
    const auto version = daemon.store.objects().find(Key)->version;
    daemon.run(10s);
    CHECK(daemon.store.objects().find(Key)->version == version);
}

TEST_CASE("A daemon that starts later knows how a move ended", "[move-recorder]")
{
    struct Row
    {
        const char *failure;
        RolloutRecord record;
        bool isRecordFirst;
        RolloutPhase expected;
    };
    const auto row = GENERATE(values<Row>({
            {"a taken back version gets traffic again",
             recordOf("v42", SetTime, RolloutPhase::RolledBack, 7), false,
             RolloutPhase::RolledBack},
            {"a done move starts anew", recordOf("v42", SetTime, RolloutPhase::Done, 7), false,
             RolloutPhase::Done},
            {"a record that came before its rule is forgotten",
             recordOf("v42", SetTime, RolloutPhase::RolledBack, 7), true, RolloutPhase::RolledBack},
            {"a record for another time ends the move",
             recordOf("v42", SetTime - 1h, RolloutPhase::RolledBack, 5), false,
             RolloutPhase::InProgress},
            {"a record for another version ends the move",
             recordOf("v41", SetTime, RolloutPhase::Done, 5), true, RolloutPhase::InProgress},
    }));
    CAPTURE(row.failure);
    Daemon daemon;
    const StoredObject object{Key, 20, formatRolloutRecord(row.record)};
    if (row.isRecordFirst)
        daemon.recorder.take(object);
    daemon.rollout.configure(rulesWith("v42", SetTime));
    if (!row.isRecordFirst)
        daemon.recorder.take(object);
    daemon.run(1s);
    CHECK(daemon.rollout.statuses().front().state == row.expected);
}

TEST_CASE("A move record that cannot be read is refused", "[move-recorder]")
{
    // Failure: a foreign writer's object stops the daemon or ends a move.
    const char *value = GENERATE(
            "", "[]", "{}", R"({"service":"lend-front","version":"v42","state":"takenBack"})",
            R"({"service":"lend-front","version":"v42","state":"inProgress","reason":"",)"
            R"("bySeconds":1576803600,"rulesVersion":7})",
            R"({"service":"other","version":"v42","state":"takenBack","reason":"",)"
            R"("bySeconds":1576803600,"rulesVersion":7})");
    CAPTURE(value);
    Daemon daemon;
    daemon.rollout.configure(rulesWith("v42", SetTime));
    daemon.recorder.take({Key, 20, value});
    daemon.run(1s);
    CHECK(daemon.rollout.statuses().front().state == RolloutPhase::InProgress);
}
