#include "process/control_p.h"
#include "process/rollout_recorder_codec_p.h"

#include <catch2/catch.hpp>

#include <geraniumcart/manual_timer_service.h>
#include <geraniumcart/memory_object_store.h>

#include <functional>

using namespace geraniumcart;
using namespace std::chrono_literals;

namespace {

constexpr const char *RecordKey = "status/move/lend-front";
constexpr const char *Rules = "move lend-front to v42 by 2026-12-05T18:00Z # catalogue: test\n";
/// The completion time in Rules: 2026-12-05T18:00Z.
const WallTime CompletionTime{1796493600s};

/// Network that drops all messages.
class NullNetwork final : public PeerNetwork
{
public:
    void send(const std::string &, PeerMessage) override {}
    void reconnect(const std::string &) override {}
};

class NullRoutingSink final : public RoutingSink
{
public:
    void applyRouting(const RoutingSnapshot &, const UpstreamGate::Share &) override {}
};

/// The control part of one daemon with a store of its own and without peers.
struct Daemon
{
    Daemon()
        : store(timers)
        , control({timers, store, network, snapshots, sink},
                  {{"a", "z1", "127.0.0.1:1", "127.0.0.1:2"}, "cell", {}})
    {
    }

    ManualTimerService timers;
    MemoryObjectStore store;
    NullNetwork network;
    NullRoutingSink sink;
    SnapshotPublisher snapshots;
    Control control;
};

std::string rolledBackRecord()
{
    return formatRolloutRecord(
            {"lend-front", "v42", CompletionTime, RolloutPhase::RolledBack, "answers failed", 1});
}

} // namespace

// Guards against a rolled-back version that gets traffic again. That happens if a daemon does not
// learn of the rollback from the store, from its peers or from gossip, or does not record it.
TEST_CASE("The control part reads and writes the record of a rollout", "[control]")
{
    struct Row
    {
        const char *failure;
        std::function<void(Daemon &)> reportRollback;
        bool isStoreReachable;
    };
    const auto row = GENERATE(values<Row>({
            {"a daemon that starts later does not read the record in the store",
             [](Daemon &daemon) { daemon.store.objects().write(RecordKey, rolledBackRecord()); },
             true},
            {"a daemon that cannot reach the store does not accept the record from its peers",
             [](Daemon &daemon) {
                 daemon.store.setOutage(StoreOutage::Refusing);
                 daemon.control.onPeerMessage(
                         "127.0.0.1:3",
                         PeerObjectPush{{{RecordKey, 2, rolledBackRecord()}, {"rules", 1, Rules}},
                                        true});
             },
             false},
            {"a rollback that a peer reports is not recorded",
             [](Daemon &daemon) {
                 daemon.timers.advance(3s);
                 Gossip gossip;
                 gossip.stops = {{"lend-front", "v42", CompletionTime, "answers failed"}};
                 daemon.control.onGossip("127.0.0.1:3", gossip);
             },
             true},
    }));
    CAPTURE(row.failure);
    Daemon daemon;
    daemon.store.objects().write("rules", Rules);
    daemon.control.start();
    row.reportRollback(daemon);
    daemon.timers.advance(10s);
    const ControlStatus status = daemon.control.status();
    REQUIRE(status.rules.size() == 1);
    CHECK(status.rules.front().state == RuleState::RolledBack);
    CHECK(status.rules.front().reason == "answers failed");
    const auto object = daemon.store.objects().find(RecordKey);
    REQUIRE(object.has_value() == row.isStoreReachable);
    if (!object)
        return;
    const auto record = parseRolloutRecord(object->value);
    REQUIRE(record);
    CHECK(record->state == RolloutPhase::RolledBack);
    CHECK(record->by == CompletionTime);
    CHECK(record->rulesVersion == 1);
}
