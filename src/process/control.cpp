#include "process/control_p.h"

#include "process/log_p.h"

#include <geraniumcart/config.h>
#include <geraniumcart/invariants.h>

#include <xxhash.h>

#include <algorithm>

namespace geraniumcart {

namespace {

constexpr const char *RulesKey = "rules";
constexpr const char *HostsKey = "hosts";
constexpr const char *CatalogPrefix = "catalog/";
constexpr const char *RolloutDuty = "moves";

/// Number of daemons in each zone that watch the store. With two, one can fail; each further one
/// would cost the store another pending call.
constexpr std::size_t WatchersPerZone = 2;
/// Interval at which the upstream states are checked for changes of served versions and draining.
constexpr std::chrono::milliseconds PollInterval{50};
/// Interval of full reports. Changes are sent at once, so full reports only replace lost ones.
constexpr std::chrono::seconds FullReportInterval{5};
/// Interval at which a daemon with incomplete configuration repeats its request to peers.
constexpr std::chrono::milliseconds FullCopyRequestInterval{250};

/// True if routing would not differ between the two states.
bool isSameForRouting(const UpstreamReport &a, const UpstreamReport &b)
{
    return a.served == b.served && a.warmBootId == b.warmBootId && a.isDraining == b.isDraining;
}

UpstreamReport reportOf(const UpstreamState &state)
{
    return {state.address(),    state.served(),   state.warmBootId(),
            state.isDraining(), state.inFlight(), state.latency()};
}

MembershipConfig membershipConfig(const ControlConfig &config)
{
    MembershipConfig membership;
    membership.self = config.self;
    membership.seeds = config.seeds;
    std::erase(membership.seeds, config.self.peerAddress);
    membership.seed = XXH3_64bits(config.self.name.data(), config.self.name.size());
    return membership;
}

} // namespace

Control::Control(ControlContext context, ControlConfig config)
    : m_context(context)
    , m_config(std::move(config))
    , m_replica([this](const StoredObject &object) { onObject(object); })
    , m_watcher(context.store, context.timers, m_replica)
    , m_membership(membershipConfig(m_config), context.timers, context.network, *this,
                   [this] { onMembersChanged(); })
    , m_rollout({}, context.timers)
    , m_rolloutLease({RolloutDuty, m_config.self.name, m_membership.self().incarnation},
                     context.store, context.timers)
    , m_rolloutRecorder(m_rolloutLease, context.store, context.timers, m_rollout)
    , m_status(std::make_shared<ControlStatus>())
{
    m_startIncarnation = m_membership.self().incarnation;
    m_inputs.selfName = m_config.self.name;
    m_inputs.selfZone = m_config.self.zone;
    m_inputs.mode = m_config.mode;
    m_watcher.follow(RulesKey);
    m_watcher.follow(HostsKey);
    m_watcher.followPrefix(CatalogPrefix);
    m_watcher.followPrefix(RolloutRecordPrefix);
}

void Control::start()
{
    m_membership.start();
    requestFullCopy();
    updateWatcher();
    pollUpstreams();
    m_context.timers.scheduleEvery(PollInterval, [this] { pollUpstreams(); });
    startRollouts();
    startStatus();
    requestRebuild();
}

PeerHello Control::hello(PeerPlane plane) const
{
    return {m_membership.self(), m_config.cell, plane};
}

void Control::beginLeaving()
{
    logEvent(LogLevel::Info, "leaving");
    m_membership.announceLeaving();
}

void Control::finishLeaving()
{
    m_membership.announceLeft();
}

// Configuration

void Control::onObject(const StoredObject &object)
{
    if (object.key == RulesKey)
        onRules(object);
    else if (object.key == HostsKey)
        onHosts(object);
    else if (object.key.starts_with(CatalogPrefix))
        onCatalog(object);
    else if (object.key.starts_with(RolloutRecordPrefix))
        m_rolloutRecorder.onRecord(object);
    if (m_watcher.isActive())
        pushToPeers(object);
    requestRebuild();
}

void Control::onRules(const StoredObject &object)
{
    ParseError error;
    std::optional<RuleSet> rules = parseRules(object.value, error);
    if (!rules) {
        // The command line refuses such a file, so another program must have stored it. The
        // previous rules stay in force.
        logEvent(LogLevel::Error, "rulesRefused",
                 {{"version", object.version}, {"reason", describe(error)}});
        return;
    }
    checkInvariant(Invariant::ConfigurationMonotonic, object.version > m_inputs.rulesVersion,
                   "rules version did not increase");
    m_inputs.rules = std::move(*rules);
    m_inputs.rulesVersion = object.version;
    m_inputs.hasRules = true;
    m_rollout.configure(m_inputs.rules);
    const bool isOut = m_inputs.rules.isZoneOut(m_config.self.zone);
    if (!isOut)
        m_zoneOutSince.reset();
    else if (!m_zoneOutSince)
        m_zoneOutSince = m_context.timers.now();
    logEvent(LogLevel::Info, "rulesInForce", {{"version", object.version}});
}

void Control::onHosts(const StoredObject &object)
{
    CatalogError error{};
    std::string field;
    std::optional<HostList> hosts = parseHostList(object.value, error, field);
    if (!hosts) {
        logEvent(LogLevel::Error, "hostsRefused", {{"version", object.version}, {"field", field}});
        return;
    }
    std::vector<std::string> seeds;
    for (const EntryHost &entry : hosts->entries)
        if (entry.state == HostState::Live)
            seeds.push_back(entry.peerAddress);
    m_membership.setSeeds(std::move(seeds));
    m_inputs.hosts = std::move(*hosts);
    m_inputs.hasHosts = true;
}

void Control::onCatalog(const StoredObject &object)
{
    CatalogError error{};
    std::string field;
    std::optional<ServiceCatalog> catalog = parseCatalog(object.value, error, field);
    if (!catalog) {
        logEvent(LogLevel::Error, "catalogRefused",
                 {{"key", object.key}, {"version", object.version}, {"field", field}});
        return;
    }
    m_inputs.catalogs[catalog->service] = std::move(*catalog);
}

void Control::pushToPeers(const StoredObject &object)
{
    for (const std::string &peer : presentPeers())
        m_context.network.send(peer, PeerObjectPush{{object}, false});
}

void Control::onPull(const std::string &peerAddress, const PeerObjectPull &pull)
{
    std::vector<StoredObject> objects =
            pull.isFullCopyWanted ? m_replica.all() : m_replica.newerThan(pull.wanted);
    // One object per frame: the largest object fits into a frame, several might not.
    for (StoredObject &object : objects)
        m_context.network.send(peerAddress, PeerObjectPush{{std::move(object)}, false});
    if (pull.isFullCopyWanted && m_inputs.hasRules)
        m_context.network.send(peerAddress, PeerObjectPush{{}, true});
}

void Control::onPush(const PeerObjectPush &push)
{
    for (const StoredObject &object : push.objects)
        m_replica.offer(object);
    if (push.isCompleteCopy)
        markRulesKnown();
}

void Control::markRulesKnown()
{
    // If the store has no rules object, no rule was ever accepted, so the empty set is in force.
    if (m_inputs.hasRules)
        return;
    m_inputs.hasRules = true;
    requestRebuild();
}

void Control::requestFullCopy()
{
    if (m_inputs.hasRules && m_inputs.hasHosts && !m_inputs.catalogs.empty())
        return;
    m_context.timers.schedule(FullCopyRequestInterval, [this] { requestFullCopy(); });
    std::vector<std::string> peers = presentPeers();
    if (peers.empty())
        peers = m_config.seeds;
    std::erase(peers, m_config.self.peerAddress);
    for (const std::string &peer : peers)
        m_context.network.send(peer, PeerObjectPull{{}, true});
}

// Peers

std::vector<std::string> Control::presentPeers() const
{
    std::vector<std::string> peers;
    for (const Member &member : m_membership.members())
        if (member.name != m_config.self.name && isPresent(member.state))
            peers.push_back(member.peerAddress);
    return peers;
}

void Control::onPeerMessage(const std::string &peerAddress, PeerMessage message)
{
    if (const auto *ping = std::get_if<PeerPing>(&message))
        m_membership.onPing(peerAddress, *ping);
    else if (const auto *ack = std::get_if<PeerAck>(&message))
        m_membership.onAck(peerAddress, *ack);
    else if (const auto *request = std::get_if<PeerPingRequest>(&message))
        m_membership.onPingRequest(peerAddress, *request);
    else if (const auto *hello = std::get_if<PeerHello>(&message))
        m_membership.onHello(*hello);
    else if (const auto *pull = std::get_if<PeerObjectPull>(&message))
        onPull(peerAddress, *pull);
    else if (const auto *push = std::get_if<PeerObjectPush>(&message))
        onPush(*push);
    else if (const auto *reports = std::get_if<PeerUpstreamReports>(&message))
        onReports(*reports);
}

void Control::fill(Gossip &gossip)
{
    gossip.objects = m_replica.versions();
    gossip.answerCounts = ownAnswerCounts();
    gossip.stops = m_rollout.stops();
}

void Control::onGossip(const std::string &peerAddress, const Gossip &gossip)
{
    for (const ObjectVersion &version : gossip.objects)
        if (version.key == RulesKey)
            m_peerRules[peerAddress] = version.version;
    for (const AnswerCounts &row : gossip.answerCounts)
        m_rollout.mergeAnswerCounts(row);
    for (const RolloutStop &stop : gossip.stops)
        m_rollout.applyStop(stop);
    std::vector<ObjectVersion> stale = m_replica.staleAgainst(gossip.objects);
    if (!stale.empty())
        m_context.network.send(peerAddress, PeerObjectPull{std::move(stale), false});
}

void Control::onMembersChanged()
{
    updateWatcher();
    const std::vector<std::string> peers = presentPeers();
    for (const std::string &peer : peers)
        if (std::find(m_knownPeers.begin(), m_knownPeers.end(), peer) == m_knownPeers.end())
            sendReports(peer, ownReports());
    m_knownPeers = peers;
    std::erase_if(m_peerRules, [&](const auto &entry) {
        return std::find(peers.begin(), peers.end(), entry.first) == peers.end();
    });
    requestRebuild();
}

bool Control::shouldWatchStore() const
{
    // Rendezvous hashing: the members of a zone with the lowest hashes watch the store, so that a
    // change of members affects few watches.
    const auto hashOf = [](const std::string &name) {
        return XXH3_64bits(name.data(), name.size());
    };
    const std::uint64_t own = hashOf(m_config.self.name);
    const std::vector<Member> members = m_membership.members();
    const auto lowerCount =
            std::count_if(members.begin(), members.end(), [&](const Member &member) {
                return member.zone == m_config.self.zone && member.state == MemberState::Alive &&
                       hashOf(member.name) < own;
            });
    return static_cast<std::size_t>(lowerCount) < WatchersPerZone;
}

void Control::updateWatcher()
{
    const bool shouldWatch = shouldWatchStore();
    if (shouldWatch != m_watcher.isActive())
        logEvent(LogLevel::Info, shouldWatch ? "watchStarted" : "watchStopped");
    m_watcher.setActive(shouldWatch);
    // Only the daemons that watch the store compete for the lease, which bounds the number of store
    // calls.
    m_rolloutLease.setActive(shouldWatch);
}

// Upstream states

std::vector<UpstreamReport> Control::ownReports() const
{
    std::vector<UpstreamReport> reports;
    const SnapshotPin snapshot = m_context.snapshots.pin();
    for (const auto &[name, service] : snapshot->services)
        for (const Searcher &searcher : service->searchers)
            if (searcher.owner.empty())
                reports.push_back(reportOf(*searcher.state));
    return reports;
}

void Control::sendReports(const std::string &peerAddress,
                          const std::vector<UpstreamReport> &reports)
{
    if (m_config.mode == RoutingMode::Owner && !reports.empty())
        m_context.network.send(peerAddress, PeerUpstreamReports{reports});
}

void Control::onReports(const PeerUpstreamReports &reports)
{
    for (const UpstreamReport &report : reports.reports) {
        UpstreamState *state = m_registry.find(report.address);
        if (!state)
            continue;
        state->setServed(report.served);
        state->setWarmBootId(report.warmBootId);
        state->setDraining(report.isDraining);
    }
}

void Control::pollUpstreams()
{
    const SnapshotPin snapshot = m_context.snapshots.pin();
    std::vector<UpstreamReport> changed;
    bool needsRebuild = false;
    for (const auto &[name, service] : snapshot->services) {
        for (const Searcher &searcher : service->searchers) {
            // Searchers of a zone that is out of service count as cold when it returns to service.
            if (snapshot->rules.isZoneOut(searcher.entry.zone))
                searcher.state->forget();
            const UpstreamReport report = reportOf(*searcher.state);
            const auto [lastReport, isNew] = m_lastReports.try_emplace(report.address, report);
            const bool isChanged = !isNew && !isSameForRouting(lastReport->second, report);
            if (!isNew && !isChanged)
                continue;
            needsRebuild = needsRebuild || lastReport->second.served != report.served ||
                           lastReport->second.isDraining != report.isDraining || isNew;
            lastReport->second = report;
            if (searcher.owner.empty())
                changed.push_back(report);
        }
    }
    const TimePoint now = m_context.timers.now();
    const bool isFull = now - m_lastFullReport >= FullReportInterval;
    if (isFull)
        m_lastFullReport = now;
    const std::vector<UpstreamReport> &reports = isFull ? ownReports() : changed;
    for (const std::string &peer : presentPeers())
        sendReports(peer, reports);
    if (m_watcher.hasCaughtUp())
        markRulesKnown();
    if (needsRebuild || mustRefuseNewWork() == snapshot->acceptsNewWork)
        requestRebuild();
}

// Routing

bool Control::mustRefuseNewWork() const
{
    return m_zoneOutSince && m_context.timers.now() - *m_zoneOutSince >= EntriesValidFor;
}

void Control::requestRebuild()
{
    if (m_rebuildPosted)
        return;
    m_rebuildPosted = true;
    m_context.timers.schedule(Duration::zero(), [this] {
        m_rebuildPosted = false;
        rebuild();
    });
}

void Control::rebuild()
{
    m_inputs.members = m_membership.members();
    m_inputs.refusesNewWork = mustRefuseNewWork();
    RoutingSnapshot snapshot = buildSnapshot(m_inputs, m_registry);
    snapshot.generation = ++m_generation;
    UpstreamGate::Share share;
    share.senders = m_config.mode == RoutingMode::Direct ? snapshot.liveMembers : 1;
    share.isQuarantined = m_config.mode == RoutingMode::Owner && m_membership.isQuarantined();
    m_context.sink.applyRouting(snapshot, share);
    m_context.snapshots.publish(std::move(snapshot));
    m_registry.prune();
    updateStatus();
}

} // namespace geraniumcart
