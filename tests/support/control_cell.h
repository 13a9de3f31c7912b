#pragma once

#include "process/control_p.h"

#include <geraniumcart/manual_timer_service.h>
#include <geraniumcart/memory_object_store.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

namespace geraniumcart::test {

/// Control parts of several daemons in one process on a manual clock, with shared stored objects.
/// Tests can cut links between daemons and replace a daemon by a new process.
class ControlCell
{
public:
    /// One daemon with its own client of the store.
    struct Node : PeerNetwork, RoutingSink
    {
        Node(ControlCell &owner, int index)
            : cell(owner)
            , address(addressOf(index))
            , store(owner.timers, owner.objects)
            , control({owner.timers, store, *this, snapshots, *this},
                      {{"d" + std::to_string(index), zoneOf(index),
                        "127.0.0.1:" + std::to_string(6000 + index), address, 0,
                        MemberState::Alive},
                       "cell",
                       {addressOf(0), addressOf(1)}})
        {
        }

        void send(const std::string &peerAddress, PeerMessage message) override
        {
            cell.deliver(this, peerAddress, std::move(message));
        }
        void reconnect(const std::string &) override {}
        void applyRouting(const RoutingSnapshot &snapshot, const UpstreamGate::Share &) override
        {
            if (snapshot.rulesVersion < highestRulesVersion)
                ++reverts;
            highestRulesVersion = std::max(highestRulesVersion, snapshot.rulesVersion);
        }

        std::uint64_t rulesVersion() const { return snapshots.pin()->rulesVersion; }

        ControlCell &cell;
        std::string address;
        MemoryObjectStore store;
        SnapshotPublisher snapshots;
        std::uint64_t highestRulesVersion = 0;
        /// Number of snapshots whose rules were older than those of an earlier snapshot.
        int reverts = 0;
        Control control;
    };

    explicit ControlCell(int size)
    {
        for (int i = 0; i < size; ++i)
            start(i);
    }

    static std::string addressOf(int index) { return "127.0.0.1:" + std::to_string(7000 + index); }
    static std::string zoneOf(int index) { return "z" + std::to_string(index % 4); }

    Node &node(int index) { return *nodes.at(addressOf(index)); }
    /// Stops a daemon without a notification to its peers. The object is kept because timers still
    /// refer to it.
    void stop(int index)
    {
        m_retired.push_back(std::move(nodes.at(addressOf(index))));
        nodes.erase(addressOf(index));
    }
    void start(int index)
    {
        timers.advance(std::chrono::milliseconds(2));
        nodes[addressOf(index)] = std::make_unique<Node>(*this, index);
        node(index).control.start();
    }
    /// Drops all messages between two daemons, in both directions.
    void cut(int a, int b) { cuts.insert({addressOf(a), addressOf(b)}); }
    /// Sets the outage for the store clients of all daemons.
    void setOutage(StoreOutage outage)
    {
        for (auto &[address, node] : nodes)
            node->store.setOutage(outage);
    }

    ManualTimerService timers;
    std::shared_ptr<MemoryObjects> objects = std::make_shared<MemoryObjects>();
    std::map<std::string, std::unique_ptr<Node>> nodes;
    /// Addresses of pairs of daemons between which no message is delivered.
    std::set<std::pair<std::string, std::string>> cuts;

private:
    void deliver(Node *from, const std::string &to, PeerMessage message)
    {
        timers.schedule(std::chrono::microseconds(500), [this, from, to, message] {
            const auto source = nodes.find(from->address);
            const auto target = nodes.find(to);
            const bool isCut =
                    cuts.contains({from->address, to}) || cuts.contains({to, from->address});
            if (isCut || target == nodes.end() || source == nodes.end() ||
                source->second.get() != from || to == from->address)
                return;
            target->second->control.onPeerMessage(from->address, message);
        });
    }

    std::vector<std::unique_ptr<Node>> m_retired;
};

} // namespace geraniumcart::test
