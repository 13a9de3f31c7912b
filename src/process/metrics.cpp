#include <geraniumcart/invariants.h>
#include <geraniumcart/metrics.h>

#include <boost/histogram.hpp>
#include <boost/histogram/accumulators/count.hpp>

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <functional>
#include <tuple>

namespace geraniumcart {

namespace {

namespace histogram = boost::histogram;

/// Maximum number of histogram sets. With more threads, some share a set, which only costs cache
/// misses.
constexpr std::uint32_t MaxThreadSets = 64;
/// Maximum number of slots that are probed for a pair of tenant and class. The bound keeps lookups
/// in a full table cheap.
constexpr std::size_t MaxProbes = 32;
constexpr std::string_view OtherName = "other";

/// Range of the latency axis in seconds, with 20 bins per factor of ten.
constexpr double LowestLatency = 0.0001;
constexpr double HighestLatency = 100;
constexpr unsigned LatencyBins = 120;
/// Number of bins that form one bucket in the Prometheus text.
constexpr unsigned BinsPerBucket = 4;
constexpr unsigned CoverageBins = 20;
/// Scale of coverage sums. They are integers, since adding to an atomic integer needs no
/// compare-and-swap loop.
constexpr double CoverageUnits = 1e6;

using AtomicCounts = histogram::dense_storage<histogram::accumulators::count<std::uint64_t, true>>;
using Counts = histogram::dense_storage<histogram::accumulators::count<std::uint64_t, false>>;
using LatencyAxis = histogram::axis::regular<double, histogram::axis::transform::log>;
using CoverageAxis = histogram::axis::regular<double>;

std::uint64_t nanoseconds(Duration duration)
{
    return static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::nanoseconds>(duration).count());
}

LatencyAxis latencyAxis()
{
    return {LatencyBins, LowestLatency, HighestLatency};
}

CoverageAxis coverageAxis()
{
    // The upper edge lies above 1 so that complete coverage falls into the last bin instead of the
    // overflow bin.
    return {CoverageBins, 0.0, std::nextafter(1.0, 2.0)};
}

template <class Storage>
struct Histograms
{
    histogram::histogram<std::tuple<LatencyAxis>, Storage> latency =
            histogram::make_histogram_with(Storage(), latencyAxis());
    histogram::histogram<std::tuple<LatencyAxis>, Storage> queueTime =
            histogram::make_histogram_with(Storage(), latencyAxis());
    histogram::histogram<std::tuple<CoverageAxis>, Storage> coverage =
            histogram::make_histogram_with(Storage(), coverageAxis());
};

struct ThreadHistograms : Histograms<AtomicCounts>
{
    std::atomic<std::uint64_t> latencySum{0};
    std::atomic<std::uint64_t> queueTimeSum{0};
    std::atomic<std::uint64_t> coverageSum{0};
};

struct MergedHistograms : Histograms<Counts>
{
    std::uint64_t latencySum = 0;
    std::uint64_t queueTimeSum = 0;
    std::uint64_t coverageSum = 0;

    void add(const ThreadHistograms &part)
    {
        addCounts(latency, part.latency);
        addCounts(queueTime, part.queueTime);
        addCounts(coverage, part.coverage);
        latencySum += part.latencySum.load(std::memory_order_relaxed);
        queueTimeSum += part.queueTimeSum.load(std::memory_order_relaxed);
        coverageSum += part.coverageSum.load(std::memory_order_relaxed);
    }

    std::uint64_t count() const
    {
        std::uint64_t total = 0;
        for (const auto &bin : latency)
            total += bin.value();
        return total;
    }

