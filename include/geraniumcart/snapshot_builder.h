#pragma once

#include <geraniumcart/catalog.h>
#include <geraniumcart/member.h>
#include <geraniumcart/snapshot.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace geraniumcart {

/// Holds the process-wide state of each searcher that requests were routed to, by address. Used on
/// the control thread only.
class UpstreamRegistry
{
public:
    /// @return the state of the searcher at @p address, created if there is none
    std::shared_ptr<UpstreamState> obtain(const std::string &address);
    /// @return the state, or nullptr if no request was ever routed to the searcher
    UpstreamState *find(const std::string &address) const;
    /// Removes states that no snapshot or request refers to.
    void prune();
    std::size_t size() const { return m_states.size(); }

private:
    std::map<std::string, std::shared_ptr<UpstreamState>, std::less<>> m_states;
};

enum class RoutingMode : std::uint8_t {
    /// Each daemon dispatches to every searcher itself.
    Direct,
    /// Each searcher has one owner daemon; the other daemons send through it.
    Owner,
};

/// Inputs from which buildSnapshot() derives the routing.
struct RoutingInputs
{
    std::uint64_t rulesVersion = 0;
    RuleSet rules;
    std::map<std::string, ServiceCatalog, std::less<>> catalogs;
    HostList hosts;
    bool hasRules = false;
    bool hasHosts = false;
    /// All known members, this daemon included.
    std::vector<Member> members;
    std::string selfName;
    std::string selfZone;
    /// True once callers must no longer use this daemon: its planned stop or the removal of its
    /// zone is older than the entry lists that callers keep.
    bool refusesNewWork = false;
    RoutingMode mode = RoutingMode::Owner;
    /// Share of each version, for services with a rollout.
    std::map<std::string, std::vector<VersionShare>, std::less<>> versionShares;
    /// Counters by back-end version, for services with a rollout.
    ServiceCounters serviceCounters;
};

/// Builds a snapshot from the inputs and from the index versions that the upstream states report as
/// served. Searchers that are leaving, draining or in a zone that is out of service get no new work
/// and appear in no replica list.
RoutingSnapshot buildSnapshot(const RoutingInputs &inputs, UpstreamRegistry &registry);

} // namespace geraniumcart
