#include <geraniumcart/hedging.h>

#include <algorithm>
#include <array>
#include <bit>
#include <cmath>

namespace geraniumcart {

namespace {

constexpr std::int64_t MillitokensPerToken = 1000;
/// Part of the reserve that hedges leave to retries.
constexpr std::int64_t RetryReserveDivisor = 4;

/// Differences below this are due to the jitter of timers and connections, so that a shorter delay
/// would hedge ordinary answers.
constexpr Duration MinDelay = std::chrono::milliseconds(1);
/// Number of observations before the first estimate of the delay.
constexpr std::uint64_t MinObservations = 128;
/// Number of observations from one estimate to the next.
constexpr std::uint64_t EstimateInterval = 64;
/// Number of observations after which all counts are halved, so that old latencies lose weight.
constexpr std::uint64_t DecayInterval = 8192;

/// Logarithmic histogram with eight buckets for each doubling, from 64 µs to 67 s; a bucket is 9%
/// wide.
constexpr std::uint32_t BucketsPerDoubling = 8;
constexpr std::uint32_t Doublings = 20;
constexpr std::uint32_t BucketCount = BucketsPerDoubling * Doublings;
constexpr Duration LowestLatency = std::chrono::microseconds(64);

std::uint32_t bucketOf(Duration latency)
{
    const double ratio = std::chrono::duration<double>(latency) / LowestLatency;
    if (ratio <= 1)
        return 0;
    const double place = std::log2(ratio) * BucketsPerDoubling;
    return std::min(static_cast<std::uint32_t>(place), BucketCount - 1);
}

Duration upperEdge(std::uint32_t bucket)
{
    const double doublings = static_cast<double>(bucket + 1) / BucketsPerDoubling;
    return std::chrono::duration_cast<Duration>(LowestLatency * std::exp2(doublings));
}

/// Hedges sub-requests that are slower than a quantile of recent latencies. All workers share the
/// histogram.
class QuantileHedging final : public HedgingPolicy
{
public:
    explicit QuantileHedging(double quantile)
        : m_quantile(quantile)
    {
    }

    void observe(Duration latency) override
    {
        m_buckets[bucketOf(latency)].fetch_add(1, std::memory_order_relaxed);
        const std::uint64_t count = m_observations.fetch_add(1, std::memory_order_relaxed) + 1;
        if (count % EstimateInterval != 0)
            return;
        // Only one worker at a time updates the estimate; other workers skip the update instead of
        // waiting.
        if (m_isUpdating.test_and_set(std::memory_order_acquire))
            return;
        if (count % DecayInterval == 0)
            decay();
        if (count >= MinObservations)
            estimate();
        m_isUpdating.clear(std::memory_order_release);
    }

    std::optional<Duration> delay() const override
    {
        const Duration::rep delay = m_delay.load(std::memory_order_relaxed);
        if (delay == 0)
            return std::nullopt;
        return Duration(delay);
    }

private:
    /// Halves all counts.
    void decay()
    {
        for (std::atomic<std::uint32_t> &bucket : m_buckets)
            bucket.fetch_sub(bucket.load(std::memory_order_relaxed) / 2, std::memory_order_relaxed);
    }

    /// Sets the delay to the upper edge of the quantile's bucket.
    void estimate()
    {
        std::array<std::uint32_t, BucketCount> counts;
        std::uint64_t total = 0;
        for (std::uint32_t i = 0; i < BucketCount; ++i)
            total += counts[i] = m_buckets[i].load(std::memory_order_relaxed);
        const auto rank = static_cast<std::uint64_t>(m_quantile * static_cast<double>(total));
        std::uint64_t below = 0;
        std::uint32_t bucket = 0;
        while (bucket + 1 < BucketCount && (below += counts[bucket]) <= rank)
            ++bucket;
        m_delay.store(std::max(MinDelay, upperEdge(bucket)).count(), std::memory_order_relaxed);
    }

