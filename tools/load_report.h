#pragma once

#include "load_plan.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace geraniumcart::tools {

enum class LoadOutcome : std::uint8_t {
    Complete,
    Partial,
    BookingDone,
    BookingNotRun,
    BookingUnknown,
    Refused,
    /// The connection closed after the request was written and before a whole answer.
    CutOff,
    ConnectFailed,
    /// No whole answer within the deadline and a grace time.
    TimedOut,
    Malformed,
};
const char *toString(LoadOutcome outcome);

/// The end of one request.
struct LoadRecord
{
    Duration at{};
    /// From the intended start to the last byte of the answer.
    Duration latency{};
    std::uint32_t classIndex = 0;
    bool isBooking = false;
    LoadOutcome outcome = LoadOutcome::CutOff;
    /// 0 where there was no whole answer.
    std::uint32_t status = 0;
    std::string reason;
    /// Share of documents searched, 0 to 1.
    double coverage = 0;
    std::uint32_t shardsTotal = 0;
    std::string bookingKey;
    /// Cut off on a connection that had served before, without one byte of an answer: the server
    /// may have closed it as idle while the request was on its way.
    bool isIdleCloseRace = false;
};

struct LatencySummary
{
    std::uint64_t count = 0;
    Duration p50{};
    Duration p90{};
    Duration p99{};
    Duration p999{};
    Duration max{};
};

/// @param sorted ascending
/// @param quantile 0 to 1. @return the smallest value that at least this share does not exceed;
/// zero when empty
Duration quantileOf(std::span<const Duration> sorted, double quantile);
LatencySummary summarizeLatency(std::vector<Duration> latencies);

struct ClassSummary
{
    std::string name;
    std::uint32_t weight = 1;
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    LatencySummary latency;
    /// Answered over offered.
    double served = 0;
};

struct BookingSummary
{
    std::uint64_t sent = 0;
    std::uint64_t done = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    /// No outcome was received.
    std::uint64_t lost = 0;
    /// The fields below need the searchers' counts.
    bool isChecked = false;
    std::uint64_t ranTwice = 0;
    std::uint64_t doneButNotRun = 0;
    std::uint64_t notRunButRan = 0;
    std::uint64_t unknownButRan = 0;
};

struct SeriesPoint
{
    Duration at{};
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t complete = 0;
    Duration p99{};
};

/// Requests that ended in the same way.
struct EndCount
{
    std::uint32_t status = 0;
    std::string reason;
    std::uint64_t count = 0;
};

struct LoadReport
{
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t complete = 0;
    std::uint64_t partial = 0;
    std::uint64_t refused = 0;
    std::uint64_t cutOff = 0;
    /// Part of cutOff.
    std::uint64_t idleCloseRaces = 0;
    std::uint64_t connectFailed = 0;
    std::uint64_t timedOut = 0;
    std::uint64_t malformed = 0;
    std::vector<EndCount> refusals;
    LatencySummary latency;
    std::vector<ClassSummary> classes;
    /// Over answered searches.
    double meanCoverage = 0;
    double offeredWeight = 0;
    double answeredWeight = 0;
    BookingSummary bookings;
    /// Searches started at the searchers over the shards of the answered searches, less 1.
    std::optional<double> extraUpstreamLoad;
    std::uint64_t shardsOfAnswered = 0;
    std::vector<SeriesPoint> series;
    Duration duration{};
    std::uint64_t entriesRefreshes = 0;
    std::uint64_t entriesFailures = 0;
    /// Latest start of a request after its intended time; a large one makes the run unusable.
    Duration largestSendDelay{};

    double servedWeight() const { return offeredWeight > 0 ? answeredWeight / offeredWeight : 0; }
};

/// @param records all requests with an intended start within the measured window
LoadReport summarizeLoad(std::span<const LoadRecord> records,
                         const std::vector<ClassShare> &classes);
/// Compares outcomes with the runs of each key that the searchers counted.
void checkBookings(std::span<const LoadRecord> records,
                   const std::unordered_map<std::string, std::uint32_t> &runsByKey,
                   BookingSummary &summary);

std::string formatLoadTable(const LoadReport &report);
std::string formatLoadJson(const LoadReport &report);

} // namespace geraniumcart::tools
