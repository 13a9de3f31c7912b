#include <geraniumcart/config.h>
#include <geraniumcart/membership.h>

#include <algorithm>
#include <array>
#include <bit>
#include <limits>

namespace geraniumcart {

namespace {

/// Maximum number of members in one message; at about 100 bytes each, a heartbeat stays below two
/// kilobytes.
constexpr std::size_t GossipMembers = 16;
/// Number of members that a message carries in rotation when there is no change to send, so that a
/// member that missed a change receives it later.
constexpr std::size_t RefreshedMembers = 2;
/// Each change is sent in this many messages times the logarithm of the number of members.
/// According to the SWIM paper, a factor of three reaches nearly every member.
constexpr std::size_t TransmissionFactor = 3;
/// Messages to a member that joined less than this time ago carry as many members as fit.
constexpr std::chrono::milliseconds JoinTime{1500};
/// Times after its start at which a member requests the complete member list, since gossip alone
/// takes several seconds to complete it. The second request covers members that start together.
constexpr std::array<std::chrono::milliseconds, 2> MemberListRequestTimes{
        std::chrono::milliseconds(1000), std::chrono::milliseconds(3000)};
/// Number of members to which each request is sent; one of them may have stopped.
constexpr std::size_t MemberListSources = 2;
/// Sequence number of a ping that requests the member list. Heartbeats count up from one and never
/// reach it.
constexpr std::uint64_t MemberListSequence = std::numeric_limits<std::uint64_t>::max();
/// Number of members that are notified of a change of this member at once; the other members
/// receive it through gossip. Without this bound, N daemons that start together send N squared
/// messages.
constexpr std::size_t BroadcastFanOut = 24;

/// Precedence of a state: within the same incarnation, a higher one replaces a lower one.
int precedenceOf(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return 0;
    case MemberState::Suspect:
        return 1;
    case MemberState::Leaving:
        return 2;
    case MemberState::Dead:
        return 3;
    case MemberState::Left:
        return 4;
    }
    return 0;
}

} // namespace

bool isPresent(MemberState state)
{
    return state == MemberState::Alive || state == MemberState::Suspect ||
           state == MemberState::Leaving;
}

const char *toString(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return "alive";
    case MemberState::Suspect:
        return "suspect";
    case MemberState::Leaving:
        return "leaving";
    case MemberState::Left:
        return "left";
    case MemberState::Dead:
        return "dead";
    }
    return "unknown";
}

Membership::Membership(MembershipConfig config, TimerService &timers, PeerNetwork &network,
                       GossipExchange &exchange, ChangedCallback changed)
    : m_config(std::move(config))
    , m_timers(timers)
    , m_network(network)
    , m_exchange(exchange)
    , m_changed(std::move(changed))
    , m_random(m_config.seed)
{
    // The start time is the first incarnation, so that a restarted daemon supersedes the state that
    // peers still hold of its predecessor.
    if (m_config.self.incarnation == 0)
        m_config.self.incarnation =
                static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                                   timers.wallNow().time_since_epoch())
                                                   .count());
}

void Membership::start()
{
    m_startedAt = m_timers.now();
    contactSeeds();
    probeNext();
    m_timers.scheduleEvery(m_config.probeInterval, [this] { probeNext(); });
    for (const Duration after : MemberListRequestTimes)
        m_timers.schedule(after, [this] { requestMemberList(); });
}

std::vector<const Member *> Membership::shuffledPresent()
{
    std::vector<const Member *> present;
    for (const auto &[name, peer] : m_peers)
        if (isPresent(peer.member.state))
            present.push_back(&peer.member);
    std::shuffle(present.begin(), present.end(), m_random);
    return present;
}

void Membership::requestMemberList()
{
    std::vector<const Member *> asked = shuffledPresent();
    asked.resize(std::min(asked.size(), MemberListSources));
    for (const Member *member : asked)
        m_network.send(member->peerAddress, PeerPing{MemberListSequence, makeGossip(member->name)});
}

