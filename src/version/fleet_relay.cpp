#include <geraniumcart/fleet_relay.h>

#include "process/log_p.h"
#include "version/object_pushes_p.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace geraniumcart {

namespace {

/// Interval at which a watcher that is up to date sends heartbeats to its followers.
constexpr std::chrono::milliseconds StateHeartbeatInterval{400};
/// Longest validity that a heartbeat may state. A daemon that states a longer one by mistake must
/// not keep its followers from watching the store.
constexpr std::chrono::seconds MaxStatedValidity{5};
/// Time for which changes are kept for neighbors. Daemons lose their watchers within about a second
/// of each other.
constexpr std::chrono::milliseconds RecentChangeTime{2000};
/// Time for discovering peers after the start, before a daemon decides whether it is a watcher.
constexpr std::chrono::milliseconds RoleDelay{500};
/// Interval at which a daemon checks whether it has to watch the store.
constexpr std::chrono::milliseconds TickInterval{100};
/// Number of consecutive heartbeats with another digest before all objects are compared. A single
/// difference may be a change that is still in transit.
constexpr std::uint32_t MismatchesBeforePull = 3;
/// Minimum time between two such comparisons.
constexpr std::chrono::milliseconds PullInterval{2000};
/// Time after which a difference is reported, and interval between two reports. Three comparisons
/// fit into it, so that one that was lost does not count.
constexpr std::chrono::seconds DifferenceReportTime{6};
/// Minimum time between two log lines about refused objects.
constexpr std::chrono::milliseconds RefusedLogInterval{500};
/// Time after an outage of the store in which entries that expired during it are written again.
constexpr std::chrono::seconds EntryReturnTime{2};
/// Time after the first list of a new era for which objects are kept that it lacks. Searchers write
/// their entries within about two seconds of the store's return, and a watcher reads them up to
/// 0.8 s later; a zone that is out must not get requests before its order is written again.
constexpr std::chrono::seconds MissingObjectTime{4};
/// Time that a starting daemon waits for an answer of the store before it also requests all objects
/// from its peers. The store usually answers within a few milliseconds, and copies from peers would
/// be most of the traffic when a large fleet starts.
constexpr std::chrono::milliseconds PeerRequestDelay{150};
/// Interval at which a daemon that reaches neither the store nor a watcher requests objects from
/// its peers.
constexpr std::chrono::milliseconds PeerRequestInterval{1000};
/// Number of peers that one such request goes to.
constexpr std::size_t PeersPerRequest = 2;
std::uint64_t hashOf(const std::string &text, std::uint64_t seed = 0)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

/// @return the prefix that the keys of the kind of @p key have in common
std::string_view prefixOf(std::string_view key)
{
    return key.substr(0, key.find('/') + 1);
}

/// @return the object's part of the digest; 0 for a deleted object
std::uint64_t hashOf(const StoredObject &object)
{
    return object.value.empty() ? 0 : hashOf(object.value, hashOf(object.key));
}

/// @return the deletion of an object that a list at @p revision lacks
StoredObject deletionOf(const ObjectVersion &object, const StoreRevision &revision)
{
    return {object.key, revision.number, {}, revision.era, orderOfDeletion(object.order), true};
}

} // namespace

FleetRelay::FleetRelay(std::string self, TimerService &timers, PeerNetwork &network,
                       Callbacks callbacks)
    : m_self(std::move(self))
    , m_timers(timers)
    , m_network(network)
    , m_callbacks(std::move(callbacks))
    , m_replica([this](const StoredObject &object) { m_callbacks.apply(object, m_changeAge); })
{
}

void FleetRelay::start()
{
    // If all daemons were lost at the same time, no peer has any objects, so the store is read
    // immediately. tick() decides who watches once there was time to discover peers.
    setWatching(true, 0);
    m_timers.schedule(RoleDelay, [this] {
        m_timers.scheduleEvery(TickInterval, [this] { tick(); });
        tick();
    });
    m_timers.scheduleEvery(StateHeartbeatInterval, [this] { sendHeartbeats(); });
}

void FleetRelay::setMembers(const std::vector<Member> &members)
{
    m_watchers = pickWatchers(members);
    m_neighbors = pickNeighbors(m_self, members);
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
    std::erase_if(m_mismatches, [this](const auto &entry) {
        return std::find(m_peers.begin(), m_peers.end(), entry.first) == m_peers.end();
    });
    if (m_peers.empty() || std::exchange(m_hasScheduledPeerRequest, true))
        return;
    m_timers.schedule(PeerRequestDelay, [this] {
        if (m_lastContact == TimePoint())
            requestFromPeers();
    });
}

