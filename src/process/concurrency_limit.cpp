#include "process/concurrency_limit_p.h"

#include <algorithm>
#include <cmath>

namespace geraniumcart {

namespace {

/// Queries at once: before anything is known, at least, and at most.
constexpr double FirstLimit = 16;
constexpr double MinLimit = 4;
constexpr double MaxLimit = 4096;
/// First bound as a multiple of what searchers run at once.
constexpr double FirstQueue = 2;

/// The bound settles where latency is this many times that of searchers without a queue. With a
/// queue as long as the service time, slots stay busy while queries come in unevenly.
constexpr double LatencyTolerance = 2.0;
constexpr double FirstRiseFactor = 1.5;
/// Latency in this ratio to the baseline shows a queue and ends the first, faster rise.
constexpr double FirstRiseTolerance = 1.3;
constexpr double RiseShare = 0.05;
/// Most that one window lowers the bound, so that one slow window does not empty the searchers.
constexpr double LowestFactor = 0.8;
constexpr double ShedFactor = 0.9;
/// Share of shed requests that counts as overload. A few come from searchers that start cold.
constexpr double ShedTolerance = 0.1;
/// Decreases after which the share of shed requests must have fallen by a tenth. If it has not,
/// the bound is not its cause, as with one searcher that refuses everything.
constexpr std::uint32_t ShedDecreasesOnTrial = 5;
constexpr double ShedImprovement = 0.9;

/// Shed requests that end a window at once: refusals come back at once, so that each one would
/// otherwise be followed by the next until the window is over.
constexpr std::uint32_t ShedsEndingWindow = 4;
/// After sheds the bound stays this far below the value that led to them, and approaches it again
/// at this rate. A bound that touches it in each rise would shed several requests in 100.
constexpr double CeilingShare = 0.95;
constexpr double CeilingRisePerSecond = 0.02;

constexpr std::uint32_t MinSamples = 16;
constexpr std::uint32_t MinProbeSamples = 16;
constexpr std::uint32_t FewestProbeSamples = 4;
constexpr Duration MaxProbeTime = std::chrono::seconds(1);
constexpr std::chrono::seconds ProbeInterval{20};
constexpr double ProbeShare = 0.25;
/// Weight of a window in the baseline while there is no queue.
constexpr int BaselineSmoothing = 4;
constexpr int LatencySmoothing = 16;

} // namespace

ConcurrencyLimit::ConcurrencyLimit(TimerService &timers)
    : m_timers(timers)
    , m_limit(FirstLimit)
    , m_ceiling(MaxLimit)
    , m_leastLimit(MinLimit)
    , m_lastProbe(probeNumber())
{
    m_window.startedAt = timers.now();
}

std::uint32_t ConcurrencyLimit::limit() const
{
    const double limit = m_isProbing ? std::max(m_leastLimit, m_limit * ProbeShare) : m_limit;
    return static_cast<std::uint32_t>(limit);
}

void ConcurrencyLimit::setParallelism(double queries)
{
    if (queries == m_parallelism)
        return;
    // Eight daemons that each start at FirstLimit would queue more than a second of work at
    // searchers with six slots a shard, and would take that for the latency without a queue.
    const bool isFirst = m_parallelism == 0;
    m_parallelism = queries;
    m_leastLimit = std::clamp(queries, 1.0, MinLimit);
    if (isFirst)
        m_limit = std::clamp(queries * FirstQueue, m_leastLimit, FirstLimit);
    m_limit = std::max(m_limit, m_leastLimit);
}

std::int64_t ConcurrencyLimit::probeNumber() const
{
    return m_timers.wallNow().time_since_epoch() / ProbeInterval;
}

void ConcurrencyLimit::smooth(Duration latency)
{
    if (m_typical == Duration::zero()) {
        m_typical = m_low = latency;
        return;
    }
    const Duration error = latency - m_typical;
    m_typical += error / LatencySmoothing;
    m_deviation += (std::chrono::abs(error) - m_deviation) / LatencySmoothing;
    // Steps of three to one balance where a quarter of the samples lies below.
    const Duration step = std::max(m_typical / 64, Duration(1));
    m_low += latency > m_low ? step : -3 * step;
    m_low = std::clamp(m_low, Duration::zero(), m_typical);
}

void ConcurrencyLimit::observe(Duration latency, bool wasOverloaded, std::uint32_t running)
{
    const TimePoint now = m_timers.now();
    m_window.mostRunning = std::max(m_window.mostRunning, running);
    // A request that began before the window was slowed by an earlier bound.
    const bool isOfWindow = now - latency >= m_window.startedAt;
    // The latency of a shed request is that of the refusal, not of service.
    if (wasOverloaded) {
        m_window.overloaded += isOfWindow;
    } else {
        smooth(latency);
        m_window.served += isOfWindow;
        m_window.sum += isOfWindow ? latency : Duration::zero();
    }
    const Duration age = now - m_window.startedAt;
    if (m_isProbing) {
        if (m_window.served >= MinProbeSamples || age > MaxProbeTime)
            endProbe();
        return;
    }
    const auto wanted = std::max(MinSamples, limit());
    // The first requests to end are the fast ones, so a window lasts for two service times.
    const bool isShedding =
            m_window.overloaded >= ShedsEndingWindow && m_window.overloadedShare() > ShedTolerance;
    if (isShedding || (m_window.count() >= wanted && age >= 2 * m_typical))
        endWindow();
}

void ConcurrencyLimit::startWindow(Duration settle)
{
    m_window = {};
    m_window.startedAt = m_timers.now() + settle;
    m_wasReached = false;
}

void ConcurrencyLimit::endWindow()
{
    const std::optional<Duration> mean = m_window.mean();
    const std::int64_t probe = probeNumber();
    if (mean) {
        const bool hasNoQueue = m_window.mostRunning < m_limit * ProbeShare;
        if (!m_baseline)
            m_baseline = mean;
        else if (*mean < *m_baseline || hasNoQueue)
            *m_baseline += (*mean - *m_baseline) / BaselineSmoothing;
    }
    const bool isProbeDue = m_wasReached && probe != m_lastProbe;
    m_lastProbe = probe;
    if (isProbeDue) {
        m_isProbing = true;
        return startWindow(m_typical);
    }
    adapt(mean, m_window.overloadedShare());
    startWindow({});
}

void ConcurrencyLimit::endProbe()
{
    if (m_window.served >= FewestProbeSamples)
        m_baseline = m_window.mean();
    m_isProbing = false;
    startWindow({});
}

void ConcurrencyLimit::adapt(std::optional<Duration> mean, double overloadedShare)
{
    const double ratio = mean && m_baseline
                                 ? *mean / std::chrono::duration<double, Duration::period>(
                                                   std::max(*m_baseline, Duration(1)))
                                 : 1;
    if (ratio > FirstRiseTolerance)
        m_isFirstRise = false;
    const auto windowAge = std::chrono::duration<double>(m_timers.now() - m_window.startedAt);
    m_ceiling = std::min(m_ceiling * (1 + CeilingRisePerSecond * windowAge.count()), MaxLimit);
    if (mayDecreaseForSheds(overloadedShare)) {
        m_ceiling = m_limit * CeilingShare;
        scale(ShedFactor);
    } else if (ratio > LatencyTolerance) {
        scale(std::max(LowestFactor, LatencyTolerance / ratio));
    } else if (m_wasReached) {
        m_limit = m_isFirstRise ? m_limit * FirstRiseFactor
                                : m_limit + std::max(1.0, m_limit * RiseShare);
        m_limit = std::max(m_leastLimit, std::min(m_limit, m_ceiling));
    }
}

bool ConcurrencyLimit::mayDecreaseForSheds(double overloadedShare)
{
    if (overloadedShare <= ShedTolerance) {
        m_shedDecreases = 0;
        return false;
    }
    if (m_shedDecreases == 0)
        m_shareAtFirstDecrease = overloadedShare;
    if (m_shedDecreases == ShedDecreasesOnTrial) {
        if (overloadedShare > m_shareAtFirstDecrease * ShedImprovement)
            return false;
        m_shedDecreases = 0;
        m_shareAtFirstDecrease = overloadedShare;
    }
    ++m_shedDecreases;
    return true;
}

void ConcurrencyLimit::scale(double factor)
{
    m_isFirstRise = false;
    m_limit = std::max(m_leastLimit, m_limit * factor);
}

} // namespace geraniumcart
