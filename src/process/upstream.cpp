#include <geraniumcart/upstream.h>

#include <algorithm>
#include <cmath>

namespace geraniumcart {

namespace {

/// Weight of one sample in the smoothed latency is 1 / SmoothingDivisor. With a quarter, the value
/// follows a searcher that becomes slow within a few answers.
constexpr int SmoothingDivisor = 4;
/// Time for which a searcher is avoided after a first failure; each further failure in a row
/// doubles it.
constexpr std::chrono::milliseconds InitialSuspicion{100};
/// Longest time for which a searcher is avoided after failures. A searcher that has recovered is
/// used again within about this time.
constexpr std::chrono::milliseconds MaxSuspicion{1600};
/// Doublings from InitialSuspicion to MaxSuspicion.
constexpr std::uint32_t MaxDoublings = 4;
/// Weight of one request in the failure share. With an eighth, a searcher that refuses or fails
/// four requests in ten is detected within about ten requests, while a single failure has little
/// effect.
constexpr double FailureWeight = 1.0 / 8;
/// Time in which the failure share falls by half while no request fails, so that the searcher is
/// tried again.
constexpr std::chrono::seconds FailureHalfLife{2};
/// Time for which a searcher is avoided after a refusal. A full searcher has a free slot after
/// about the time of one request.
constexpr std::chrono::milliseconds RefusalSuspicion{15};
/// Time for which a daemon that does not use its part in a searcher's rate limit saves it up. All
/// daemons together then send at most the limit for this much longer at once.
constexpr std::chrono::milliseconds RateSavings{750};
/// Longest time between two requests to a searcher with a rate limit.
constexpr std::chrono::seconds MaxRateInterval{120};
/// Time until the next attempt to ask a searcher to which no connection could be opened or kept.
constexpr std::chrono::milliseconds ReconnectDelay{100};
/// Number of requests in flight after a pause from which on their number is not limited any more. A
/// searcher has two or three slots.
constexpr std::uint32_t FullRamp = 4;

} // namespace

void Upstream::recordDispatch(TimePoint now)
{
    if (m_inFlight.fetch_add(1, std::memory_order_relaxed) == 0)
        store(m_lastProgress, now);
}

void Upstream::recordAnswer(TimePoint now, Duration latency)
{
    recordEnd();
    const Duration::rep smoothed = m_latency.load(std::memory_order_relaxed);
    const Duration::rep next = smoothed == 0
                                       ? latency.count()
                                       : smoothed + (latency.count() - smoothed) / SmoothingDivisor;
    m_latency.store(std::max<Duration::rep>(next, 1), std::memory_order_relaxed);
    // Workers may overwrite each other's update. The lost update matters little, since the next
    // ones correct the value.
    m_failureShare.store(m_failureShare.load(std::memory_order_relaxed) * (1 - FailureWeight),
                         std::memory_order_relaxed);
    store(m_lastAnswer, now);
    store(m_lastProgress, now);
    store(m_suspectUntil, TimePoint());
    m_failures.store(0, std::memory_order_relaxed);
    const std::uint32_t limit = m_rampLimit.load(std::memory_order_relaxed);
    // An answer during the pause belongs to a request that was sent before it.
    if (limit > 0 && now >= pausedUntil())
        m_rampLimit.store(2 * limit < FullRamp ? 2 * limit : 0, std::memory_order_relaxed);
}

void Upstream::recordFailedRequest(TimePoint now)
{
    recordEnd();
    const std::uint32_t failures = m_failures.fetch_add(1, std::memory_order_relaxed);
    const Duration pause = InitialSuspicion * (1U << std::min(failures, MaxDoublings));
    store(m_suspectUntil, now + std::min<Duration>(pause, MaxSuspicion));
    raiseFailureShare(now);
}

void Upstream::recordRefusal(TimePoint now)
{
    recordEnd();
    store(m_lastProgress, now);
    store(m_suspectUntil, now + RefusalSuspicion);
    raiseFailureShare(now);
}

bool Upstream::pause(TimePoint now, Duration time)
{
    const TimePoint until = now + std::min(time, MaxPause);
    const TimePoint previous = pausedUntil();
    if (until <= previous)
        return false;
    m_rampLimit.store(1, std::memory_order_relaxed);
    store(m_pausedUntil, until);
    return previous <= now;
}

bool Upstream::markLeaving(TimePoint now)
{
    Duration::rep none = 0;
    return m_leavingSince.compare_exchange_strong(
            none, std::max<Duration::rep>(now.time_since_epoch().count(), 1),
            std::memory_order_relaxed);
}

std::optional<TimePoint> Upstream::leavingSince() const
{
    const TimePoint since = load(m_leavingSince);
    if (since == TimePoint())
        return std::nullopt;
    return since;
}

bool Upstream::allowsAnother() const
{
    const std::uint32_t limit = m_rampLimit.load(std::memory_order_relaxed);
    return limit == 0 || inFlight() < limit;
}

namespace {

/// @return time between two requests at @p part requests per second
Duration rateInterval(double part)
{
    constexpr std::chrono::duration<double> Longest = MaxRateInterval;
    if (part * Longest.count() <= 1)
        return MaxRateInterval;
    return std::max(Duration(1),
                    std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / part)));
}

} // namespace

