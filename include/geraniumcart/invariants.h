#pragma once

#include <cstdint>
#include <string_view>

namespace geraniumcart {

/// The guarantees of docs/design.md that the program checks as it runs.
enum class Invariant : std::uint8_t {
    SingleSnapshot = 1,
    TrueCoverage,
    ColdBound,
    ZoneOut,
    BadVersion,
    OwnAnswer,
    TrueNotRun,
    AtMostOnce,
    LeavingUpstream,
    GracefulStop,
    ConfigurationMonotonic,
};

/// Checks @p holds. A violation aborts when abortOnViolation(true) was called, as tests do;
/// otherwise it is logged and counted. Thread-safe. @return @p holds.
bool checkInvariant(Invariant invariant, bool holds, std::string_view detail);

void abortOnViolation(bool enabled);
/// Violations since the process started.
std::uint64_t invariantViolations(Invariant invariant);
const char *toString(Invariant invariant);

} // namespace geraniumcart