void Membership::sendMemberList(const std::string &address)
{
    Gossip gossip;
    gossip.members.push_back(m_config.self);
    for (const auto &[name, peer] : m_peers) {
        gossip.members.push_back(peer.member);
        if (gossip.members.size() == GossipMembers)
            m_network.send(address,
                           PeerAck{0, m_config.self.name, std::exchange(gossip, Gossip())});
    }
    if (!gossip.members.empty())
        m_network.send(address, PeerAck{0, m_config.self.name, std::move(gossip)});
}

void Membership::setSeeds(std::vector<std::string> seeds)
{
    for (std::string &seed : seeds)
        if (seed != m_config.self.peerAddress &&
            std::find(m_config.seeds.begin(), m_config.seeds.end(), seed) == m_config.seeds.end())
            m_config.seeds.push_back(std::move(seed));
    // The host list lags behind, so addresses of hosts that were removed long ago would accumulate
    // without a bound.
    if (m_config.seeds.size() > MaxMembers)
        m_config.seeds.erase(m_config.seeds.begin(), m_config.seeds.end() - MaxMembers);
}

void Membership::contactSeeds()
{
    // Seeds are contacted for as long as this daemon runs: after a partition in which both sides
    // declared each other dead, nothing else reconnects them.
    for (const std::string &seed : m_config.seeds) {
        const bool isKnown = std::any_of(m_peers.begin(), m_peers.end(), [&](const auto &entry) {
            return entry.second.member.peerAddress == seed && isPresent(entry.second.member.state);
        });
        if (!isKnown)
            m_network.send(seed, PeerPing{0, makeGossip({})});
    }
}

std::string Membership::nextProbeTarget()
{
    while (true) {
        while (!m_probeOrder.empty()) {
            std::string name = std::move(m_probeOrder.back());
            m_probeOrder.pop_back();
            const auto found = m_peers.find(name);
            if (found != m_peers.end() && isPresent(found->second.member.state))
                return name;
        }
        for (const auto &[name, peer] : m_peers)
            if (isPresent(peer.member.state))
                m_probeOrder.push_back(name);
        if (m_probeOrder.empty())
            return {};
        std::shuffle(m_probeOrder.begin(), m_probeOrder.end(), m_random);
        contactSeeds();
    }
}

void Membership::probeNext()
{
    expireStates();
    const std::string target = nextProbeTarget();
    if (target.empty()) {
        contactSeeds();
    } else {
        const std::uint64_t sequence = ++m_lastSequence;
        m_probes[sequence] = {target, {}, 0};
        m_network.send(m_peers[target].member.peerAddress, PeerPing{sequence, makeGossip(target)});
        m_timers.schedule(m_config.ackTimeout, [this, sequence] { onAckTimeout(sequence); });
        m_timers.schedule(m_config.probeTimeout, [this, sequence] { onProbeTimeout(sequence); });
    }
}

void Membership::onAckTimeout(std::uint64_t sequence)
{
    const auto probe = m_probes.find(sequence);
    if (probe == m_probes.end())
        return;
    const auto peer = m_peers.find(probe->second.target);
    if (peer != m_peers.end())
        m_network.reconnect(peer->second.member.peerAddress);
    std::vector<std::string> relays;
    for (const auto &[name, peer] : m_peers)
        if (name != probe->second.target && peer.member.state == MemberState::Alive)
            relays.push_back(peer.member.peerAddress);
    std::shuffle(relays.begin(), relays.end(), m_random);
    relays.resize(std::min<std::size_t>(relays.size(), m_config.relays));
    for (const std::string &relay : relays)
        m_network.send(relay, PeerPingRequest{sequence, probe->second.target, makeGossip({})});
}

void Membership::onProbeTimeout(std::uint64_t sequence)
{
    const auto probe = m_probes.find(sequence);
    if (probe == m_probes.end())
        return;
    const Probe expired = probe->second;
    m_probes.erase(probe);
    if (expired.relayTo.empty())
        suspect(expired.target);
}