bool Upstream::limitRate(TimePoint now, double limit, double part)
{
    store(m_rateLimitSeen, now);
    const bool isNew = m_rateLimit.exchange(limit, std::memory_order_relaxed) < 0;
    // Nothing is saved up at the start, since other daemons learn of the limit at the same time.
    if (isNew)
        store(m_rateNext, now + MaxRateInterval);
    setRatePart(now, part);
    return isNew;
}

bool Upstream::clearRateLimit(TimePoint sentAt)
{
    if (m_rateLimit.load(std::memory_order_relaxed) < 0 || sentAt < load(m_rateLimitSeen))
        return false;
    m_rateInterval.store(0, std::memory_order_relaxed);
    return m_rateLimit.exchange(-1, std::memory_order_relaxed) >= 0;
}

void Upstream::setRatePart(TimePoint now, double part)
{
    if (m_rateLimit.load(std::memory_order_relaxed) < 0)
        return;
    const Duration interval = rateInterval(part);
    const Duration::rep previous =
            m_rateInterval.exchange(interval.count(), std::memory_order_relaxed);
    // The wait for a request at an earlier, lower rate ends with that rate.
    if (previous == 0 || interval.count() < previous)
        store(m_rateNext, std::min(load(m_rateNext), now + interval));
}

std::optional<double> Upstream::rateLimit() const
{
    const double limit = m_rateLimit.load(std::memory_order_relaxed);
    return limit < 0 ? std::nullopt : std::optional(limit);
}

TimePoint Upstream::usableFrom(TimePoint now) const
{
    const TimePoint from = std::max(pausedUntil(), warmUpAllowsFrom(now));
    const Duration interval(m_rateInterval.load(std::memory_order_relaxed));
    if (interval == Duration::zero())
        return from;
    const Duration savings = std::max<Duration>(RateSavings - interval, Duration::zero());
    return std::max(from, load(m_rateNext) - savings);
}

bool Upstream::tryTakeRate(TimePoint now)
{
    const Duration interval(m_rateInterval.load(std::memory_order_relaxed));
    if (interval == Duration::zero())
        return true;
    const Duration savings = std::max<Duration>(RateSavings - interval, Duration::zero());
    Duration::rep next = m_rateNext.load(std::memory_order_relaxed);
    const TimePoint earliest = TimePoint(Duration(next)) - savings;
    if (now < earliest)
        return false;
    const TimePoint sent = std::max(now, TimePoint(Duration(next)));
    return m_rateNext.compare_exchange_strong(next, (sent + interval).time_since_epoch().count(),
                                              std::memory_order_relaxed);
}

void Upstream::raiseFailureShare(TimePoint now)
{
    const double share = failureShare(now);
    m_failureShare.store(share + (1 - share) * FailureWeight, std::memory_order_relaxed);
    store(m_lastFailure, now);
}

double Upstream::failureShare(TimePoint now) const
{
    const double share = m_failureShare.load(std::memory_order_relaxed);
    if (share == 0)
        return 0;
    const std::chrono::duration<double> age = now - load(m_lastFailure);
    return share * std::exp2(-age / FailureHalfLife);
}

Duration Upstream::silence(TimePoint now) const
{
    return inFlight() == 0 ? Duration::zero() : now - load(m_lastProgress);
}

void Upstream::setWarmUpLimit(TimePoint now, const WarmUpPace &pace, Duration warmUp)
{
    m_warmUp.store(warmUp.count(), std::memory_order_relaxed);
    store(m_firstTurn, now + pace.untilTurn);
    m_warmUpTurn.store(pace.turn.count(), std::memory_order_relaxed);
    const bool isNew =
            m_warmUpInterval.exchange(pace.interval.count(), std::memory_order_relaxed) == 0;
    // Without a limit, searchers are not asked whether they are cold.
    if (isNew && hasWarmUpLimit())
        suspectCold(now);
}

