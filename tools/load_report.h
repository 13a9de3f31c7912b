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

/// How a request ended, as the caller saw it.
enum class LoadOutcome : std::uint8_t {
    Complete,
    Partial,
    BookingDone,
    BookingNotRun,
    BookingUnknown,
    Refused,
    /// The connection closed after the request was written and before the answer was complete.
    CutOff,
    ConnectFailed,
    /// There was no complete answer within the deadline and a grace period.
    TimedOut,
    /// The answer was complete, but its body is not valid or contradicts the status.
    Malformed,
};
const char *toString(LoadOutcome outcome);

/// Result of one request.
struct LoadRecord
{
    /// Counted from the start of the run; summarizeLoad() expects it from the start of the measured
    /// window.
    Duration intendedStart{};
    /// From the intended start to the end of the request; includes the time that the request waited
    /// for a connection.
    Duration latency{};
    std::uint32_t classIndex = 0;
    bool isBooking = false;
    LoadOutcome outcome = LoadOutcome::CutOff;
    /// HTTP status; 0 if there was no complete answer.
    std::uint32_t status = 0;
    /// For a status other than 200: the reason or error of the answer.
    std::string reason;
    /// For searches: documents searched over documents in total, 0 to 1.
    double coverage = 0;
    std::uint32_t shardsTotal = 0;
    std::string bookingKey;
    /// The request was cut off on a connection that had carried an earlier request, before any byte
    /// of the answer arrived. The server may have closed the idle connection while the request was
    /// in transit.
    bool isIdleCloseRace = false;
};

/// Nearest-rank percentiles of a set of latencies.
struct LatencySummary
{
    std::uint64_t count = 0;
    Duration p50{};
    Duration p90{};
    Duration p99{};
    Duration p999{};
    Duration max{};
};

/// @param sorted values in ascending order
/// @param quantile 0 to 1
/// @return the nearest-rank quantile: the smallest value that is at least as large as the share
/// @p quantile of all values; zero if there are no values
Duration quantileOf(std::span<const Duration> sorted, double quantile);
LatencySummary summarizeLatency(std::vector<Duration> latencies);

/// Results of the requests of one class.
struct ClassSummary
{
    std::string name;
    std::uint32_t weight = 1;
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    LatencySummary latency;
    /// Answered requests over sent requests, 0 to 1.
    double answeredShare = 0;
};

/// Outcomes of the bookings, and their comparison with the bookings that the searchers ran.
struct BookingSummary
{
    std::uint64_t sent = 0;
    std::uint64_t done = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    /// Bookings without a valid outcome: cut off, not connected, timed out or malformed.
    std::uint64_t withoutOutcome = 0;
    /// Whether checkBookings() compared the outcomes with the searchers' counts. The fields below
    /// are valid only then, and also cover the bookings of the warm-up.
    bool isChecked = false;
    std::uint64_t ranTwice = 0;
    std::uint64_t doneButNotRun = 0;
    std::uint64_t notRunButRan = 0;
    std::uint64_t unknownButRan = 0;
};

/// Results of the requests whose intended start lies in one interval of the measured window.
struct SeriesPoint
{
    /// Start of the interval, counted from the start of the window.
    Duration at{};
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t complete = 0;
    Duration p99{};
};

/// Number of refusals with the same status and reason.
struct RefusalCount
{
    std::uint32_t status = 0;
    std::string reason;
    std::uint64_t count = 0;
};

/// Summary of one run. All counts concern the measured window, except where a field says otherwise.
struct LoadReport
{
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t complete = 0;
    std::uint64_t partial = 0;
    std::uint64_t refused = 0;
    std::uint64_t cutOff = 0;
    /// Included in cutOff; see LoadRecord::isIdleCloseRace.
    std::uint64_t idleCloseRaces = 0;
    std::uint64_t connectFailed = 0;
    std::uint64_t timedOut = 0;
    std::uint64_t malformed = 0;
    std::vector<RefusalCount> refusals;
    LatencySummary latency;
    std::vector<ClassSummary> classes;
    /// Mean of LoadRecord::coverage over the answered searches.
    double meanCoverage = 0;
    /// Sums of the class weights of all requests and of the answered requests.
    double offeredWeight = 0;
    double answeredWeight = 0;
    BookingSummary bookings;
    /// Searches that the searchers started, divided by the shards of the answered searches, minus
    /// 1: the upstream load beyond one search per shard. Absent without the searchers' counters.
    std::optional<double> extraUpstreamLoad;
    std::uint64_t shardsOfAnswered = 0;
    std::vector<SeriesPoint> series;
    Duration duration{};
    std::uint64_t entriesRefreshes = 0;
    std::uint64_t entriesFailures = 0;
    /// Longest time between the intended start of a request and its actual start, over the whole
    /// run including the warm-up. A large value means that the load tool itself could not keep up,
    /// so the results of the run are not valid.
    Duration largestSendDelay{};

    /// @return answered weight over offered weight, 0 to 1
    double answeredWeightShare() const
    {
        return offeredWeight > 0 ? answeredWeight / offeredWeight : 0;
    }
};

/// Summarizes the results of the measured window. Fields that do not follow from the records, such
/// as the duration and the extra upstream load, are left for the caller.
/// @param records all requests with an intended start within the measured window
/// @param classes the classes that LoadRecord::classIndex refers to
LoadReport summarizeLoad(std::span<const LoadRecord> records,
                         const std::vector<ClassShare> &classes);
/// Compares the outcome of each booking with the number of runs that the searchers counted for its
/// key, and fills in the fields of @p summary that depend on it.
void checkBookings(std::span<const LoadRecord> records,
                   const std::unordered_map<std::string, std::uint32_t> &runsByKey,
                   BookingSummary &summary);

/// @return the report as text for the terminal
std::string formatLoadTable(const LoadReport &report);
/// @return the report as one JSON object
std::string formatLoadJson(const LoadReport &report);

} // namespace geraniumcart::tools
