#pragma once

#include <geraniumcart/snapshot.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <span>

namespace geraniumcart {

/// Picks a replica for one sub-request. Each worker has its own instance.
class ReplicaChoice
{
public:
    virtual ~ReplicaChoice() = default;
    /// @param service holds the searchers; @p candidates are indices into them
    /// @param candidates replicas of one shard, in no particular order
    /// @param excluded replicas that this request has already tried
    /// @return an element of @p candidates, or nullopt if all are excluded, draining or of a
    /// back-end version with share 0
    virtual std::optional<std::uint32_t> choose(const ServiceRouting &service,
                                                std::span<const std::uint32_t> candidates,
                                                std::span<const std::uint32_t> excluded) = 0;
};

enum class ReplicaChoiceKind : std::uint8_t { LeastLoaded, Random };

/// LeastLoaded compares a few sampled candidates by requests in flight and latency. It sends only a
/// small share of trial requests to cold and failing replicas while other replicas are available.
/// Random picks uniformly.
///
/// Both follow ServiceRouting::versionShares. They first pick the back-end version according to its
/// share of this instance's sub-requests. If only some versions have a usable replica of the shard,
/// one of these is picked, and the surplus over its share is deducted from its later picks. A
/// version that has share 0 or is not listed receives no sub-requests, even if no other version can
/// serve the shard. The shard then counts as missing.
std::unique_ptr<ReplicaChoice> makeReplicaChoice(ReplicaChoiceKind kind, std::uint64_t seed);

} // namespace geraniumcart
