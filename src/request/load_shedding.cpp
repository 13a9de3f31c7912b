#include <geraniumcart/load_shedding.h>

#include <geraniumcart/upstream_choice.h>

#include <algorithm>
#include <functional>
#include <vector>

namespace geraniumcart {

namespace {

/// Smallest part that is let in.
constexpr double LeastShare = 0.1;
/// Part of the latency objective from which on requests are refused. Waits spread around the
/// predicted one, so that at the objective itself half of those let in would be late.
constexpr double SheddingStart = 0.7;

Duration bestWait(const ServiceUpstreams &service, TimePoint now)
{
    // A searcher that has just failed has nothing under way and looks idle, but gets no request
    // while another one is left.
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
        return found ? bestWait(*found, now) : Duration::zero();
    }
    std::vector<Duration> waits;
    for (const std::string &shard : route.shards)
        if (const ServiceUpstreams *found = view.find(shard); found && !found->upstreams.empty())
            waits.push_back(bestWait(*found, now));
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
    return std::clamp(ratio * ratio, LeastShare, 1.0);
}

} // namespace geraniumcart