void FleetRelay::requestFromPeers()
{
    m_lastPeerRequest = m_timers.now();
    // Requests rotate over the peers, so that a peer without any objects is not asked repeatedly.
    for (std::size_t i = 0; i < std::min(m_peers.size(), PeersPerRequest); ++i)
        m_network.send(m_peers[m_nextPeer++ % m_peers.size()],
                       PeerObjectPull{m_replica.versions(), true});
}

bool FleetRelay::isDesignated() const
{
    return std::find(m_watchers.begin(), m_watchers.end(), m_self) != m_watchers.end();
}

Duration FleetRelay::validity() const
{
    if (!m_isWatching || m_hasStoreFailed)
        return Duration::zero();
    return *std::min_element(m_kindValidUntil.begin(), m_kindValidUntil.end()) - m_timers.now();
}

void FleetRelay::tick()
{
    updateIsolation();
    dropMissing();
    const bool shouldWatch = isDesignated() || !hasSource();
    // A substitute calls the store less often while it fails, which ends when it becomes a watcher.
    if (m_isWatching && (!shouldWatch || (m_isSubstitute && isDesignated())))
        setWatching(false, 0);
    if (!m_isWatching && shouldWatch)
        setWatching(true, isDesignated() ? 0 : substitutes());
    // Neither the store nor a watcher responds; a peer may still have newer objects.
    if (!hasSource() && validity() <= Duration::zero() &&
        m_timers.now() - m_lastPeerRequest > PeerRequestInterval)
        requestFromPeers();
}

void FleetRelay::updateIsolation()
{
    const TimePoint now = m_timers.now();
    while (!m_recentChanges.empty() && now - m_recentChanges.front().first > RecentChangeTime)
        m_recentChanges.pop_front();
    const bool isIsolated = m_validUntil != TimePoint() && !hasSource();
    if (std::exchange(m_isIsolated, isIsolated) == isIsolated || !isIsolated)
        return;
    for (const auto &[receivedAt, key] : m_recentChanges)
        scheduleSending(key);
}

std::uint32_t FleetRelay::substitutes() const
{
    const std::size_t members = m_peers.size() + 1;
    return static_cast<std::uint32_t>(members - std::min(members, m_watchers.size()));
}

void FleetRelay::setWatching(bool isWatching, std::uint32_t substitutes)
{
    m_isWatching = isWatching;
    m_isSubstitute = substitutes > 0;
    logEvent(LogLevel::Info, isWatching ? "storeWatchStarted" : "storeWatchEnded",
             {{"designated", isDesignated()},
              {"sinceBeat", m_timers.now() - m_lastStateHeartbeat},
              {"isolated", m_isIsolated},
              {"watchers", m_watchers.size()}});
    m_callbacks.setWatching(isWatching, substitutes);
}

void FleetRelay::sendHeartbeats()
{
    // Without validity the heartbeat tells that the store does not answer this daemon.
    const Duration validFor = std::max(validity(), Duration::zero());
    const bool isStated = validFor > Duration::zero() || (m_isWatching && m_hasStoreFailed);
    if (isDesignated() && isStated)
        for (const std::string &follower : m_followers)
            m_network.send(follower, PeerStateHeartbeat{m_digest, validFor});
}

void FleetRelay::offer(StoredObject object, const std::string &source)
{
    const StoredObject *stored = m_replica.find(object.key);
    const std::uint64_t before = stored ? hashOf(*stored) : 0;
    const std::uint64_t after = hashOf(object);
    // Peers that hold the value need not be told that it is of a later era.
    if (stored && before == after && isEarlierEra(stored->era, object.era)) {
        m_replica.confirm(object);
        return;
    }
    const std::string key = object.key;
    if (!m_replica.offer(object)) {
        if (before != after)
            reportRefused(object, *stored, source);
        return;
    }
    m_digest ^= before ^ after;
    if (m_received.empty())
        m_timers.schedule(Duration::zero(), [this] { logReceived(); });
    Received &received = m_received[source];
    ++received.objects;
    if (const std::uint64_t version = m_replica.versionOf(key); version >= received.newest) {
        received.newest = version;
        received.newestKey = key;
    }
    m_recentChanges.emplace_back(m_timers.now(), key);
    // Changes received from another watcher are forwarded too, because it has other followers.
    scheduleSending(key);
}

void FleetRelay::scheduleSending(const std::string &key)
{
    if (m_followers.empty() && !m_isIsolated)
        return;
    if (m_pendingChanges.empty())
        m_timers.schedule(Duration::zero(), [this] { sendPendingChanges(); });
    m_pendingChanges[key] = *m_replica.find(key);
}

