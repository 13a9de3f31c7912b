#include "process/concurrency_limit_p.h"

#include <algorithm>
#include <cmath>

namespace geraniumcart {

namespace {

/// Initial, minimum and maximum limit, in concurrent queries.
constexpr double InitialLimit = 16;
constexpr double MinLimit = 4;
constexpr double MaxLimit = 4096;
/// Initial limit as a multiple of the queries that searchers run at once.
constexpr double InitialLimitFactor = 2;

/// The limit converges to the value at which latency is this multiple of the baseline. A queue as
/// long as the service time keeps the slots busy while queries arrive unevenly.
constexpr double LatencyTolerance = 2.0;
/// Growth of the limit in each window of the slow start.
constexpr double SlowStartFactor = 1.5;
/// A latency above this multiple of the baseline shows a queue and ends the slow start.
constexpr double SlowStartTolerance = 1.3;
/// Growth of the limit in each later window, as a share of it.
constexpr double IncreaseShare = 0.05;
/// Largest decrease in one window, so that one slow window does not leave the searchers idle.
constexpr double MinDecreaseFactor = 0.8;
/// Decrease of the limit in a window with shed requests.
constexpr double ShedFactor = 0.9;
/// A share of shed requests above this counts as overload. A few are always shed by searchers that
/// start cold.
constexpr double ShedTolerance = 0.1;
/// After this many decreases the share of shed requests must have fallen by a tenth. If it has not,
/// the limit is not the cause of the sheds, as with one searcher that refuses all requests, and is
/// not lowered further.
constexpr std::uint32_t DecreasesUntilShedCheck = 5;
constexpr double ShedImprovement = 0.9;

/// Number of shed requests that ends a window early. A refusal arrives without delay and lets the
/// next request be sent, so until the end of the window one request after another would be shed.
constexpr std::uint32_t ShedsEndingWindow = 4;
/// After sheds the ceiling of the limit is this share of the value that led to them, and then rises
/// by CeilingRisePerSecond. A limit that reached the old value in each rise would shed several
/// requests in 100.
constexpr double CeilingShare = 0.95;
constexpr double CeilingRisePerSecond = 0.02;

/// Minimum number of requests in a window, unless sheds end it.
constexpr std::uint32_t MinSamples = 16;
/// Number of requests that completes a probe.
constexpr std::uint32_t CompleteProbeSamples = 16;
/// A probe that times out updates the baseline if it has this many requests.
constexpr std::uint32_t MinTimedOutProbeSamples = 4;
constexpr Duration MaxProbeTime = std::chrono::seconds(1);
constexpr std::chrono::seconds ProbeInterval{20};
/// Share of the limit that a probe allows.
constexpr double ProbeShare = 0.25;
/// Weight of one window in the baseline latency is 1 / BaselineSmoothing.
constexpr int BaselineSmoothing = 4;
/// Weight of one sample in the typical latency is 1 / LatencySmoothing.
constexpr int LatencySmoothing = 16;

} // namespace

ConcurrencyLimit::ConcurrencyLimit(TimerService &timers)
    : m_timers(timers)
    , m_limit(InitialLimit)
    , m_ceiling(MaxLimit)
    , m_minLimit(MinLimit)
    , m_lastProbe(probeNumber())
{
    m_window.startedAt = timers.now();
}

std::uint32_t ConcurrencyLimit::limit() const
{
    const double limit = m_isProbing ? std::max(m_minLimit, m_limit * ProbeShare) : m_limit;
    return static_cast<std::uint32_t>(limit);
}

void ConcurrencyLimit::setParallelism(double queries)
{
    if (queries == m_parallelism)
        return;
    // Eight daemons that each start at InitialLimit would queue more than a second of work at
    // searchers with six slots in each shard, and would measure that latency as the baseline.
    const bool isFirst = m_parallelism == 0;
    m_parallelism = queries;
    m_minLimit = std::clamp(queries, 1.0, MinLimit);
    if (isFirst)
        m_limit = std::clamp(queries * InitialLimitFactor, m_minLimit, InitialLimit);
    m_limit = std::max(m_limit, m_minLimit);
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
    // A step down is three times as large as a step up, so the value converges to the first
    // quartile.
    const Duration step = std::max(m_typical / 64, Duration(1));
    m_low += latency > m_low ? step : -3 * step;
    m_low = std::clamp(m_low, Duration::zero(), m_typical);
}

void ConcurrencyLimit::observe(Duration latency, bool wasOverloaded, std::uint32_t running)
{
    const TimePoint now = m_timers.now();
    m_window.peakRunning = std::max(m_window.peakRunning, running);
    // A request that began before the window was affected by an earlier limit.
    const bool isInWindow = now - latency >= m_window.startedAt;
    // The latency of a shed request is that of the refusal, not that of the service.
    if (wasOverloaded) {
        m_window.overloaded += isInWindow;
    } else {
        smooth(latency);
        m_window.served += isInWindow;
        m_window.sum += isInWindow ? latency : Duration::zero();
    }
    const Duration age = now - m_window.startedAt;
    if (m_isProbing) {
        if (m_window.served >= CompleteProbeSamples || age > MaxProbeTime)
            endProbe();
        return;
    }
    const auto wanted = std::max(MinSamples, limit());
    // The first requests to finish are the fast ones, so a window lasts for at least two service
    // times.
    const bool isShedding =
            m_window.overloaded >= ShedsEndingWindow && m_window.overloadedShare() > ShedTolerance;
    if (isShedding || (m_window.count() >= wanted && age >= 2 * m_typical))
        endWindow();
}

void ConcurrencyLimit::startWindow(Duration settlingTime)
{
    m_window = {};
    m_window.startedAt = m_timers.now() + settlingTime;
    m_wasLimitReached = false;
}

void ConcurrencyLimit::endWindow()
{
    const std::optional<Duration> mean = m_window.mean();
    const std::int64_t probe = probeNumber();
    if (mean) {
        const bool hasNoQueue = m_window.peakRunning < m_limit * ProbeShare;
        if (!m_baseline)
            m_baseline = mean;
        else if (*mean < *m_baseline || hasNoQueue)
            *m_baseline += (*mean - *m_baseline) / BaselineSmoothing;
    }
    const bool isProbeDue = m_wasLimitReached && probe != m_lastProbe;
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
    if (m_window.served >= MinTimedOutProbeSamples)
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
    if (ratio > SlowStartTolerance)
        m_isSlowStart = false;
    const auto windowAge = std::chrono::duration<double>(m_timers.now() - m_window.startedAt);
    m_ceiling = std::min(m_ceiling * (1 + CeilingRisePerSecond * windowAge.count()), MaxLimit);
    if (mayDecreaseForSheds(overloadedShare)) {
        m_ceiling = m_limit * CeilingShare;
        scale(ShedFactor);
    } else if (ratio > LatencyTolerance) {
        scale(std::max(MinDecreaseFactor, LatencyTolerance / ratio));
    } else if (m_wasLimitReached) {
        m_limit = m_isSlowStart ? m_limit * SlowStartFactor
                                : m_limit + std::max(1.0, m_limit * IncreaseShare);
        m_limit = std::max(m_minLimit, std::min(m_limit, m_ceiling));
    }
}

bool ConcurrencyLimit::mayDecreaseForSheds(double overloadedShare)
{
    if (overloadedShare <= ShedTolerance) {
        m_shedDecreases = 0;
        return false;
    }
    if (m_shedDecreases == 0)
        m_shareAtLastCheck = overloadedShare;
    if (m_shedDecreases == DecreasesUntilShedCheck) {
        if (overloadedShare > m_shareAtLastCheck * ShedImprovement)
            return false;
        m_shedDecreases = 0;
        m_shareAtLastCheck = overloadedShare;
    }
    ++m_shedDecreases;
    return true;
}

void ConcurrencyLimit::scale(double factor)
{
    m_isSlowStart = false;
    m_limit = std::max(m_minLimit, m_limit * factor);
}

} // namespace geraniumcart