void Membership::suspect(const std::string &name)
{
    const auto found = m_peers.find(name);
    if (found == m_peers.end())
        return;
    Member member = found->second.member;
    if (member.state == MemberState::Alive) {
        member.state = MemberState::Suspect;
        setPeer(found->second, member);
    } else if (member.state == MemberState::Leaving) {
        member.state = MemberState::Left;
        setPeer(found->second, member);
    }
}

void Membership::expireStates()
{
    const TimePoint now = m_timers.now();
    std::erase_if(m_peers, [&](const auto &entry) {
        const Peer &peer = entry.second;
        return !isPresent(peer.member.state) && now - peer.stateSince > m_config.tombstoneTime;
    });
    for (auto &[name, peer] : m_peers) {
        if (peer.member.state != MemberState::Suspect ||
            now - peer.stateSince < m_config.suspicionTimeout)
            continue;
        Member member = peer.member;
        member.state = MemberState::Dead;
        setPeer(peer, member);
    }
}

void Membership::onHello(const PeerHello &hello)
{
    applyMember(hello.self);
}

void Membership::onPing(const std::string &fromAddress, const PeerPing &ping)
{
    applyGossip(fromAddress, ping.gossip);
    if (ping.sequence == MemberListSequence) {
        sendMemberList(fromAddress);
        return;
    }
    // The first member in each message is its sender.
    const std::string sender =
            ping.gossip.members.empty() ? std::string() : ping.gossip.members.front().name;
    m_network.send(fromAddress, PeerAck{ping.sequence, m_config.self.name, makeGossip(sender)});
}

void Membership::onAck(const std::string &fromAddress, const PeerAck &ack)
{
    applyGossip(fromAddress, ack.gossip);
    const auto found = m_probes.find(ack.sequence);
    if (found == m_probes.end() || found->second.target != ack.target)
        return;
    const Probe probe = found->second;
    m_probes.erase(found);
    if (!probe.relayTo.empty())
        m_network.send(probe.relayTo, PeerAck{probe.relaySequence, probe.target, makeGossip({})});
}

void Membership::onPingRequest(const std::string &fromAddress, const PeerPingRequest &request)
{
    applyGossip(fromAddress, request.gossip);
    const auto target = m_peers.find(request.target);
    if (target == m_peers.end())
        return;
    const std::uint64_t sequence = ++m_lastSequence;
    m_probes[sequence] = {request.target, fromAddress, request.sequence};
    m_network.send(target->second.member.peerAddress,
                   PeerPing{sequence, makeGossip(request.target)});
    m_timers.schedule(m_config.probeTimeout, [this, sequence] { onProbeTimeout(sequence); });
}

bool Membership::supersedes(const Member &update, const Member &known) const
{
    if (update.incarnation != known.incarnation)
        return update.incarnation > known.incarnation;
    return precedenceOf(update.state) > precedenceOf(known.state);
}

void Membership::applyMember(const Member &member)
{
    if (member.name == m_config.self.name) {
        applyAboutSelf(member);
        return;
    }
    const auto found = m_peers.find(member.name);
    if (found != m_peers.end()) {
        if (supersedes(member, found->second.member))
            setPeer(found->second, member);
        return;
    }
    if (m_peers.size() >= MaxMembers || !isPresent(member.state))
        return;
    Peer &peer = m_peers[member.name];
    peer.member.state = MemberState::Left;
    setPeer(peer, member);
}

void Membership::applyAboutSelf(const Member &member)
{
    // A peer holds a state of this daemon that this daemon did not announce: a suspicion, a death,
    // or the planned stop of its predecessor. A higher incarnation refutes it.
    const bool isRefutable = member.incarnation > m_config.self.incarnation ||
                             (member.incarnation == m_config.self.incarnation &&
                              member.state != m_config.self.state);
    if (!isRefutable)
        return;
    m_config.self.incarnation = member.incarnation;
    announceState(m_config.self.state);
}

