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

/// Shortest expected wait among the searchers of @p service; zero if there are none.
Duration shortestWait(const ServiceUpstreams &service, TimePoint now)
{
    // A searcher that has just failed has no requests in flight and looks idle, but receives none
    // while another searcher is available. Such suspect searchers count only if there is no other.
    Duration best = Duration::max();
    Duration bestSuspect = Duration::max();
    const Duration base = lowestLatency(service.upstreams);
    for (const auto &upstream : service.upstreams) {
        Duration &lowest = now < upstream->suspectUntil() ? bestSuspect : best;
        lowest = std::min(lowest, expectedWait(*upstream, base, now));
    }
    if (best == Duration::max())
        best = bestSuspect;
    return best == Duration::max() ? Duration::zero() : best;
}

} // namespace

Duration predictedWait(const Route &route, const std::string &service, const ServingView &view,
                       TimePoint now)
{
    if (!route.isScattered()) {
        const ServiceUpstreams *found = view.find(service);
        return found ? shortestWait(*found, now) : Duration::zero();
    }
    std::vector<Duration> waits;
    for (const std::string &shard : route.shards)
        if (const ServiceUpstreams *found = view.find(shard); found && !found->upstreams.empty())
            waits.push_back(shortestWait(*found, now));
    const std::uint32_t needed = route.minShards();
    if (waits.size() < needed)
        return Duration::zero();
    std::nth_element(waits.begin(), waits.begin() + (needed - 1), waits.end());
    return waits[needed - 1];
}

double admittedShare(Duration predicted, Duration latencyObjective)
{
    const double ratio = SheddingStart * std::chrono::duration<double>(latencyObjective) /
                         std::chrono::duration<double>(predicted);
    return std::clamp(ratio * ratio, MinAdmittedShare, 1.0);
}

} // namespace geraniumcart
