#include <geraniumcart/upstream.h>

#include <algorithm>
#include <cmath>

namespace geraniumcart {

namespace {

/// Weight of a new sample in the smoothed latency: one in four follows a searcher that turns slow
/// within a few answers.
constexpr int SmoothingDivisor = 4;
/// First pause after a failure; each further one doubles it.
constexpr std::chrono::milliseconds FirstSuspicion{100};
/// Longest pause. A searcher that came back is used again within about this time.
constexpr std::chrono::milliseconds LongestSuspicion{1600};
/// Doublings from FirstSuspicion to LongestSuspicion.
constexpr std::uint32_t MaxDoublings = 4;
/// Weight of one request in the share of refused and failed ones: one in eight shows a searcher
/// that loses four of ten within about ten requests, and a single one counts little.
constexpr double FailureWeight = 1.0 / 8;
/// Time in which half of the share fades while nothing is lost, so that the searcher is tried
/// again.
constexpr std::chrono::seconds FailureHalfLife{2};
/// Pause after a refusal: a full searcher has room again after about one request.
constexpr std::chrono::milliseconds RefusalPause{15};

} // namespace

void Upstream::noteSent(TimePoint now)
{
    if (m_inFlight.fetch_add(1, std::memory_order_relaxed) == 0)
        store(m_lastProgress, now);
}

void Upstream::noteAnswer(TimePoint now, Duration latency)
{
    noteEnded();
    const Duration::rep smoothed = m_latency.load(std::memory_order_relaxed);
    const Duration::rep next = smoothed == 0
                                       ? latency.count()
                                       : smoothed + (latency.count() - smoothed) / SmoothingDivisor;
    m_latency.store(std::max<Duration::rep>(next, 1), std::memory_order_relaxed);
    // Workers may overwrite each other's update, which the next one makes up for.
    m_failureShare.store(m_failureShare.load(std::memory_order_relaxed) * (1 - FailureWeight),
                         std::memory_order_relaxed);
    store(m_lastAnswer, now);
    store(m_lastProgress, now);
    store(m_suspectUntil, TimePoint());
    m_failures.store(0, std::memory_order_relaxed);
}

void Upstream::noteFailure(TimePoint now)
{
    noteEnded();
    const std::uint32_t failures = m_failures.fetch_add(1, std::memory_order_relaxed);
    const Duration pause = FirstSuspicion * (1U << std::min(failures, MaxDoublings));
    store(m_suspectUntil, now + std::min<Duration>(pause, LongestSuspicion));
    raiseFailureShare(now);
}

void Upstream::noteRefusal(TimePoint now)
{
    noteEnded();
    store(m_lastProgress, now);
    store(m_suspectUntil, now + RefusalPause);
    raiseFailureShare(now);
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

bool Upstream::tryTakeWarmUp(TimePoint now, Duration interval)
{
    Duration::rep next = m_nextWarmUp.load(std::memory_order_relaxed);
    if (now.time_since_epoch().count() < next)
        return false;
    return m_nextWarmUp.compare_exchange_strong(next, (now + interval).time_since_epoch().count(),
                                                std::memory_order_relaxed);
}

} // namespace geraniumcart
