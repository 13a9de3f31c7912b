#pragma once

#include <geraniumcart/manual_timer_service.h>
#include <geraniumcart/membership.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace geraniumcart::test {

/// Several members in one process on a manual clock. Tests can cut links, freeze members and
/// restart them.
class FakeCell
{
public:
    struct Node : PeerNetwork, GossipExchange
    {
        FakeCell *cell = nullptr;
        std::string address;
        std::unique_ptr<Membership> membership;
        /// Set once restart() has replaced this process.
        bool isRetired = false;
        std::uint64_t messagesSent = 0;
        /// Sum of the members in all messages sent.
        std::uint64_t membersSent = 0;

        void send(const std::string &peerAddress, PeerMessage message) override
        {
            // A replaced process must not send under the address of its successor.
            if (isRetired)
                return;
            ++messagesSent;
            if (const auto *ping = std::get_if<PeerPing>(&message))
                membersSent += ping->gossip.members.size();
            else if (const auto *ack = std::get_if<PeerAck>(&message))
                membersSent += ack->gossip.members.size();
            cell->deliver(address, peerAddress, std::move(message));
        }
        void reconnect(const std::string &) override {}
        void fill(Gossip &) override {}
        void onGossip(const std::string &, const Gossip &) override {}
    };

    explicit FakeCell(int size)
    {
        for (int i = 0; i < size; ++i)
            add(i);
        for (auto &[address, node] : m_nodes)
            node->membership->start();
    }

    static std::string nameOf(int index) { return "m" + std::to_string(index); }
    static std::string addressOf(int index) { return "127.0.0.1:" + std::to_string(7000 + index); }

    Node &node(int index) { return *m_nodes.at(addressOf(index)); }
    /// Drops all messages between two members, in both directions, until healAll().
    void cut(int a, int b) { m_cutLinks.insert({addressOf(a), addressOf(b)}); }
    void healAll() { m_cutLinks.clear(); }
    /// A frozen member neither sends nor receives messages, like a stopped process.
    void setFrozen(int index, bool frozen)
    {
        if (frozen)
            m_frozen.insert(addressOf(index));
        else
            m_frozen.erase(addressOf(index));
    }
    /// Replaces a member by a new process with the same name and address.
    void restart(int index)
    {
        m_timers.advance(std::chrono::milliseconds(5));
        node(index).isRetired = true;
        m_retired.push_back(std::move(m_nodes.at(addressOf(index))));
        m_nodes.erase(addressOf(index));
        add(index);
        node(index).membership->start();
    }
    void advance(Duration step) { m_timers.advance(step); }
    ManualTimerService &timers() { return m_timers; }

    /// State of member @p subject as @p observer sees it; Left if the observer does not know it.
    MemberState stateOf(int observer, int subject)
    {
        for (const Member &member : node(observer).membership->members())
            if (member.name == nameOf(subject))
                return member.state;
        return MemberState::Left;
    }

private:
    void add(int index)
    {
        auto node = std::make_unique<Node>();
        node->cell = this;
        node->address = addressOf(index);
        MembershipConfig config;
        config.self = {nameOf(index), "zone", "", node->address, 0, MemberState::Alive};
        config.seeds = {addressOf(0), addressOf(1)};
        config.seed = static_cast<std::uint64_t>(index) + 1;
        node->membership = std::make_unique<Membership>(config, m_timers, *node, *node, [] {});
        m_nodes[node->address] = std::move(node);
    }

    bool isCut(const std::string &a, const std::string &b) const
    {
        return m_cutLinks.contains({a, b}) || m_cutLinks.contains({b, a});
    }

    void deliver(const std::string &from, const std::string &to, PeerMessage message)
    {
        m_timers.schedule(std::chrono::microseconds(500), [this, from, to, message] {
            // A frozen process neither sends nor receives.
            if (isCut(from, to) || m_frozen.contains(to) || m_frozen.contains(from) ||
                !m_nodes.contains(to) || from == to)
                return;
            Membership &target = *m_nodes.at(to)->membership;
            if (const auto *ping = std::get_if<PeerPing>(&message))
                target.onPing(from, *ping);
            else if (const auto *ack = std::get_if<PeerAck>(&message))
                target.onAck(from, *ack);
            else if (const auto *request = std::get_if<PeerPingRequest>(&message))
                target.onPingRequest(from, *request);
        });
    }

    ManualTimerService m_timers;
    std::map<std::string, std::unique_ptr<Node>> m_nodes;
    std::vector<std::unique_ptr<Node>> m_retired;
    std::set<std::pair<std::string, std::string>> m_cutLinks;
    std::set<std::string> m_frozen;
};

} // namespace geraniumcart::test
