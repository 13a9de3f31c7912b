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

/// Process-wide states of all searchers ever routed to, by address. Belongs to the control thread.
class UpstreamRegistry
{
public:
    std::shared_ptr<UpstreamState> obtain(const std::string &address);
    /// @return the state, or nothing if the searcher was never routed to
    UpstreamState *find(const std::string &address) const;
    /// Forgets states that no snapshot or request refers to.
    void prune();
    std::size_t size() const { return m_states.size(); }

private:
    std::map<std::string, std::shared_ptr<UpstreamState>, std::less<>> m_states;
};

enum class RoutingMode : std::uint8_t {
    /// Each daemon dispatches to every searcher itself.
    Direct,
    /// Each searcher has one owner daemon; others send through it.
    Owner,
};

/// Everything that routing derives from.
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
    /// True once callers must no longer come here: the planned stop or the zone's removal is older
    /// than the entry lists that callers keep.
    bool refusesNewWork = false;
    RoutingMode mode = RoutingMode::Owner;
    /// For services under a move.
    std::map<std::string, std::vector<VersionShare>, std::less<>> versionShares;
    /// For services under a move: counters by back-end version.
    ServiceCounters serviceCounters;
};

/// Builds routing from inputs and from what the upstream states say of served index versions.
/// Searchers in zones out, leaving or draining get no new work and appear in no replica list.
RoutingSnapshot buildSnapshot(const RoutingInputs &inputs, UpstreamRegistry &registry);

} // namespace geraniumcart
