#include "searcher_model.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace geraniumcart::tools {

namespace {

using Seconds = std::chrono::duration<double>;

/// Requests that may start at once: the one that opens a time window, and one in flight beyond the
/// rate that the searcher can handle.
constexpr double BucketDepth = 2;
/// Tolerance of floating-point sums, so that a request paced exactly at the rate is not counted.
constexpr double RoundingError = 1e-9;

} // namespace

void ColdTokenBucket::restart(TimePoint now)
{
    m_firstAnswer.reset();
    m_refilledAt = now;
    m_tokens = depth(now);
}

void ColdTokenBucket::recordAnswer(TimePoint now)
{
    if (!m_firstAnswer)
        m_firstAnswer = now;
}

bool ColdTokenBucket::consumeToken(TimePoint now)
{
    m_tokens = std::min(depth(now), m_tokens + allowanceBetween(m_refilledAt, now));
    m_refilledAt = now;
    // A request above the rate consumes no token, so that exactly the excess requests are counted.
    if (m_tokens + RoundingError < 1)
        return false;
    m_tokens -= 1;
    return true;
}

bool ColdTokenBucket::isCold(TimePoint now) const
{
    return !m_firstAnswer || now - *m_firstAnswer < m_limits.warmUp;
}

double ColdTokenBucket::rateAt(TimePoint time) const
{
    if (!m_firstAnswer || time <= *m_firstAnswer)
        return m_limits.coldRequestsPerSecond;
    const double doublings = Seconds(time - *m_firstAnswer) / Seconds(m_limits.coldDoubling);
    return m_limits.coldRequestsPerSecond * std::exp2(doublings);
}

double ColdTokenBucket::allowanceBetween(TimePoint from, TimePoint to) const
{
    double allowance = 0;
    const TimePoint origin = m_firstAnswer ? std::clamp(*m_firstAnswer, from, to) : to;
    allowance += m_limits.coldRequestsPerSecond * Seconds(origin - from).count();
    // The integral of a rate that doubles per interval is the change of the rate times the interval
    // divided by ln 2.
    allowance += (rateAt(to) - rateAt(origin)) * Seconds(m_limits.coldDoubling).count() /
                 std::numbers::ln2;
    return allowance;
}

double ColdTokenBucket::depth(TimePoint now) const
{
    return BucketDepth + rateAt(now) * Seconds(m_jitter).count();
}

ColdStartTracker::ColdStartTracker(const SearcherLimits &limits, const ColdOverloadConfig &config)
    : m_noticeGrace(config.noticeGrace)
    , m_overloadBucket(limits, config.arrivalJitter)
    , m_violationBucket(limits, config.arrivalJitter)
{
}

void ColdStartTracker::becomeWarm()
{
    m_startedCold = false;
}

void ColdStartTracker::becomeCold(TimePoint now, bool isAnnounced)
{
    m_startedCold = true;
    m_overloadBucket.restart(now);
    m_violationBucket.restart(now);
    m_isCounting = isAnnounced;
    m_knownToCallersAt = isAnnounced ? std::optional(now) : std::nullopt;
    m_firstAnswer.reset();
    ++m_epoch;
    m_running = 0;
}

ColdStartTracker::Start ColdStartTracker::start(TimePoint now)
{
    Start start;
    if (!isCold(now))
        return start;
    start.isOverload = !m_overloadBucket.consumeToken(now);
    if (!isKnownToCallers(now))
        return start;
    if (!m_isCounting) {
        m_violationBucket.restart(now);
        if (m_firstAnswer)
            m_violationBucket.recordAnswer(*m_firstAnswer);
        m_isCounting = true;
    }
    start.isRateExceeded = !m_violationBucket.consumeToken(now);
    start.isConcurrencyExceeded = m_running > 0;
    start.epoch = m_epoch;
    ++m_running;
    return start;
}

void ColdStartTracker::finish(std::uint64_t epoch)
{
    if (epoch != 0 && epoch == m_epoch)
        --m_running;
}

void ColdStartTracker::recordAnswer(TimePoint now)
{
    if (!m_startedCold)
        return;
    if (!m_firstAnswer)
        m_firstAnswer = now;
    m_overloadBucket.recordAnswer(now);
    m_violationBucket.recordAnswer(now);
}

void ColdStartTracker::recordBootIdSent(TimePoint now)
{
    if (m_startedCold && !m_knownToCallersAt)
        m_knownToCallersAt = now + m_noticeGrace;
}

bool ColdStartTracker::isCold(TimePoint now) const
{
    return m_startedCold && m_overloadBucket.isCold(now);
}

} // namespace geraniumcart::tools
