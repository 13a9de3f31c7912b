#pragma once

#include <geraniumcart/member.h>
#include <geraniumcart/peer_messages.h>
#include <geraniumcart/timer_service.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace geraniumcart {

struct MembershipConfig
{
    Member self;
    /// IP:port of peers to join through.
    std::vector<std::string> seeds;
    /// Interval between probes by one member.
    Duration probeInterval = std::chrono::milliseconds(200);
    /// Wait for a direct answer before other members are asked to probe.
    Duration ackTimeout = std::chrono::milliseconds(100);
    /// Wait for any answer, direct or relayed, before suspicion.
    Duration probeTimeout = std::chrono::milliseconds(400);
    /// Time in which a suspected member may refute before it counts as dead.
    Duration suspicionTimeout = std::chrono::milliseconds(1000);
    /// Time for which dead and left members are remembered, so that old news cannot revive them.
    Duration tombstoneTime = std::chrono::seconds(60);
    /// Time after an unclean loss in which a second owner may still exist.
    Duration quarantine = std::chrono::seconds(30);
    /// Members asked to probe on another's behalf.
    std::uint32_t relays = 3;
    std::uint64_t seed = 1;
};

/// Adds other parts' news to heartbeats and takes what peers bring.
class GossipExchange
{
public:
    virtual ~GossipExchange() = default;
    virtual void fill(Gossip &gossip) = 0;
    virtual void take(const std::string &peerAddress, const Gossip &gossip) = 0;
};

/// SWIM-style membership of one cell: direct and relayed probes, suspicion, incarnations. It
/// converges; it never agrees. State is bounded by MaxMembers and each message by a constant.
/// Belongs to the control thread.
class Membership
{
public:
    using ChangedCallback = std::function<void()>;

    Membership(MembershipConfig config, TimerService &timers, PeerNetwork &network,
               GossipExchange &exchange, ChangedCallback changed);

    void start();
    /// Sets where callers connect, once the port is known. Before start().
    void setAddress(const std::string &address) { m_config.self.address = address; }
    /// Announces where callers connect, once this daemon can serve them.
    void announceAddress(const std::string &address);
    /// Announces that this daemon is busy, or no longer so.
    void announceBusy(bool isBusy);
    /// Adds peers to join through, as the host list names them.
    void setSeeds(std::vector<std::string> seeds);

    void onHello(const PeerHello &hello);
    void onPing(const std::string &fromAddress, const PeerPing &ping);
    void onAck(const std::string &fromAddress, const PeerAck &ack);
    void onPingRequest(const std::string &fromAddress, const PeerPingRequest &request);

    /// Announces a planned stop: peers stop listing and choosing this daemon, but still answer it.
    void announceLeaving();
    /// Announces the end of a planned stop.
    void announceLeft();

    /// All known members, self first; dead and left ones only until their tombstones expire.
    std::vector<Member> members() const;
    const Member &self() const { return m_config.self; }
    std::uint32_t aliveCount() const;
    /// True while a member that was lost uncleanly may still run and own searchers.
    bool isQuarantined() const;

private:
    struct Peer
    {
        Member member;
        TimePoint since{};
        /// When this start of the member was first heard of.
        TimePoint joinedAt{};
        /// Messages that carried the member's present state.
        std::uint64_t transmissions = 0;
        /// Number of the last of them.
        std::uint64_t lastSent = 0;
    };
    struct Probe
    {
        std::string target;
        /// Set when the probe is run for another member: where its acknowledgement goes.
        std::string relayTo;
        std::uint64_t relaySequence = 0;
    };

    void probeNext();
    std::string nextTarget();
    void onAckTimeout(std::uint64_t sequence);
    void onProbeTimeout(std::uint64_t sequence);
    void contactSeeds();
    /// Members that answer, in random order.
    std::vector<const Member *> shuffledPresent();
    void requestAllMembers();
    void sendAllMembers(const std::string &address);
    void expire();

    void applyMember(const Member &member);
    void applyAboutSelf(const Member &member);
    bool supersedes(const Member &news, const Member &held) const;
    void setPeer(Peer &peer, const Member &member);
    void suspect(const std::string &name);
    void takeGossip(const std::string &fromAddress, const Gossip &gossip);
    /// True once the member @p name and this one have had time to learn of the others.
    bool isSettled(const std::string &name) const;
    /// @param receiver name of the member that the message is for, if known
    Gossip makeGossip(const std::string &receiver);
    void broadcast();
    void bumpSelf(MemberState state);

    MembershipConfig m_config;
    TimerService &m_timers;
    PeerNetwork &m_network;
    GossipExchange &m_exchange;
    ChangedCallback m_changed;
    std::mt19937_64 m_random;
    std::map<std::string, Peer> m_peers;
    std::map<std::uint64_t, Probe> m_probes;
    std::vector<std::string> m_round;
    std::uint64_t m_lastSequence = 0;
    std::uint64_t m_gossipsMade = 0;
    TimePoint m_startedAt{};
    std::optional<TimePoint> m_lastUncleanLoss;
};

} // namespace geraniumcart