bool Upstream::setColdFor(TimePoint now, Duration remaining)
{
    const bool wasPaced = isPaced(now);
    store(m_coldUntil, now + remaining);
    return !wasPaced && isPaced(now);
}

bool Upstream::suspectCold(TimePoint now)
{
    const bool wasPaced = isPaced(now);
    // confirmWarmUp() reads the two in the opposite order, so that it does not end a later doubt.
    m_uncertainSince.store(now.time_since_epoch().count(), std::memory_order_release);
    const TimePoint until =
            hasLink() ? now + Duration(m_warmUp.load(std::memory_order_relaxed)) : TimePoint::max();
    m_uncertainUntil.store(until.time_since_epoch().count(), std::memory_order_release);
    return !wasPaced && isPaced(now);
}

bool Upstream::recordLinkOpened(TimePoint now, bool isSameStart)
{
    m_openLinks.fetch_add(1, std::memory_order_relaxed);
    return !isSameStart && suspectCold(now);
}

bool Upstream::recordLinkClosed(TimePoint now)
{
    return m_openLinks.fetch_sub(1, std::memory_order_relaxed) == 1 && suspectCold(now);
}

bool Upstream::confirmWarmUp(TimePoint askedAt, TimePoint now, Duration remaining)
{
    Duration::rep until = m_uncertainUntil.load(std::memory_order_acquire);
    if (askedAt.time_since_epoch().count() < m_uncertainSince.load(std::memory_order_acquire))
        return false;
    if (remaining > Duration::zero())
        store(m_coldUntil, std::max(load(m_coldUntil), now + remaining));
    return m_uncertainUntil.compare_exchange_strong(until, now.time_since_epoch().count(),
                                                    std::memory_order_relaxed);
}

void Upstream::recordNoStatement(TimePoint now)
{
    store(m_nextConfirmation, now + Duration(m_warmUp.load(std::memory_order_relaxed)));
}

void Upstream::recordUnreachable(TimePoint now)
{
    store(m_unreachableUntil, now + ReconnectDelay);
}

bool Upstream::mustConfirm(TimePoint askedAt, TimePoint now) const
{
    return hasWarmUpLimit() && now < load(m_uncertainUntil) && askedAt < load(m_uncertainSince) &&
           now >= load(m_nextConfirmation);
}

TimePoint Upstream::coldUntil() const
{
    const TimePoint stated = load(m_coldUntil);
    return hasWarmUpLimit() ? std::max(stated, load(m_uncertainUntil)) : stated;
}

bool Upstream::awaitsConfirmation(TimePoint now) const
{
    if (!isPaced(now) || allowsWarmUp(now))
        return false;
    return !hasLink() || (now < load(m_uncertainUntil) && now >= load(m_coldUntil));
}

TimePoint Upstream::nextWarmUp(TimePoint now) const
{
    const TimePoint next = load(m_nextWarmUp);
    const Duration interval(m_warmUpInterval.load(std::memory_order_relaxed));
    const Duration turn(m_warmUpTurn.load(std::memory_order_relaxed));
    if (turn == Duration::zero() || interval == Duration::zero())
        return next;
    const TimePoint earliest = std::max(now, next);
    // The turn before may not be over.
    TimePoint start = load(m_firstTurn) - interval;
    if (earliest >= start + turn)
        start += ((earliest - start - turn) / interval + 1) * interval;
    return std::max(start, next);
}

TimePoint Upstream::warmUpAllowsFrom(TimePoint now) const
{
    if (!isPaced(now))
        return TimePoint();
    if (!hasLink())
        return load(m_unreachableUntil);
    const TimePoint askedFrom = std::max(load(m_nextConfirmation), load(m_unreachableUntil));
    const TimePoint warmFrom =
            std::max(load(m_coldUntil), std::min(load(m_uncertainUntil), askedFrom));
    return std::min(warmFrom, nextWarmUp(now));
}

bool Upstream::tryTakeWarmUp(TimePoint now)
{
    if (!isPaced(now))
        return true;
    Duration::rep next = m_nextWarmUp.load(std::memory_order_relaxed);
    if (now < nextWarmUp(now))
        return false;
    // With turns, the next request waits for another one.
    const Duration turn(m_warmUpTurn.load(std::memory_order_relaxed));
    const Duration interval(m_warmUpInterval.load(std::memory_order_relaxed));
    const TimePoint following = now + (turn > Duration::zero() ? turn : interval);
    return m_nextWarmUp.compare_exchange_strong(next, following.time_since_epoch().count(),
                                                std::memory_order_relaxed);
}

} // namespace geraniumcart
