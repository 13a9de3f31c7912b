#pragma once

#include <geraniumcart/snapshot.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <span>

namespace geraniumcart {

/// Picks a replica for one sub-request. An instance belongs to one worker.
class ReplicaChoice
{
public:
    virtual ~ReplicaChoice() = default;
    /// @param service searchers that the candidates index into
    /// @param candidates replicas of one shard, in no particular order
    /// @param excluded replicas already tried by this request
    /// @return an element of @p candidates, or nothing when all are excluded, draining or of a
    /// back-end version with share 0
    virtual std::optional<std::uint32_t> choose(const ServiceRouting &service,
                                                std::span<const std::uint32_t> candidates,
                                                std::span<const std::uint32_t> excluded) = 0;
};

enum class ReplicaChoiceKind : std::uint8_t { LeastLoaded, Random };

/// Least loaded of a few sampled candidates by work in flight and latency, or uniform at random.
/// LeastLoaded sends to cold and failing replicas only a small trial share while others exist.
///
/// Both honour ServiceRouting::versionShares. The back-end version is picked first, by its share of
/// the sub-requests of this instance. When the shard has no replica left of the picked version,
/// another one serves it and the surplus is taken from that version's later picks. A version that
/// has share 0 or is not listed gets nothing, even where no other version can serve the shard: the
/// shard then counts as missing.
std::unique_ptr<ReplicaChoice> makeReplicaChoice(ReplicaChoiceKind kind, std::uint64_t seed);

} // namespace geraniumcart
