#include <geraniumcart/fleet_relay.h>

#include "process/log_p.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace geraniumcart {

namespace {

/// Fewest watchers: two may be lost at once without a gap.
constexpr std::size_t MinWatchers = 3;
/// Members for each watcher beyond that.
constexpr std::size_t MembersPerWatcher = 12;
/// Watchers that tell one member, so that the loss of one is not noticed.
constexpr std::size_t SourcesPerMember = 2;
/// Interval at which followers hear that their watcher is current.
constexpr std::chrono::milliseconds StateHeartbeatInterval{400};
/// A daemon that heard no watcher for this long watches the store itself. Together with the watch
/// interval it stays below the three seconds in which a leaving searcher must be let go.
constexpr std::chrono::milliseconds StateHeartbeatTimeout{1500};
/// A watcher that had no answer from the store for this long is not current. Its longest watch
/// waits three seconds.
constexpr std::chrono::milliseconds ContactTimeout{3200};
/// Time for peers to be found before roles are taken.
constexpr std::chrono::milliseconds RoleDelay{500};
constexpr std::chrono::milliseconds TickInterval{200};
/// Beats in a row that must disagree before everything is compared: a change may be on its way.
constexpr std::uint32_t MismatchesBeforePull = 3;
/// Least time between two such comparisons.
constexpr std::chrono::milliseconds PullInterval{2000};
/// Time that the store has to answer a daemon that starts before its peers are asked for everything
/// as well. The store answers in a few milliseconds, and copies from peers would be most of the
/// bytes of a large fleet's start.
constexpr std::chrono::milliseconds PeerRequestDelay{150};
/// Interval at which a daemon that is cut off from store and watchers asks its peers.
constexpr std::chrono::milliseconds AskInterval{1000};
/// Objects of one frame; a frame holds up to 8 MB.
constexpr std::size_t ObjectsPerPush = 200;

std::uint64_t hashOf(const std::string &text, std::uint64_t seed = 0)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t hashOf(const StoredObject &object)
{
    return object.value.empty() ? 0 : hashOf(object.value, hashOf(object.key));
}

} // namespace

std::vector<std::string> pickWatchers(std::span<const Member> members)
{
    std::map<std::string, std::vector<const Member *>> byZone;
    std::size_t count = 0;
    for (const Member &member : members) {
        if (member.state != MemberState::Alive)
            continue;
        byZone[member.zone].push_back(&member);
        ++count;
    }
    for (auto &[zone, present] : byZone)
        std::sort(present.begin(), present.end(), [](const Member *a, const Member *b) {
            return std::pair(hashOf(a->name), a->name) < std::pair(hashOf(b->name), b->name);
        });
    const std::size_t wanted = std::min(
            count, std::max(MinWatchers, (count + MembersPerWatcher - 1) / MembersPerWatcher));
    std::vector<std::string> watchers;
    for (std::size_t round = 0; watchers.size() < wanted; ++round)
        for (const auto &[zone, present] : byZone)
            if (round < present.size() && watchers.size() < wanted)
                watchers.push_back(present[round]->name);
    return watchers;
}

std::vector<std::string> pickSources(const std::string &member,
                                     std::span<const std::string> watchers)
{
    std::vector<std::string> sources;
    std::copy_if(watchers.begin(), watchers.end(), std::back_inserter(sources),
                 [&member](const std::string &watcher) { return watcher != member; });
    const std::uint64_t seed = hashOf(member);
    std::sort(sources.begin(), sources.end(), [seed](const std::string &a, const std::string &b) {
        return std::pair(hashOf(a, seed), a) < std::pair(hashOf(b, seed), b);
    });
    sources.resize(std::min(sources.size(), SourcesPerMember));
    return sources;
}

FleetRelay::FleetRelay(std::string self, TimerService &timers, PeerNetwork &network,
                       Callbacks callbacks)
    : m_self(std::move(self))
    , m_timers(timers)
    , m_network(network)
    , m_callbacks(std::move(callbacks))
    , m_replica([this](const StoredObject &object) { m_callbacks.apply(object); })
{
}

void FleetRelay::start()
{
    // After a loss of all daemons at once nobody else knows anything, so the store is read at once;
    // roles are taken when peers were found.
    setWatching(true);
    m_timers.schedule(RoleDelay, [this] { tick(); });
    m_timers.schedule(StateHeartbeatInterval, [this] { beat(); });
}

void FleetRelay::setMembers(const std::vector<Member> &members)
{
    m_watchers = pickWatchers(members);
    m_followers.clear();
    m_peers.clear();
    for (const Member &member : members) {
        if (member.name == m_self || !isPresent(member.state))
            continue;
        m_peers.push_back(member.peerAddress);
        const std::vector<std::string> sources = pickSources(member.name, m_watchers);
        if (std::find(sources.begin(), sources.end(), m_self) != sources.end())
            m_followers.push_back(member.peerAddress);
    }
    if (m_peers.empty() || std::exchange(m_hasAskedPeers, true))
        return;
    m_timers.schedule(PeerRequestDelay, [this] {
        if (m_lastContact == TimePoint())
            askPeers();
    });
}