void FleetRelay::reportRefused(const StoredObject &object, const StoredObject &stored,
                               const std::string &source)
{
    ++m_refusedObjects;
    ++m_refusedNotLogged;
    const TimePoint now = m_timers.now();
    if (m_lastRefusedLog != TimePoint() && now - m_lastRefusedLog < RefusedLogInterval)
        return;
    m_lastRefusedLog = now;
    logEvent(LogLevel::Warn, "objectsRefused",
             {{"source", source.empty() ? "store" : source},
              {"objects", std::exchange(m_refusedNotLogged, 0)},
              {"key", object.key},
              {"revision", object.version},
              {"era", object.era},
              {"held", stored.version},
              {"heldEra", stored.era}});
}

void FleetRelay::logReceived()
{
    for (const auto &[source, received] : std::exchange(m_received, {}))
        logEvent(LogLevel::Info, "objectsReceived",
                 {{"source", source.empty() ? "store" : source},
                  {"objects", received.objects},
                  {"key", received.newestKey},
                  {"revision", received.newest}});
}

void FleetRelay::onStoredObject(StoredObject object, ObjectOrigin origin)
{
    const StoredObject *stored = m_replica.find(object.key);
    object.isOfEra = origin == ObjectOrigin::Changed;
    if (stored && stored->value == object.value)
        m_replica.confirm(object);
    if (stored ? stored->value == object.value : object.value.empty())
        return;
    if (object.value.empty())
        object.order = orderOfDeletion(std::max(object.order, stored->order));
    // A deletion may carry the revision of the object's last change. A deletion with an older
    // revision is late: the object has been created again since, as another watcher reported.
    if (object.value.empty() && areComparable(object.era, stored->era) &&
        object.version == stored->version)
        ++object.version;
    offer(std::move(object), {});
}

void FleetRelay::onObjectList(const std::string &prefix, const std::set<std::string> &keys,
                              const StoreRevision &revision, bool isComplete)
{
    if (!isComplete)
        return;
    const auto [place, isFirst] = m_lists.try_emplace(prefix);
    ObjectList &list = place->second;
    if (revision.era < list.revision.era)
        return;
    const bool isNewEra = revision.era > list.revision.era;
    if (isFirst || isNewEra)
        list.missingUntil = m_timers.now() + MissingObjectTime;
    const StoreRevision before = list.revision;
    list.revision = {revision.era,
                     isNewEra ? revision.number : std::max(before.number, revision.number)};
    std::size_t missing = 0;
    for (const StoredObject &object : m_replica.all()) {
        if (!object.key.starts_with(prefix) || object.value.empty() || keys.contains(object.key))
            continue;
        if (isEarlierEra(object.era, revision.era)) {
            m_missing.insert(object.key);
            ++missing;
        } else if (areComparable(object.era, revision.era) && object.version < revision.number) {
            offer(deletionOf(objectVersion(object), revision), {});
        }
    }
    if (isNewEra && !isFirst)
        logEvent(LogLevel::Warn, "storeReturned",
                 {{"objects", prefix},
                  {"era", revision.era},
                  {"before", before.era},
                  {"revision", revision.number},
                  {"revisionBefore", before.number},
                  {"missing", missing},
                  {"keptFor", MissingObjectTime}});
}

void FleetRelay::dropMissing()
{
    // A daemon that does not watch the store is told of deletions, and not of each object that has
    // been written again.
    if (!m_isWatching)
        m_missing.clear();
    for (auto next = m_missing.begin(); next != m_missing.end();) {
        const StoredObject *held = m_replica.find(*next);
        const ObjectList *list = listOf(*next);
        const bool isStillMissing =
                held && list && !held->value.empty() && isEarlierEra(held->era, list->revision.era);
        // While the store does not answer, the object may have been written again.
        if (isStillMissing &&
            (m_timers.now() < list->missingUntil || validity() <= Duration::zero())) {
            ++next;
            continue;
        }
        if (isStillMissing) {
            logEvent(LogLevel::Info, "missingObjectDropped",
                     {{"key", *next}, {"revision", held->version}, {"era", held->era}});
            m_changeAge = MissingObjectTime;
            offer(deletionOf(objectVersion(*held), list->revision), {});
        }
        next = m_missing.erase(next);
    }
}

void FleetRelay::onStoreContact(StoredKind kind, Duration validFor, bool isComplete)
{
    m_lastContact = m_timers.now();
    m_kindValidUntil[static_cast<std::size_t>(kind)] = m_lastContact + validFor;
    m_hasStoreFailed = false;
    TimePoint &currentAt = m_currentAt[static_cast<std::size_t>(kind)];
    m_changeAge = changeAge(currentAt);
    if (isComplete)
        currentAt = m_lastContact;
}

void FleetRelay::onStoreFailure()
{
    m_hasStoreFailed = true;
    m_lastStoreFailure = m_timers.now();
}

Duration FleetRelay::changeAge(TimePoint currentAt) const
{
    const bool hasFailed = m_lastStoreFailure && *m_lastStoreFailure + EntryReturnTime > currentAt;
    if (hasFailed || currentAt == TimePoint())
        return Duration::zero();
    return m_timers.now() - currentAt;
}

