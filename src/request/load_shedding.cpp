#include <geraniumcart/load_shedding.h>

#include <geraniumcart/upstream_choice.h>

#include <algorithm>
#include <functional>
#include <vector>

namespace geraniumcart {

namespace {

/// Smallest share of requests that is admitted.
constexpr double MinAdmittedShare = 0.1;
/// Requests are refused once the predicted wait exceeds this share of the latency objective. Actual
/// waits scatter around the predicted one, so with a threshold at the objective itself half of the
/// admitted requests would be late.
constexpr double SheddingStart = 0.7;
/// The same for a request over shards. It ends in time with the shards that have answered, so it is
/// refused only if too few of them are predicted to.
constexpr double SheddingStartOfShards = 1;

/// Shortest predicted latency among the searchers of @p service that may get requests; zero if
/// there are none.
Duration shortestWait(const ServiceUpstreams &service, TimePoint now, Duration leavingUse)
{
    // A searcher that has just failed has no requests in flight and looks idle, but receives none
    // while another searcher is available. Such suspect searchers count only if there is no other.
    Duration best = Duration::max();
    Duration bestSuspect = Duration::max();
    const Duration base = lowestLatency(service.upstreams);
    for (const auto &upstream : service.upstreams) {
        if (availabilityOf(*upstream, now, leavingUse) == Availability::None)
            continue;
        Duration &lowest = now < upstream->suspectUntil() ? bestSuspect : best;
        lowest = std::min(lowest, predictedLatency(*upstream, base, now));
    }
    if (best == Duration::max())
        best = bestSuspect;
    return best == Duration::max() ? Duration::zero() : best;
}

/// Time until a searcher of @p service may get requests as far as pauses and rate limits are
/// concerned; zero if one may now, max() if none will.
Duration shortestPause(const ServiceUpstreams *service, TimePoint now, Duration leavingUse)
{
    if (!service)
        return Duration::max();
    Duration shortest = Duration::max();
    for (const auto &upstream : service->upstreams) {
        const TimePoint usableFrom = std::max(now, upstream->usableFrom(now));
        if (availabilityOf(*upstream, usableFrom, leavingUse) != Availability::None)
            shortest = std::min(shortest, usableFrom - now);
    }
    return shortest;
}

/// The @p rank smallest value of @p values, counted from 1.
Duration nthSmallest(std::vector<Duration> &values, std::uint32_t rank)
{
    std::nth_element(values.begin(), values.begin() + (rank - 1), values.end());
    return values[rank - 1];
}

} // namespace

Duration predictedWait(const Route &route, const std::string &service, const ServingView &view,
                       TimePoint now)
{
    if (!route.isScattered()) {
        const ServiceUpstreams *found = view.find(service);
        return found ? shortestWait(*found, now, view.leavingUse) : Duration::zero();
    }
    std::vector<Duration> waits;
    for (const std::string &shard : route.shards)
        if (const ServiceUpstreams *found = view.find(shard);
            found && isServable(*found, now, view.leavingUse))
            waits.push_back(shortestWait(*found, now, view.leavingUse));
    const std::uint32_t needed = route.minShards();
    return waits.size() < needed ? Duration::zero() : nthSmallest(waits, needed);
}

Duration pauseLeft(const Route &route, const std::string &service, const ServingView &view,
                   TimePoint now)
{
    std::vector<Duration> pauses;
    if (!route.isScattered())
        pauses.push_back(shortestPause(view.find(service), now, view.leavingUse));
    for (const std::string &shard : route.shards)
        pauses.push_back(shortestPause(view.find(shard), now, view.leavingUse));
    const Duration longest =
            nthSmallest(pauses, route.isScattered() ? route.minShards() : std::uint32_t{1});
    return longest == Duration::max() ? Duration::zero() : longest;
}

double admittedShare(Duration predicted, const Route &route)
{
    const double start = route.isScattered() ? SheddingStartOfShards : SheddingStart;
    const double ratio = start * std::chrono::duration<double>(route.latencyObjective) /
                         std::chrono::duration<double>(predicted);
    return std::clamp(ratio * ratio, MinAdmittedShare, 1.0);
}

} // namespace geraniumcart
