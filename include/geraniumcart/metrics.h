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
    /// Requests passed on by route, by outcome.
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

/// Latency and coverage of one tenant and class.
struct SeriesSummary
{
    std::string tenant;
    std::string className;
    std::uint64_t count = 0;
    Duration p50{};
    Duration p99{};
    double meanCoverage = 0;
};

/// Pairs of tenant and class that have histograms of their own, at most. Requests of further pairs
/// count under tenant and class `other`.
inline constexpr std::size_t MaxStatsSeries = 256;

/// Counters and histograms of the process; thread-safe. Counters are atomics. Each thread has its
/// own set of histograms, and reading merges them, so that recording takes no lock and threads do
/// not share cache lines.
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
    /// Notes one answered request. @p coverage is a share of documents, 0 to 1.
    void recordRequest(std::string_view tenant, std::string_view className, Duration latency,
                       double coverage);
    /// Notes how long a request waited for a searcher with room.
    void recordQueueTime(std::string_view tenant, std::string_view className, Duration time);
    /// In order of tenant and class. Quantiles are interpolated inside a bin, which is 12% wide.
    std::vector<SeriesSummary> summaries() const;
    /// Everything in Prometheus text format.
    std::string prometheusText() const;

private:
    struct Series;
    std::array<std::atomic<std::uint64_t>, static_cast<std::size_t>(Counter::Count)> m_counters{};
    std::unique_ptr<Series> m_series;
};

} // namespace geraniumcart
