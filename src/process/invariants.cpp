#include <geraniumcart/invariants.h>

#include "process/log_p.h"

#include <array>
#include <atomic>
#include <cstdlib>

namespace geraniumcart {

namespace {

/// Size of an array indexed by Invariant, whose values start at 1.
constexpr std::size_t InvariantSlots = 12;
std::array<std::atomic<std::uint64_t>, InvariantSlots> violations{};
std::atomic<bool> abortEnabled{false};

std::size_t slotOf(Invariant invariant)
{
    return static_cast<std::size_t>(invariant);
}

} // namespace

const char *toString(Invariant invariant)
{
    switch (invariant) {
    case Invariant::SingleSnapshot:
        return "singleSnapshot";
    case Invariant::TrueCoverage:
        return "trueCoverage";
    case Invariant::ColdBound:
        return "coldBound";
    case Invariant::ZoneOut:
        return "zoneOut";
    case Invariant::BadVersion:
        return "badVersion";
    case Invariant::OwnAnswer:
        return "ownAnswer";
    case Invariant::TrueNotRun:
        return "trueNotRun";
    case Invariant::AtMostOnce:
        return "atMostOnce";
    case Invariant::LeavingUpstream:
        return "leavingUpstream";
    case Invariant::GracefulStop:
        return "gracefulStop";
    case Invariant::ConfigurationMonotonic:
        return "configurationMonotonic";
    }
    return "unknown";
}

bool checkInvariant(Invariant invariant, bool holds, std::string_view detail)
{
    if (holds) [[likely]]
        return true;
    violations[slotOf(invariant)].fetch_add(1, std::memory_order_relaxed);
    logEvent(LogLevel::Error, "invariantViolated",
             {{"invariant", toString(invariant)}, {"detail", detail}});
    if (abortEnabled.load(std::memory_order_relaxed))
        std::abort();
    return false;
}

void abortOnViolation(bool enabled)
{
    abortEnabled.store(enabled, std::memory_order_relaxed);
}

std::uint64_t invariantViolations(Invariant invariant)
{
    return violations[slotOf(invariant)].load(std::memory_order_relaxed);
}

} // namespace geraniumcart
