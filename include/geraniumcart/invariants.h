#pragma once

#include <cstdint>
#include <string_view>

namespace geraniumcart {

/// Guarantees from docs/design.md that are checked at run time.
enum class Invariant : std::uint8_t {
    /// A search merges answers of one index version only.
    SingleSnapshot = 1,
    /// The coverage that a search reports matches its results and missing shards.
    TrueCoverage,
    /// A cold searcher receives no more requests than its cold bound allows, and only one at a time
    /// from each daemon.
    ColdBound,
    /// A zone that is out of service receives no sub-requests.
    ZoneOut,
    /// A bad version is rolled back before it exceeds its bound of requests. No run-time check
    /// reports this one yet.
    BadVersion,
    /// An answer belongs to the request that it is delivered to, and is delivered once.
    OwnAnswer,
    /// Work is reported as not run only if it is proven that it did not run.
    TrueNotRun,
    /// A booking runs at most once.
    AtMostOnce,
    /// A searcher that drains or was removed receives no new requests.
    LeavingUpstream,
    /// A planned stop cuts off no request.
    GracefulStop,
    /// Configuration is never replaced by an earlier version.
    ConfigurationMonotonic,
};

/// Logs and counts a violation if @p holds is false, and then aborts the process if
/// abortOnViolation(true) was called, as tests do. Thread-safe.
/// @return @p holds
bool checkInvariant(Invariant invariant, bool holds, std::string_view detail);

/// Sets whether a violation aborts the process; off by default. Thread-safe.
void abortOnViolation(bool enabled);
/// Number of violations since the process started. Thread-safe.
std::uint64_t invariantViolations(Invariant invariant);
const char *toString(Invariant invariant);

} // namespace geraniumcart
