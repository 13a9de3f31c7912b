#pragma once

#include <geraniumcart/timer_service.h>

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumcart {

enum class Counter : std::uint8_t {
    Searches,
    SearchesComplete,
    SearchesPartial,
    SearchesRefused,
    Bookings,
    BookingsDone,
    BookingsNotRun,
    BookingsUnknown,
    SubRequests,
    Hedges,
    Retries,
    Cancels,
    WrongVersion,
    LateAnswers,
    SilentConnections,
    ConnectionsOpened,
    ColdStarts,
    RateLimited,
    Overloaded,
    InvariantViolations,
    /// Outcomes of requests that the gateway handled, up to RoutedTimedOut.
    RoutedReplies,
    RoutedFailureReplies,
    RoutedMerged,
    RoutedPartial,
    RoutedRefused,
    RoutedNoRoute,
    RoutedFailed,
    RoutedTimedOut,
    BudgetExhausted,
    Count,
};

/// Latency and coverage of the requests of one tenant and class.
struct SeriesSummary
{
    std::string tenant;
    std::string className;
    std::uint64_t count = 0;
    Duration p50{};
    Duration p99{};
    double meanCoverage = 0;
};

/// Maximum number of pairs of tenant and class that have their own histograms. Requests of further
/// pairs are counted under tenant and class `other`.
inline constexpr std::size_t MaxStatsSeries = 256;

/// Counters and histograms of the process. Thread-safe: counters are atomics, and each thread
/// records into its own set of histograms, which readers merge, so that recording takes no lock and
/// threads do not share cache lines.
class Stats
{
public:
    Stats();
    ~Stats();
    Stats(const Stats &) = delete;
    Stats &operator=(const Stats &) = delete;
    void add(Counter counter, std::uint64_t amount = 1)
    {
        m_counters[static_cast<std::size_t>(counter)].fetch_add(amount, std::memory_order_relaxed);
    }
    std::uint64_t value(Counter counter) const
    {
        return m_counters[static_cast<std::size_t>(counter)].load(std::memory_order_relaxed);
    }
    /// Records one answered request.
    /// @param coverage share of the documents that were searched, 0 to 1
    void recordRequest(std::string_view tenant, std::string_view className, Duration latency,
                       double coverage);
    /// Records how long a request waited for a searcher with free capacity.
    void recordQueueTime(std::string_view tenant, std::string_view className, Duration time);
    /// @return one summary per pair of tenant and class, sorted by both; quantiles are interpolated
    /// inside a bin, which is 12% wide
    std::vector<SeriesSummary> summaries() const;
    /// @return all counters and histograms in Prometheus text format
    std::string prometheusText() const;

private:
    struct Series;
    std::array<std::atomic<std::uint64_t>, static_cast<std::size_t>(Counter::Count)> m_counters{};
    std::unique_ptr<Series> m_series;
};

} // namespace geraniumcart