    Duration quantile(double share) const
    {
        const double rank = share * static_cast<double>(count());
        double below = 0;
        for (const auto &&bin : histogram::indexed(latency, histogram::coverage::all)) {
            const auto inBin = static_cast<double>((*bin).value());
            if (inBin > 0 && below + inBin >= rank) {
                const double lower = std::max(bin.bin().lower(), LowestLatency);
                const double upper = std::min(bin.bin().upper(), HighestLatency);
                const double seconds = lower * std::pow(upper / lower, (rank - below) / inBin);
                return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
            }
            below += inBin;
        }
        return Duration::zero();
    }

private:
    template <class To, class From>
    static void addCounts(To &to, const From &from)
    {
        auto target = to.begin();
        for (const auto &bin : from)
            *target++ += bin.value();
    }
};

struct SeriesName
{
    std::uint64_t hash = 0;
    std::string tenant;
    std::string className;
};

struct MergedSeries
{
    std::string tenant;
    std::string className;
    MergedHistograms histograms;
};

/// Index of the histogram set of the calling thread.
std::uint32_t threadSetIndex()
{
    static std::atomic<std::uint32_t> next{0};
    thread_local const std::uint32_t Index =
            next.fetch_add(1, std::memory_order_relaxed) % MaxThreadSets;
    return Index;
}

const char *metricName(Counter counter)
{
    switch (counter) {
    case Counter::Searches:
        return "searches";
    case Counter::SearchesComplete:
        return "searches_complete";
    case Counter::SearchesPartial:
        return "searches_partial";
    case Counter::SearchesRefused:
        return "searches_refused";
    case Counter::Bookings:
        return "bookings";
    case Counter::BookingsDone:
        return "bookings_done";
    case Counter::BookingsNotRun:
        return "bookings_not_run";
    case Counter::BookingsUnknown:
        return "bookings_unknown";
    case Counter::SubRequests:
        return "sub_requests";
    case Counter::Hedges:
        return "hedges";
    case Counter::Retries:
        return "retries";
    case Counter::Cancels:
        return "cancels";
    case Counter::WrongVersion:
        return "wrong_version_answers";
    case Counter::LateAnswers:
        return "late_answers";
    case Counter::SilentConnections:
        return "silent_connections";
    case Counter::ConnectionsOpened:
        return "connections_opened";
    case Counter::ColdStarts:
        return "cold_starts";
    case Counter::RateLimited:
        return "rate_limited";
    case Counter::Overloaded:
        return "overloaded";
    case Counter::InvariantViolations:
        return "invariant_violations";
    case Counter::RoutedReplies:
        return "routed_replies";
    case Counter::RoutedFailureReplies:
        return "routed_failure_replies";
    case Counter::RoutedMerged:
        return "routed_merged";
    case Counter::RoutedPartial:
        return "routed_partial";
    case Counter::RoutedRefused:
        return "routed_refused";
    case Counter::RoutedNoRoute:
        return "routed_no_route";
    case Counter::RoutedFailed:
        return "routed_failed";
    case Counter::RoutedTimedOut:
        return "routed_timed_out";
    case Counter::BudgetExhausted:
        return "attempt_budget_exhausted";
    case Counter::Count:
        break;
    }
    return "unknown";
}

/// Writes samples of the Prometheus text format.
class PrometheusWriter
{
public:
    void type(std::string_view metric, std::string_view kind)
    {
        m_text.append("# TYPE geraniumcart_").append(metric);
        m_text.append(" ").append(kind).append("\n");
    }
    void sample(std::string_view metric, std::string_view labels, double value)
    {
        m_text.append("geraniumcart_").append(metric);
        if (!labels.empty())
            m_text.append("{").append(labels).append("}");
        m_text.append(" ").append(number(value)).append("\n");
    }
    static std::string label(std::string_view name, std::string_view value)
    {
        std::string text(name);
        text += "=\"";
        for (const char c : value) {
            if (c == '\n') {
                text += "\\n";
                continue;
            }
            if (c == '"' || c == '\\')
                text += '\\';
            text += c;
        }
        return text += '"';
    }
    static std::string number(double value)
    {
        if (std::isinf(value))
            return value > 0 ? "+Inf" : "-Inf";
        std::array<char, 32> digits{};
        const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value).ptr;
        return {digits.data(), end};
    }
    std::string take() { return std::move(m_text); }

private:
    std::string m_text;
};