void FleetRelay::sendPendingChanges()
{
    std::vector<StoredObject> changes;
    for (auto &[key, object] : std::exchange(m_pendingChanges, {}))
        changes.push_back(std::move(object));
    std::set<std::string> receivers(m_followers.begin(), m_followers.end());
    if (m_isIsolated)
        receivers.insert(m_neighbors.begin(), m_neighbors.end());
    for (const PeerObjectPush &push : toPushes(std::move(changes)))
        for (const std::string &receiver : receivers)
            m_network.send(receiver, push);
}

void FleetRelay::onStateHeartbeat(const std::string &peerAddress,
                                  const PeerStateHeartbeat &heartbeat)
{
    const TimePoint now = m_timers.now();
    if (heartbeat.validFor <= Duration::zero()) {
        m_lastStoreFailure = now;
        return;
    }
    m_lastStateHeartbeat = now;
    m_validUntil =
            std::max(m_validUntil, now + std::min<Duration>(heartbeat.validFor, MaxStatedValidity));
    if (heartbeat.digest != m_digest) {
        onOtherDigest(peerAddress);
        return;
    }
    m_mismatches[peerAddress] = 0;
    m_differsSince.reset();
    m_currentAt.fill(now);
}

void FleetRelay::onOtherDigest(const std::string &peerAddress)
{
    const TimePoint now = m_timers.now();
    if (!m_differsSince)
        m_differsSince = now;
    if (differenceAge() > DifferenceReportTime &&
        now - m_lastDifferenceLog > DifferenceReportTime) {
        m_lastDifferenceLog = now;
        logEvent(LogLevel::Error, "fleetStateDiffers",
                 {{"peer", peerAddress},
                  {"since", differenceAge()},
                  {"objects", m_replica.versions().size()}});
    }
    std::uint32_t &mismatches = m_mismatches[peerAddress];
    if (++mismatches < MismatchesBeforePull || now - m_lastPull < PullInterval)
        return;
    mismatches = 0;
    m_lastPull = now;
    logEvent(LogLevel::Info, "fleetStateCompared",
             {{"peer", peerAddress}, {"differsFor", differenceAge()}});
    m_network.send(peerAddress, PeerObjectPull{m_replica.versions(), true});
}

void FleetRelay::onPull(const std::string &peerAddress, const PeerObjectPull &pull)
{
    std::map<std::string, ObjectVersion> known;
    for (const ObjectVersion &version : pull.wanted)
        known[version.key] = version;
    std::vector<StoredObject> newer = m_replica.all();
    std::erase_if(newer, [&](const StoredObject &object) {
        const auto found = known.find(object.key);
        return found != known.end() ? !isNewer(objectVersion(object), found->second)
                                    : !pull.isFullCopyWanted;
    });
    for (const auto &[key, version] : known)
        if (auto deletion = deletedBeforeList(version))
            newer.push_back(std::move(*deletion));
    for (PeerObjectPush &push : toPushes(std::move(newer)))
        m_network.send(peerAddress, std::move(push));
}

void FleetRelay::onPush(const std::string &peerAddress, const PeerObjectPush &push)
{
    m_changeAge = changeAge(*std::max_element(m_currentAt.begin(), m_currentAt.end()));
    for (const StoredObject &object : push.objects) {
        if (deletedBeforeList(objectVersion(object)))
            continue;
        const StoredObject *held = m_replica.find(object.key);
        const ObjectList *list = listOf(object.key);
        // dropMissing() ignores the key if the object is of the list's era.
        if (list && (!held || held->value.empty()))
            m_missing.insert(object.key);
        offer(object, peerAddress);
    }
}

const FleetRelay::ObjectList *FleetRelay::listOf(const std::string &key) const
{
    const auto list = m_lists.find(prefixOf(key));
    return list == m_lists.end() ? nullptr : &list->second;
}

std::optional<StoredObject> FleetRelay::deletedBeforeList(const ObjectVersion &version) const
{
    const ObjectList *list = listOf(version.key);
    if (!list)
        return std::nullopt;
    const StoreRevision &revision = list->revision;
    // An object of an earlier era that the list lacks does not count as held in the list's era.
    const bool isMissing =
            m_missing.contains(version.key) && areComparable(version.era, revision.era);
    if (m_replica.find(version.key) && !isMissing)
        return std::nullopt;
    const bool isOlder =
            areComparable(version.era, revision.era)
                    ? version.version <= revision.number
                    : version.era < revision.era && m_timers.now() >= list->missingUntil;
    return isOlder ? std::optional(deletionOf(version, revision)) : std::nullopt;
}

} // namespace geraniumcart