    const double m_quantile;
    std::array<std::atomic<std::uint32_t>, BucketCount> m_buckets{};
    std::atomic<std::uint64_t> m_observations{0};
    std::atomic<Duration::rep> m_delay{0};
    std::atomic_flag m_isUpdating;
};

/// Baseline for comparisons: never hedges.
class NoHedging final : public HedgingPolicy
{
public:
    void observe(Duration) override {}
    std::optional<Duration> delay() const override { return std::nullopt; }
};

} // namespace

AttemptBudget::AttemptBudget(double share, double reserve, double initial)
    : m_millitokensPerAttempt(std::llround(share * MillitokensPerToken))
    , m_limit(std::llround(reserve * MillitokensPerToken))
    , m_millitokens(std::llround(initial * MillitokensPerToken))
{
}

void AttemptBudget::addFirstAttempts(std::uint32_t firstAttempts)
{
    const std::int64_t added = m_millitokensPerAttempt * firstAttempts;
    const std::int64_t balance = m_millitokens.fetch_add(added, std::memory_order_relaxed) + added;
    trim(balance, added);
}

void AttemptBudget::setPart(double part, Duration window)
{
    const double reserve = std::max(part / 2, std::min(part, 1.0));
    const double perSecond = (part - reserve) / std::chrono::duration<double>(window).count();
    m_millitokensPerSecond.store(std::llround(perSecond * MillitokensPerToken),
                                 std::memory_order_relaxed);
    setReserve(reserve);
}

void AttemptBudget::setReserve(double reserve)
{
    const std::int64_t limit = std::llround(reserve * MillitokensPerToken);
    const std::int64_t previous = m_limit.exchange(limit, std::memory_order_relaxed);
    if (limit < previous)
        trim(m_millitokens.load(std::memory_order_relaxed), previous - limit);
}

void AttemptBudget::refill(TimePoint now)
{
    Duration::rep last = m_refilledAt.load(std::memory_order_relaxed);
    const Duration elapsed = now - TimePoint(Duration(last));
    const double seconds = last == 0 ? 0 : std::chrono::duration<double>(elapsed).count();
    const auto added = static_cast<std::int64_t>(
            seconds * static_cast<double>(m_millitokensPerSecond.load(std::memory_order_relaxed)));
    // Less than a thousandth of a token is added later. One of several workers adds the tokens.
    if ((last != 0 && added <= 0) ||
        !m_refilledAt.compare_exchange_strong(last, now.time_since_epoch().count(),
                                              std::memory_order_relaxed))
        return;
    const std::int64_t balance = m_millitokens.fetch_add(added, std::memory_order_relaxed) + added;
    trim(balance, added);
}

void AttemptBudget::trim(std::int64_t balance, std::int64_t most)
{
    const std::int64_t excess = balance - m_limit.load(std::memory_order_relaxed);
    if (excess > 0)
        m_millitokens.fetch_sub(std::min(most, excess), std::memory_order_relaxed);
}

double AttemptBudget::available() const
{
    return static_cast<double>(m_millitokens.load(std::memory_order_relaxed)) / MillitokensPerToken;
}

bool AttemptBudget::tryTake()
{
    return tryTake(0);
}

bool AttemptBudget::tryTakeForHedge()
{
    return tryTake(m_limit.load(std::memory_order_relaxed) / RetryReserveDivisor);
}

bool AttemptBudget::tryTake(std::int64_t floor)
{
    if (m_millitokens.fetch_sub(MillitokensPerToken, std::memory_order_relaxed) >=
        MillitokensPerToken + floor)
        return true;
    m_millitokens.fetch_add(MillitokensPerToken, std::memory_order_relaxed);
    return false;
}

std::unique_ptr<HedgingPolicy> makeHedgingPolicy(HedgingKind kind, double quantile)
{
    if (kind == HedgingKind::None)
        return std::make_unique<NoHedging>();
    return std::make_unique<QuantileHedging>(quantile);
}

} // namespace geraniumcart