template <class Histogram>
void writeHistogram(PrometheusWriter &writer, std::string_view metric, const std::string &labels,
                    const Histogram &counts, unsigned binsPerBucket, double sum)
{
    const std::string name(metric);
    std::uint64_t cumulated = 0;
    unsigned inBucket = 0;
    for (const auto &&bin : histogram::indexed(counts, histogram::coverage::all)) {
        cumulated += (*bin).value();
        const double upper = bin.bin().upper();
        // The underflow bin ends at the lowest edge of the axis and forms a bucket of its own.
        if (bin.index() >= 0 && ++inBucket < binsPerBucket && !std::isinf(upper))
            continue;
        inBucket = 0;
        writer.sample(name + "_bucket",
                      labels + "," + PrometheusWriter::label("le", PrometheusWriter::number(upper)),
                      static_cast<double>(cumulated));
    }
    writer.sample(name + "_sum", labels, sum);
    writer.sample(name + "_count", labels, static_cast<double>(cumulated));
}

} // namespace

/// Hash table of the pairs of tenant and class, which only grows, and for each thread a set of
/// histograms with one element per slot of the table.
struct Stats::Series
{
    /// The last slot counts the requests that found no free slot.
    static constexpr std::size_t Slots = MaxStatsSeries + 1;
    using ThreadSet = std::array<std::atomic<ThreadHistograms *>, Slots>;

    std::array<std::atomic<SeriesName *>, MaxStatsSeries> names{};
    std::array<ThreadSet, MaxThreadSets> sets{};

    ~Series()
    {
        for (std::atomic<SeriesName *> &name : names)
            delete name.load();
        for (ThreadSet &set : sets)
            for (std::atomic<ThreadHistograms *> &histograms : set)
                delete histograms.load();
    }

    /// Finds or adds the slot of a pair. Lock-free; called by all threads that record.
    /// @return the last slot if none of the probed slots is free
    std::size_t slotOf(std::string_view tenant, std::string_view className)
    {
        // Without this check, a caller that sends these names would create a second series `other`.
        if (tenant == OtherName && className == OtherName)
            return MaxStatsSeries;
        const std::uint64_t hash = XXH3_64bits_withSeed(className.data(), className.size(),
                                                        XXH3_64bits(tenant.data(), tenant.size()));
        std::unique_ptr<SeriesName> added;
        for (std::size_t i = 0; i < MaxProbes; ++i) {
            const std::size_t slotIndex = (hash + i) % MaxStatsSeries;
            SeriesName *name = names[slotIndex].load(std::memory_order_acquire);
            if (!name) {
                if (!added)
                    added = std::make_unique<SeriesName>(
                            SeriesName{hash, std::string(tenant), std::string(className)});
                if (names[slotIndex].compare_exchange_strong(name, added.get(),
                                                             std::memory_order_acq_rel)) {
                    added.release();
                    return slotIndex;
                }
            }
            if (name->hash == hash && name->tenant == tenant && name->className == className)
                return slotIndex;
        }
        return MaxStatsSeries;
    }

    /// Histograms of the calling thread for one slot, created at the first call.
    ThreadHistograms &histogramsOf(std::size_t slotIndex)
    {
        std::atomic<ThreadHistograms *> &slot = sets[threadSetIndex()][slotIndex];
        ThreadHistograms *histograms = slot.load(std::memory_order_acquire);
        if (histograms)
            return *histograms;
        auto added = std::make_unique<ThreadHistograms>();
        if (slot.compare_exchange_strong(histograms, added.get(), std::memory_order_acq_rel))
            return *added.release();
        return *histograms;
    }

    /// Adds up the histograms of all threads. Sorted by tenant and class.
    std::vector<MergedSeries> merge() const
    {
        std::vector<MergedSeries> merged;
        for (std::size_t slotIndex = 0; slotIndex < Slots; ++slotIndex) {
            const SeriesName *name = slotIndex == MaxStatsSeries
                                             ? nullptr
                                             : names[slotIndex].load(std::memory_order_acquire);
            MergedSeries series{std::string(name ? name->tenant : OtherName),
                                std::string(name ? name->className : OtherName),
                                {}};
            bool isUsed = false;
            for (const ThreadSet &set : sets) {
                const ThreadHistograms *part = set[slotIndex].load(std::memory_order_acquire);
                if (!part)
                    continue;
                series.histograms.add(*part);
                isUsed = true;
            }
            if (isUsed)
                merged.push_back(std::move(series));
        }
        std::ranges::sort(merged, {}, [](const MergedSeries &series) {
            return std::tie(series.tenant, series.className);
        });
        return merged;
    }
};

