#pragma once

#include <geraniumcart/answer_counters.h>
#include <geraniumcart/catalog.h>
#include <geraniumcart/rcu_publisher.h>
#include <geraniumcart/rules.h>
#include <geraniumcart/upstream_state.h>
#include <geraniumcart/version_split.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumcart {

/// A searcher in one snapshot.
struct Searcher
{
    SearcherEntry entry;
    /// IP:port at which the daemon that dispatches to it accepts peer connections; empty if this
    /// daemon dispatches to it.
    std::string owner;
    /// Shared by all snapshots and workers of the process, so that it outlives a single snapshot.
    std::shared_ptr<UpstreamState> state;
    /// Counters for its answers; null if the service has no rollout.
    std::shared_ptr<VersionCounters> versionCounters;
};

/// One index version of a service and the searchers that serve each of its shards.
struct IndexView
{
    PartitionMap partitions;
    /// Indices into ServiceRouting::searchers, for each shard.
    std::vector<std::vector<std::uint32_t>> replicas;
    /// Shards that have at least one replica.
    std::uint32_t coveredShards = 0;
};

/// Routing state of one service.
struct ServiceRouting
{
    std::string name;
    SearcherLimits limits;
    std::vector<Searcher> searchers;
    /// Index into searchers by address.
    std::map<std::string, std::uint32_t, std::less<>> byAddress;
    /// The index version that new queries use; absent while no partition map is known.
    std::optional<IndexView> view;
    /// Empty if the service has no rollout: all versions are treated alike.
    std::vector<VersionShare> versionShares;
};

/// An address that callers may use.
struct EntryAddress
{
    std::string address;
    std::string zone;
    std::uint32_t weight = 1;
    bool operator==(const EntryAddress &) const = default;
};

/// Immutable routing state. Each request pins the snapshot that is current when it starts.
struct RoutingSnapshot
{
    /// Increases with each snapshot that this process publishes.
    std::uint64_t generation = 0;
    /// Object version of the rules in force; 0 before any were accepted.
    std::uint64_t rulesVersion = 0;
    RuleSet rules;
    std::map<std::string, std::shared_ptr<const ServiceRouting>, std::less<>> services;
    std::vector<EntryAddress> entries;
    /// Members that share the work, this daemon included.
    std::uint32_t liveMembers = 1;
    /// True once rules, catalog and hosts were all read.
    bool isComplete = false;
    /// False once callers must no longer use this daemon; see RoutingInputs::refusesNewWork.
    bool acceptsNewWork = true;
    /// True if this daemon is not among the entries. Callers whose list of entries has not expired
    /// are still served while acceptsNewWork is true, and are asked to connect elsewhere.
    bool isLeaving = false;
};

/// Keeps one snapshot alive.
using SnapshotPin = RcuPin<RoutingSnapshot>;
/// Publishes snapshots to all workers; an empty one is current before the first publish().
using SnapshotPublisher = RcuPublisher<RoutingSnapshot>;

} // namespace geraniumcart
