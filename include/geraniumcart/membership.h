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
    /// IP:port of the peers that are contacted to join the cell.
    std::vector<std::string> seeds;
    /// Interval at which one member probes the next.
    Duration probeInterval = std::chrono::milliseconds(200);
    /// Time for a direct answer, after which other members are asked to probe the target.
    Duration ackTimeout = std::chrono::milliseconds(100);
    /// Time for any answer, direct or relayed, after which the target is suspected.
    Duration probeTimeout = std::chrono::milliseconds(400);
    /// Time in which a suspected member can refute the suspicion before it counts as dead.
    Duration suspicionTimeout = std::chrono::milliseconds(1000);
    /// Time for which dead and left members are kept, so that outdated gossip cannot mark them
    /// as alive again.
    Duration tombstoneTime = std::chrono::seconds(60);
    /// Time after a member was declared dead in which it may still run, so that its searchers may
    /// have two owners.
    Duration quarantine = std::chrono::seconds(30);
    /// Number of members that are asked to probe a target that did not answer directly.
    std::uint32_t relays = 3;
    /// Seed of the random number generator.
    std::uint64_t seed = 1;
};

/// Lets another component send and receive its data with the heartbeats. Both functions run on the
/// thread of the Membership.
class GossipExchange
{
public:
    virtual ~GossipExchange() = default;
    /// Adds the component's data to a message that is about to be sent.
    virtual void fill(Gossip &gossip) = 0;
    /// Processes the gossip of a message from the peer at @p peerAddress.
    virtual void onGossip(const std::string &peerAddress, const Gossip &gossip) = 0;
};

/// SWIM-style membership of one cell: direct and relayed probes, suspicion, incarnations. The
/// members' views converge, but there is no consensus, so they can differ at any moment. State is
/// bounded by MaxMembers and the size of each message by a constant. Belongs to the control thread.
class Membership
{
public:
    using ChangedCallback = std::function<void()>;

    Membership(MembershipConfig config, TimerService &timers, PeerNetwork &network,
               GossipExchange &exchange, ChangedCallback changed);

    /// Contacts the seeds and starts probing.
    void start();
    /// Sets the address to which callers connect. Call it before start(), once the port is known.
    void setAddress(const std::string &address) { m_config.self.address = address; }
    /// Announces the address to which callers connect, once this daemon can serve them.
    void announceAddress(const std::string &address);
    /// Announces that this daemon is busy or is no longer busy.
    void announceBusy(bool isBusy);
    /// Announces the requests per second that this daemon sends to searchers. Peers learn it from
    /// the next heartbeats, since a list of daemons that is a few seconds old does no harm.
    void announceLoad(std::uint32_t load);
    /// Adds addresses from the host list to the peers that are contacted to join.
    void setSeeds(std::vector<std::string> seeds);

    // Process the messages of peers.
    void onHello(const PeerHello &hello);
    void onPing(const std::string &fromAddress, const PeerPing &ping);
    void onAck(const std::string &fromAddress, const PeerAck &ack);
    void onPingRequest(const std::string &fromAddress, const PeerPingRequest &request);

    /// Announces a planned stop: peers no longer list this daemon to callers or select it, but they
    /// still answer it.
    void announceLeaving();
    /// Announces the end of a planned stop.
    void announceLeft();

    /// All known members, this one first. Dead and left members are included until tombstoneTime
    /// has passed.
    std::vector<Member> members() const;
    const Member &self() const { return m_config.self; }
    /// Number of members in state Alive, this one included.
    std::uint32_t aliveCount() const;
    /// True while a member that was declared dead may still run and own searchers.
    bool isQuarantined() const;

private:
    struct Peer
    {
        Member member;
        /// When this daemon learned of the member's current state.
        TimePoint stateSince{};
        /// When this daemon learned of the member's current incarnation, or of its return.
        TimePoint joinedAt{};
        /// Number of messages that carried the member's current state.
        std::uint64_t transmissions = 0;
        /// Value of m_gossipCount at the last of these messages.
        std::uint64_t lastSent = 0;
    };
    struct Probe
    {
        std::string target;
        /// Address of the member on whose behalf the probe is sent and to which the acknowledgement
        /// is relayed; empty for an own probe.
        std::string relayTo;
        std::uint64_t relaySequence = 0;
    };

    void probeNext();
    std::string nextProbeTarget();
    void onAckTimeout(std::uint64_t sequence);
    void onProbeTimeout(std::uint64_t sequence);
    void contactSeeds();
    /// Members whose state is present (see isPresent()), in random order.
    std::vector<const Member *> shuffledPresent();
    void requestMemberList();
    void sendMemberList(const std::string &address);
    void expireStates();

    void applyMember(const Member &member);
    void applyAboutSelf(const Member &member);
    bool supersedes(const Member &update, const Member &known) const;
    void setPeer(Peer &peer, const Member &member);
    void suspect(const std::string &name);
    void applyGossip(const std::string &fromAddress, const Gossip &gossip);
    /// True once more than JoinTime has passed since this daemon started and since the member
    /// @p name joined: both have then had time to learn of the other members.
    bool hasJoined(const std::string &name) const;
    /// @param receiver name of the member that the message is for, if known
    Gossip makeGossip(const std::string &receiver);
    void broadcast();
    /// Sets the state of this member under a new incarnation and sends it to its peers.
    void announceState(MemberState state);

    MembershipConfig m_config;
    TimerService &m_timers;
    PeerNetwork &m_network;
    GossipExchange &m_exchange;
    ChangedCallback m_changed;
    std::mt19937_64 m_random;
    std::map<std::string, Peer> m_peers;
    std::map<std::uint64_t, Probe> m_probes;
    /// Names of the members that are still to be probed in this round, the next one last.
    std::vector<std::string> m_probeOrder;
    std::uint64_t m_lastSequence = 0;
    std::uint64_t m_gossipCount = 0;
    TimePoint m_startedAt{};
    std::optional<TimePoint> m_lastUncleanLoss;
};

} // namespace geraniumcart