Stats::Stats()
    : m_series(std::make_unique<Series>())
{
}

Stats::~Stats() = default;

void Stats::recordRequest(std::string_view tenant, std::string_view className, Duration latency,
                          double coverage)
{
    ThreadHistograms &histograms = m_series->histogramsOf(m_series->slotOf(tenant, className));
    const double share = std::clamp(coverage, 0.0, 1.0);
    const Duration positive = std::max(latency, Duration::zero());
    histograms.latency(std::chrono::duration<double>(positive).count());
    histograms.coverage(share);
    histograms.latencySum.fetch_add(nanoseconds(positive), std::memory_order_relaxed);
    histograms.coverageSum.fetch_add(static_cast<std::uint64_t>(share * CoverageUnits),
                                     std::memory_order_relaxed);
}

void Stats::recordQueueTime(std::string_view tenant, std::string_view className, Duration time)
{
    ThreadHistograms &histograms = m_series->histogramsOf(m_series->slotOf(tenant, className));
    const Duration positive = std::max(time, Duration::zero());
    histograms.queueTime(std::chrono::duration<double>(positive).count());
    histograms.queueTimeSum.fetch_add(nanoseconds(positive), std::memory_order_relaxed);
}

std::vector<SeriesSummary> Stats::summaries() const
{
    std::vector<SeriesSummary> summaries;
    for (const MergedSeries &series : m_series->merge()) {
        const std::uint64_t count = series.histograms.count();
        const double coverage = static_cast<double>(series.histograms.coverageSum) / CoverageUnits;
        summaries.push_back({series.tenant, series.className, count,
                             series.histograms.quantile(0.5), series.histograms.quantile(0.99),
                             count == 0 ? 0 : coverage / static_cast<double>(count)});
    }
    return summaries;
}

std::string Stats::prometheusText() const
{
    PrometheusWriter writer;
    for (std::size_t i = 0; i < m_counters.size(); ++i) {
        const auto counter = static_cast<Counter>(i);
        // Violations are written below, one sample per invariant.
        if (counter == Counter::InvariantViolations)
            continue;
        const std::string name = std::string(metricName(counter)) + "_total";
        writer.type(name, "counter");
        writer.sample(name, {}, static_cast<double>(value(counter)));
    }

    writer.type("invariant_violations_total", "counter");
    constexpr auto Last = static_cast<std::uint8_t>(Invariant::ConfigurationMonotonic);
    for (std::uint8_t i = 1; i <= Last; ++i) {
        const auto invariant = static_cast<Invariant>(i);
        writer.sample("invariant_violations_total",
                      PrometheusWriter::label("invariant", toString(invariant)),
                      static_cast<double>(invariantViolations(invariant)));
    }

    const std::vector<MergedSeries> merged = m_series->merge();
    const auto labelsOf = [](const MergedSeries &series) {
        return PrometheusWriter::label("tenant", series.tenant) + "," +
               PrometheusWriter::label("class", series.className);
    };
    writer.type("request_duration_seconds", "histogram");
    for (const MergedSeries &series : merged)
        writeHistogram(writer, "request_duration_seconds", labelsOf(series),
                       series.histograms.latency, BinsPerBucket,
                       static_cast<double>(series.histograms.latencySum) * 1e-9);
    writer.type("request_queue_seconds", "histogram");
    for (const MergedSeries &series : merged)
        writeHistogram(writer, "request_queue_seconds", labelsOf(series),
                       series.histograms.queueTime, BinsPerBucket,
                       static_cast<double>(series.histograms.queueTimeSum) * 1e-9);
    writer.type("request_coverage", "histogram");
    for (const MergedSeries &series : merged)
        writeHistogram(writer, "request_coverage", labelsOf(series), series.histograms.coverage, 1,
                       static_cast<double>(series.histograms.coverageSum) / CoverageUnits);
    return writer.take();
}

} // namespace geraniumcart
