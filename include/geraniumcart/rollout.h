#pragma once

#include <geraniumcart/rules.h>
#include <geraniumcart/snapshot.h>
#include <geraniumcart/sub_request.h>
#include <geraniumcart/timer_service.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace geraniumcart {

/// Counts of one daemon for one back-end version on one route. Counters only grow within an
/// incarnation of that daemon, so that merging keeps the largest and repeats do no harm.
struct EvidenceRow
{
    std::string daemon;
    std::uint64_t incarnation = 0;
    std::string service;
    std::string version;
    RequestKind route = RequestKind::Search;
    std::uint64_t good = 0;
    std::uint64_t bad = 0;
    /// Answers by latency: bucket i counts latencies below 2^i * 250 us, from warm searchers only.
    std::vector<std::uint64_t> latencyBuckets;
    bool operator==(const EvidenceRow &) const = default;
};

/// A decision that one move must not go on. It is final for that rule.
struct RolloutStop
{
    std::string service;
    std::string version;
    /// Object version of the rules that asked for the move.
    std::uint64_t rulesVersion = 0;
    std::string reason;
    bool operator==(const RolloutStop &) const = default;
};

} // namespace geraniumcart
