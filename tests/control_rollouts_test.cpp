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
/// 2026-12-05T18:00Z.
const WallTime SetTime{1796493600s};

class NoNetwork final : public PeerNetwork
{
public:
    void send(const std::string &, PeerMessage) override {}
    void renew(const std::string &) override {}
};

class NoSink final : public RoutingSink
{
public:
    void applyRouting(const RoutingSnapshot &, const UpstreamGate::Share &) override {}
};

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
    NoNetwork network;
    NoSink sink;
    SnapshotPublisher snapshots;
    Control control;
};

std::string takenBackRecord()
{
    return formatRolloutRecord(
            {"lend-front", "v42", SetTime, RolloutPhase::RolledBack, "answers failed", 1});
}

} // namespace

TEST_CASE("The control part reads and writes the record of a move", "[control]")
{
    struct Row
    {
        const char *failure;
        std::function<void(Daemon &)> act;
        bool isStoreUp;
    };
    const auto row = GENERATE(values<Row>({
            {"a daemon that starts later does not read the store's record",
             [](Daemon &daemon) { daemon.store.objects().write(RecordKey, takenBackRecord()); },
             true},
            {"a daemon without the store does not take the record from its peers",
             [](Daemon &daemon) {
                 daemon.store.setOutage(StoreOutage::Refusing);
                 daemon.control.onPeerMessage(
                         "127.0.0.1:3",
                         PeerObjectPush{{{RecordKey, 2, takenBackRecord()}, {"rules", 1, Rules}},
                                        true});
             },
             false},
            {"a stop that a peer reports is not recorded",
             [](Daemon &daemon) {
                 daemon.timers.advance(3s);
                 Gossip gossip;
                 gossip.stops = {{"lend-front", "v42", SetTime, "answers failed"}};
                 daemon.control.onGossip("127.0.0.1:3", gossip);
             },
             true},
    }));
    CAPTURE(row.failure);
    Daemon daemon;
    daemon.store.objects().write("rules", Rules);
    daemon.control.start();
    row.act(daemon);
    daemon.timers.advance(10s);
    const ControlStatus status = daemon.control.status();
    REQUIRE(status.rules.size() == 1);
    CHECK(status.rules.front().state == RuleState::RolledBack);
    CHECK(status.rules.front().reason == "answers failed");
    const auto object = daemon.store.objects().find(RecordKey);
    REQUIRE(object.has_value() == row.isStoreUp);
    if (!object)
        return;
    const auto record = parseRolloutRecord(object->value);
    REQUIRE(record);
    CHECK(record->state == RolloutPhase::RolledBack);
    CHECK(record->by == SetTime);
    CHECK(record->rulesVersion == 1);
}
