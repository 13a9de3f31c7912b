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
    Count_,
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

/// Counters and histograms of the process. Counters are atomics; histograms are kept for each
/// worker and merged when read.
class Stats
{
public:
    Stats();
    ~Stats();
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
    std::vector<SeriesSummary> summaries() const;
    /// Everything in Prometheus text format.
    std::string prometheusText() const;

private:
    struct Series;
    std::array<std::atomic<std::uint64_t>, static_cast<std::size_t>(Counter::Count_)> m_counters{};
    std::unique_ptr<Series> m_series;
};

} // namespace geraniumcart