void FleetRelay::askPeers()
{
    m_lastAsked = m_timers.now();
    // Each time others, so that one that knows nothing either is not asked again and again.
    for (std::size_t i = 0; i < std::min(m_peers.size(), SourcesPerMember); ++i)
        m_network.send(m_peers[m_nextAsked++ % m_peers.size()],
                       PeerObjectPull{m_replica.versions(), true});
}

bool FleetRelay::isDesignated() const
{
    return std::find(m_watchers.begin(), m_watchers.end(), m_self) != m_watchers.end();
}

bool FleetRelay::isCurrent() const
{
    return m_isWatching && !m_isStoreLost && m_timers.now() - m_lastContact < ContactTimeout &&
           m_lastContact != TimePoint();
}

void FleetRelay::tick()
{
    const bool isUntold = m_timers.now() - m_lastStateHeartbeat > StateHeartbeatTimeout;
    const bool shouldWatch = isDesignated() || isUntold;
    if (shouldWatch != m_isWatching)
        setWatching(shouldWatch);
    // Neither the store nor a watcher can be reached; a peer may still know more.
    if (isUntold && !isCurrent() && m_timers.now() - m_lastAsked > AskInterval)
        askPeers();
    m_timers.schedule(TickInterval, [this] { tick(); });
}

void FleetRelay::setWatching(bool isWatching)
{
    m_isWatching = isWatching;
    logEvent(LogLevel::Info, isWatching ? "storeWatchStarted" : "storeWatchEnded",
             {{"designated", isDesignated()},
              {"sinceBeat", m_timers.now() - m_lastStateHeartbeat},
              {"watchers", m_watchers.size()}});
    m_callbacks.setWatching(isWatching);
}

void FleetRelay::beat()
{
    if (isDesignated() && isCurrent())
        for (const std::string &follower : m_followers)
            m_network.send(follower, PeerStateHeartbeat{m_digest});
    m_timers.schedule(StateHeartbeatInterval, [this] { beat(); });
}

void FleetRelay::offer(StoredObject object)
{
    const StoredObject *held = m_replica.find(object.key);
    const std::uint64_t before = held ? hashOf(*held) : 0;
    const std::uint64_t after = hashOf(object);
    const std::string key = object.key;
    if (!m_replica.offer(std::move(object)))
        return;
    m_digest ^= before ^ after;
    // Also what another watcher told: its followers and this daemon's are not the same.
    if (m_followers.empty())
        return;
    if (m_pendingChanges.empty())
        m_timers.schedule(Duration::zero(), [this] { sendPendingChanges(); });
    m_pendingChanges[key] = *m_replica.find(key);
}

void FleetRelay::onStoredObject(StoredObject object)
{
    const StoredObject *held = m_replica.find(object.key);
    if (held ? held->value == object.value : object.value.empty())
        return;
    // A deletion may carry the revision of the object's last change. One that is older than what is
    // held comes late: the object has come back since, as another watcher has told.
    if (object.value.empty() && object.version == held->version)
        ++object.version;
    offer(std::move(object));
}

void FleetRelay::onObjectList(const std::string &prefix, const std::set<std::string> &keys,
                              std::uint64_t revision)
{
    for (StoredObject &object : m_replica.all()) {
        if (!object.key.starts_with(prefix) || object.value.empty() || keys.contains(object.key) ||
            object.version >= revision)
            continue;
        object.version = revision;
        object.value.clear();
        offer(std::move(object));
    }
}

void FleetRelay::onStoreContact()
{
    m_lastContact = m_timers.now();
    m_isStoreLost = false;
}

void FleetRelay::sendPendingChanges()
{
    PeerObjectPush push;
    for (auto &[key, object] : std::exchange(m_pendingChanges, {}))
        push.objects.push_back(std::move(object));
    for (const std::string &follower : m_followers)
        m_network.send(follower, push);
}

void FleetRelay::onStateHeartbeat(const std::string &peerAddress, const PeerStateHeartbeat &beat)
{
    m_lastStateHeartbeat = m_timers.now();
    if (beat.digest == m_digest) {
        m_mismatches = 0;
        return;
    }
    if (++m_mismatches < MismatchesBeforePull || m_timers.now() - m_lastPull < PullInterval)
        return;
    m_mismatches = 0;
    m_lastPull = m_timers.now();
    logEvent(LogLevel::Info, "fleetStateCompared", {{"peer", peerAddress}});
    m_network.send(peerAddress, PeerObjectPull{m_replica.versions(), true});
}

void FleetRelay::onPull(const std::string &peerAddress, const PeerObjectPull &pull)
{
    std::map<std::string, std::uint64_t> known;
    for (const ObjectVersion &version : pull.wanted)
        known[version.key] = version.version;
    PeerObjectPush push;
    for (StoredObject &object : m_replica.all()) {
        const auto found = known.find(object.key);
        const bool isNewer =
                found != known.end() ? object.version > found->second : pull.everything;
        if (!isNewer)
            continue;
        push.objects.push_back(std::move(object));
        if (push.objects.size() < ObjectsPerPush)
            continue;
        m_network.send(peerAddress, std::exchange(push, {}));
    }
    if (!push.objects.empty())
        m_network.send(peerAddress, std::move(push));
}

void FleetRelay::onPush(const PeerObjectPush &push)
{
    for (const StoredObject &object : push.objects)
        offer(object);
}

} // namespace geraniumcart
