#include "process/cold_searchers_p.h"

#include "process/log_p.h"

#include <geraniumcart/upstream.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstddef>

namespace geraniumcart {

namespace {

/// Lines a second that are logged on average, and how many at once.
constexpr int LinesPerSecond = 20;
constexpr int MaxLinesAtOnce = 200;
constexpr Duration LineInterval = std::chrono::seconds(1) / LinesPerSecond;

std::array<std::atomic<std::uint64_t>, static_cast<std::size_t>(ColdCause::Count)> counts{};
/// Time at which all lines so far would have been logged at LinesPerSecond.
std::atomic<Duration::rep> linesUntil{0};
std::atomic<std::uint64_t> linesOmitted{0};

/// @return false if too many lines were logged just before
bool takeLine(TimePoint now)
{
    const Duration::rep time = now.time_since_epoch().count();
    Duration::rep until = linesUntil.load(std::memory_order_relaxed);
    do {
        if (until - time >= MaxLinesAtOnce * LineInterval.count())
            return false;
    } while (!linesUntil.compare_exchange_weak(until, std::max(until, time) + LineInterval.count(),
                                               std::memory_order_relaxed));
    return true;
}

} // namespace

const char *toString(ColdCause cause)
{
    switch (cause) {
    case ColdCause::Entry:
        return "entry";
    case ColdCause::HealthAnswer:
        return "healthAnswer";
    case ColdCause::NoConnection:
        return "noConnection";
    case ColdCause::NewConnection:
        return "newConnection";
    case ColdCause::OutOfUse:
        return "outOfUse";
    case ColdCause::Count:
        break;
    }
    return "unknown";
}

void recordColdSearcher(const Upstream &upstream, ColdCause cause, TimePoint now)
{
    counts[static_cast<std::size_t>(cause)].fetch_add(1, std::memory_order_relaxed);
    if (!takeLine(now)) {
        linesOmitted.fetch_add(1, std::memory_order_relaxed);
        return;
    }
    logEvent(LogLevel::Info, "searcherCold",
             {{"instance", upstream.instanceId()},
              {"service", upstream.service()},
              {"address", upstream.address()},
              {"cause", toString(cause)},
              {"sinceAnswer", upstream.latencyAge(now)},
              {"inFlight", upstream.inFlight()},
              {"linesOmitted", linesOmitted.exchange(0, std::memory_order_relaxed)}});
}

std::uint64_t coldSearchers(ColdCause cause)
{
    return counts[static_cast<std::size_t>(cause)].load(std::memory_order_relaxed);
}

} // namespace geraniumcart