void Membership::setPeer(Peer &peer, const Member &member)
{
    const bool wasPresent = isPresent(peer.member.state);
    if (!wasPresent || member.incarnation != peer.member.incarnation)
        peer.joinedAt = m_timers.now();
    if (wasPresent && member.state == MemberState::Dead)
        m_lastUncleanLoss = m_timers.now();
    peer.member = member;
    peer.stateSince = m_timers.now();
    peer.transmissions = 0;
    m_changed();
}

void Membership::applyGossip(const std::string &fromAddress, const Gossip &gossip)
{
    for (const Member &member : gossip.members)
        applyMember(member);
    m_exchange.onGossip(fromAddress, gossip);
}

bool Membership::hasJoined(const std::string &name) const
{
    const TimePoint now = m_timers.now();
    const auto found = m_peers.find(name);
    return now - m_startedAt > JoinTime && found != m_peers.end() &&
           now - found->second.joinedAt > JoinTime;
}

Gossip Membership::makeGossip(const std::string &receiver)
{
    Gossip gossip;
    gossip.members.push_back(m_config.self);
    std::vector<Peer *> peers;
    for (auto &[name, peer] : m_peers)
        peers.push_back(&peer);
    // Changes that were sent the fewest times come first, then the other members in rotation.
    const std::uint64_t transmissionLimit = TransmissionFactor * std::bit_width(m_peers.size());
    const auto order = [transmissionLimit](const Peer *peer) {
        return std::pair(std::min(peer->transmissions, transmissionLimit), peer->lastSent);
    };
    const std::size_t count = std::min(peers.size(), GossipMembers - 1);
    std::partial_sort(peers.begin(), peers.begin() + static_cast<std::ptrdiff_t>(count),
                      peers.end(),
                      [&order](const Peer *a, const Peer *b) { return order(a) < order(b); });
    ++m_gossipCount;
    const bool hasReceiverJoined = hasJoined(receiver);
    for (std::size_t i = 0; i < count; ++i) {
        if (hasReceiverJoined && i >= RefreshedMembers &&
            peers[i]->transmissions >= transmissionLimit)
            break;
        ++peers[i]->transmissions;
        peers[i]->lastSent = m_gossipCount;
        gossip.members.push_back(peers[i]->member);
    }
    m_exchange.fill(gossip);
    return gossip;
}

void Membership::announceState(MemberState state)
{
    m_config.self.state = state;
    ++m_config.self.incarnation;
    m_changed();
    broadcast();
}

void Membership::broadcast()
{
    std::vector<const Member *> present = shuffledPresent();
    present.resize(std::min(present.size(), BroadcastFanOut));
    for (const Member *member : present)
        m_network.send(member->peerAddress, PeerPing{0, makeGossip(member->name)});
}

void Membership::announceAddress(const std::string &address)
{
    m_config.self.address = address;
    announceState(m_config.self.state);
}

void Membership::announceBusy(bool isBusy)
{
    m_config.self.isBusy = isBusy;
    announceState(m_config.self.state);
}

void Membership::announceLoad(std::uint32_t load)
{
    m_config.self.load = load;
    ++m_config.self.incarnation;
    m_changed();
}

void Membership::announceLeaving()
{
    announceState(MemberState::Leaving);
}

void Membership::announceLeft()
{
    announceState(MemberState::Left);
}

std::vector<Member> Membership::members() const
{
    std::vector<Member> members{m_config.self};
    for (const auto &[name, peer] : m_peers)
        members.push_back(peer.member);
    return members;
}

std::uint32_t Membership::aliveCount() const
{
    return 1 + static_cast<std::uint32_t>(
                       std::count_if(m_peers.begin(), m_peers.end(), [](const auto &entry) {
                           return entry.second.member.state == MemberState::Alive;
                       }));
}

bool Membership::isQuarantined() const
{
    return m_lastUncleanLoss && m_timers.now() - *m_lastUncleanLoss < m_config.quarantine;
}

} // namespace geraniumcart
