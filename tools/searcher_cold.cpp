#include "searcher_model.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace geraniumcart::tools {

namespace {

using Seconds = std::chrono::duration<double>;

/// One request in flight beyond the bearable rate, and the one that opens a window.
constexpr double BucketDepth = 2;
constexpr double RoundingError = 1e-9;

} // namespace

void ColdBucket::restart(TimePoint now)
{
    m_firstAnswer.reset();
    m_refilledAt = now;
    m_tokens = depth(now);
}

void ColdBucket::noteAnswer(TimePoint now)
{
    if (!m_firstAnswer)
        m_firstAnswer = now;
}

bool ColdBucket::noteStart(TimePoint now)
{
    m_tokens = std::min(depth(now), m_tokens + allowanceBetween(m_refilledAt, now));
    m_refilledAt = now;
    // A start above the rate takes no token, so that the count is the excess and no more.
    if (m_tokens + RoundingError < 1)
        return false;
    m_tokens -= 1;
    return true;
}

bool ColdBucket::isCold(TimePoint now) const
{
    return !m_firstAnswer || now - *m_firstAnswer < m_limits.warmUp;
}

double ColdBucket::rateAt(TimePoint time) const
{
    if (!m_firstAnswer || time <= *m_firstAnswer)
        return m_limits.coldRequestsPerSecond;
    const double doublings = Seconds(time - *m_firstAnswer) / Seconds(m_limits.coldDoubling);
    return m_limits.coldRequestsPerSecond * std::exp2(doublings);
}

double ColdBucket::allowanceBetween(TimePoint from, TimePoint to) const
{
    double allowance = 0;
    const TimePoint origin = m_firstAnswer ? std::clamp(*m_firstAnswer, from, to) : to;
    allowance += m_limits.coldRequestsPerSecond * Seconds(origin - from).count();
    // Integral of a rate that doubles steadily: the change of rate, times the interval by ln 2.
    allowance += (rateAt(to) - rateAt(origin)) * Seconds(m_limits.coldDoubling).count() /
                 std::numbers::ln2;
    return allowance;
}

double ColdBucket::depth(TimePoint now) const
{
    return BucketDepth + rateAt(now) * Seconds(m_jitter).count();
}

ColdAccount::ColdAccount(const SearcherLimits &limits, const ColdOverloadConfig &config)
    : m_noticeGrace(config.noticeGrace)
    , m_bearable(limits, config.arrivalJitter)
    , m_accounted(limits, config.arrivalJitter)
{
}

void ColdAccount::becomeWarm()
{
    m_startedCold = false;
}

void ColdAccount::becomeCold(TimePoint now, bool isAnnounced)
{
    m_startedCold = true;
    m_bearable.restart(now);
    m_accounted.restart(now);
    m_isCounting = isAnnounced;
    m_noticedAt = isAnnounced ? std::optional(now) : std::nullopt;
    m_firstAnswer.reset();
    ++m_epoch;
    m_running = 0;
}

ColdAccount::Start ColdAccount::start(TimePoint now)
{
    Start start;
    if (!isCold(now))
        return start;
    start.isOverload = !m_bearable.noteStart(now);
    if (!isNoticed(now))
        return start;
    if (!m_isCounting) {
        m_accounted.restart(now);
        if (m_firstAnswer)
            m_accounted.noteAnswer(*m_firstAnswer);
        m_isCounting = true;
    }
    start.isRateExceeded = !m_accounted.noteStart(now);
    start.isConcurrencyExceeded = m_running > 0;
    start.epoch = m_epoch;
    ++m_running;
    return start;
}

void ColdAccount::finish(std::uint64_t epoch)
{
    if (epoch != 0 && epoch == m_epoch)
        --m_running;
}

void ColdAccount::noteAnswer(TimePoint now)
{
    if (!m_startedCold)
        return;
    if (!m_firstAnswer)
        m_firstAnswer = now;
    m_bearable.noteAnswer(now);
    m_accounted.noteAnswer(now);
}

void ColdAccount::noteNotice(TimePoint now)
{
    if (m_startedCold && !m_noticedAt)
        m_noticedAt = now + m_noticeGrace;
}

bool ColdAccount::isCold(TimePoint now) const
{
    return m_startedCold && m_bearable.isCold(now);
}

} // namespace geraniumcart::tools
