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

/// A searcher as one snapshot sees it.
struct Searcher
{
    SearcherEntry entry;
    /// IP:port at which the daemon that dispatches to it takes peers; empty for this one.
    std::string owner;
    /// Process-wide state; outlives every snapshot.
    std::shared_ptr<UpstreamState> state;
    /// Where answers are counted; absent while the service is under no move.
    std::shared_ptr<VersionCounters> versionCounters;
};

/// One index version of a service and who serves each of its shards.
struct IndexView
{
    PartitionMap partitions;
    /// Indices into ServiceRouting::searchers, for each shard.
    std::vector<std::vector<std::uint32_t>> replicas;
    /// Shards that have at least one replica.
    std::uint32_t coveredShards = 0;
};

/// Everything a request needs of one service.
struct ServiceRouting
{
    std::string name;
    SearcherLimits limits;
    std::vector<Searcher> searchers;
    /// Index into searchers by address.
    std::map<std::string, std::uint32_t, std::less<>> byAddress;
    /// The index version that new queries use; absent while no shard map is known.
    std::optional<IndexView> view;
    /// Empty while no move is under way: all versions are equal.
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

/// Immutable routing state. Requests pin the one in force at their start.
struct RoutingSnapshot
{
    /// Grows with each snapshot this process publishes.
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
    /// False once callers must no longer come here; see RoutingInputs::refusesNewWork.
    bool acceptsNewWork = true;
    /// True when this daemon is not among the entries. Callers whose list has not run out are still
    /// served while acceptsNewWork holds, and are asked to connect elsewhere.
    bool isLeaving = false;
};

/// Keeps one snapshot alive.
using SnapshotPin = RcuPin<RoutingSnapshot>;
/// Publishes snapshots to all workers; an empty one is in force before the first publish().
using SnapshotPublisher = RcuPublisher<RoutingSnapshot>;

} // namespace geraniumcart
