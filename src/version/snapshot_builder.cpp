#include <geraniumcart/snapshot_builder.h>

#include <geraniumcart/ownership.h>

#include <algorithm>

namespace geraniumcart {

namespace {

/// @return true if the member may own searchers
bool mayOwn(const Member &member, const RuleSet &rules)
{
    const bool isPresent =
            member.state == MemberState::Alive || member.state == MemberState::Suspect;
    return isPresent && !rules.isZoneOut(member.zone);
}

/// @return true if callers are sent to the member
bool isListed(const Member &member, const RuleSet &rules)
{
    return member.state == MemberState::Alive && !rules.isZoneOut(member.zone);
}

/// @return true if the searcher may get new requests
bool receivesWork(const Searcher &searcher, const RuleSet &rules)
{
    return searcher.entry.state == HostState::Live && !rules.isZoneOut(searcher.entry.zone) &&
           !searcher.state->isDraining();
}

/// @return null if answers of this version are not counted
std::shared_ptr<VersionCounters> countersFor(const RoutingInputs &inputs,
                                             const std::string &service, const std::string &version)
{
    const auto byVersion = inputs.serviceCounters.find(service);
    if (byVersion == inputs.serviceCounters.end())
        return nullptr;
    const auto found = byVersion->second.find(version);
    return found == byVersion->second.end() ? nullptr : found->second;
}

std::vector<Searcher> buildSearchers(const std::string &service, const RoutingInputs &inputs,
                                     std::span<const Member> owners, UpstreamRegistry &registry)
{
    std::vector<SearcherEntry> entries;
    for (const SearcherEntry &entry : inputs.hosts.searchers)
        if (entry.service == service)
            entries.push_back(entry);

    std::vector<std::uint32_t> assigned;
    if (inputs.mode == RoutingMode::Owner)
        assigned = assignOwners(entries, owners);

    std::vector<Searcher> searchers;
    searchers.reserve(entries.size());
    for (std::size_t i = 0; i < entries.size(); ++i) {
        Searcher searcher;
        searcher.state = registry.obtain(entries[i].address);
        searcher.entry = std::move(entries[i]);
        searcher.versionCounters = countersFor(inputs, service, searcher.entry.backEndVersion);
        if (!assigned.empty() && owners[assigned[i]].name != inputs.selfName)
            searcher.owner = owners[assigned[i]].peerAddress;
        searchers.push_back(std::move(searcher));
    }
    return searchers;
}

IndexView buildView(const PartitionMap &partitions, const std::vector<Searcher> &searchers,
                    const RuleSet &rules)
{
    IndexView view;
    view.partitions = partitions;
    view.replicas.resize(partitions.shardCount());
    for (std::uint32_t i = 0; i < searchers.size(); ++i) {
        const Searcher &searcher = searchers[i];
        if (searcher.entry.shard >= view.replicas.size() || !receivesWork(searcher, rules))
            continue;
        if (searcher.state->served().contains(partitions.indexVersion))
            view.replicas[searcher.entry.shard].push_back(i);
    }
    view.coveredShards = static_cast<std::uint32_t>(
            std::count_if(view.replicas.begin(), view.replicas.end(),
                          [](const auto &replicas) { return !replicas.empty(); }));
    return view;
}

std::uint64_t coveredDocuments(const IndexView &view)
{
    std::uint64_t documents = 0;
    for (std::size_t shard = 0; shard < view.replicas.size(); ++shard)
        if (!view.replicas[shard].empty())
            documents += view.partitions.documents[shard];
    return documents;
}

/// @return the newest version with a replica in every shard; if there is none, the version that
/// covers the most documents
std::optional<IndexView> chooseView(const ServiceCatalog &catalog,
                                    const std::vector<Searcher> &searchers, const RuleSet &rules)
{
    std::optional<IndexView> best;
    for (const PartitionMap &partitions : catalog.indexVersions) {
        IndexView view = buildView(partitions, searchers, rules);
        if (view.coveredShards == partitions.shardCount())
            return view;
        if (!best || coveredDocuments(view) > coveredDocuments(*best))
            best = std::move(view);
    }
    return best;
}

} // namespace

std::shared_ptr<UpstreamState> UpstreamRegistry::obtain(const std::string &address)
{
    std::shared_ptr<UpstreamState> &state = m_states[address];
    if (!state)
        state = std::make_shared<UpstreamState>(address);
    return state;
}

UpstreamState *UpstreamRegistry::find(const std::string &address) const
{
    const auto found = m_states.find(address);
    return found == m_states.end() ? nullptr : found->second.get();
}

void UpstreamRegistry::prune()
{
    std::erase_if(m_states, [](const auto &entry) { return entry.second.use_count() == 1; });
}

RoutingSnapshot buildSnapshot(const RoutingInputs &inputs, UpstreamRegistry &registry)
{
    RoutingSnapshot snapshot;
    snapshot.rulesVersion = inputs.rulesVersion;
    snapshot.rules = inputs.rules;
    snapshot.isComplete = inputs.hasRules && inputs.hasHosts && !inputs.catalogs.empty();
    snapshot.acceptsNewWork = !inputs.refusesNewWork;
    snapshot.isLeaving = inputs.refusesNewWork || inputs.rules.isZoneOut(inputs.selfZone);

    std::vector<Member> owners;
    for (const Member &member : inputs.members) {
        if (mayOwn(member, inputs.rules))
            owners.push_back(member);
        if (isListed(member, inputs.rules))
            snapshot.entries.push_back({member.address, member.zone, 1});
        else if (member.name == inputs.selfName)
            snapshot.isLeaving = true;
    }
    snapshot.liveMembers = std::max<std::uint32_t>(1, static_cast<std::uint32_t>(owners.size()));

    for (const auto &[name, catalog] : inputs.catalogs) {
        auto routing = std::make_shared<ServiceRouting>();
        routing->name = name;
        routing->limits = catalog.limits;
        routing->searchers = buildSearchers(name, inputs, owners, registry);
        for (std::uint32_t i = 0; i < routing->searchers.size(); ++i)
            routing->byAddress.emplace(routing->searchers[i].entry.address, i);
        routing->view = chooseView(catalog, routing->searchers, inputs.rules);
        const auto shares = inputs.versionShares.find(name);
        if (shares != inputs.versionShares.end())
            routing->versionShares = shares->second;
        snapshot.services.emplace(name, std::move(routing));
    }
    return snapshot;
}

} // namespace geraniumcart
