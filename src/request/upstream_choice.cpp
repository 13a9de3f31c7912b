#include <geraniumcart/upstream_choice.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace geraniumcart {

namespace {

/// More connections than this to one searcher carry nothing: it has two or three slots.
constexpr std::uint32_t MostConnections = 4;
/// Share of a searcher's limits that is planned for; the rest covers daemons that have not learned
/// of each other.
constexpr double PlannedShare = 0.9;
/// Latency assumed for a searcher while none of its service is known.
constexpr Duration UnknownLatency = std::chrono::milliseconds(10);
/// Added for a searcher in another availability zone: one round trip of 2 x 0.5 ms.
constexpr Duration OtherZonePenalty = std::chrono::milliseconds(1);
/// Time in which half of a bad impression fades, so that a searcher that recovered is tried again.
constexpr Duration ImpressionHalfLife = std::chrono::seconds(2);
/// A cold searcher takes about this much longer.
constexpr double ColdFactor = 1.6;
/// A refused or failed request counts as this many answers: it takes an exchange, and the attempt
/// that follows, if one may, comes out of a small budget.
constexpr double FailureCost = 4;
/// Spread between daemons, so that they do not all pick the same searcher of two equal ones.
constexpr double ChoiceSpread = 0.3;

/// Stands for all versions but the one that a service moves to.
const std::string OtherVersions;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

Duration lowestLatency(std::span<const std::shared_ptr<Upstream>> candidates)
{
    Duration lowest = Duration::max();
    for (const auto &candidate : candidates)
        if (candidate->latency() > Duration::zero())
            lowest = std::min(lowest, candidate->latency());
    return lowest == Duration::max() ? UnknownLatency : lowest;
}

Duration expectedWait(const Upstream &upstream, Duration base, TimePoint now)
{
    double latency = seconds(base);
    if (upstream.latency() > Duration::zero()) {
        const double halfLives = seconds(upstream.latencyAge(now)) / seconds(ImpressionHalfLife);
        latency += (seconds(upstream.latency()) - latency) * std::exp2(-std::max(halfLives, 0.0));
    }
    latency = std::max(latency, seconds(upstream.silence(now)));
    if (upstream.isCold(now))
        latency *= ColdFactor;
    latency *= 1 + FailureCost * upstream.failureShare(now);
    return std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(latency * (1 + upstream.inFlight())));
}

std::uint32_t connectionShare(const ServiceProfile &profile, std::uint32_t listed)
{
    const std::uint32_t share = profile.maxConnections / (listed + JoiningDaemons);
    return std::clamp(share, 1U, MostConnections);
}

std::size_t mostListedDaemons(const RouteTable &routes)
{
    std::size_t most = std::numeric_limits<std::size_t>::max();
    for (const auto &[name, profile] : routes.services)
        most = std::min(most, static_cast<std::size_t>(profile.maxConnections * PlannedShare));
    return most;
}

Duration warmUpInterval(const ServiceProfile &profile, std::uint32_t senders)
{
    if (profile.warmUpRate <= 0)
        return Duration::zero();
    const double interval = (senders + JoiningDaemons) / (profile.warmUpRate * PlannedShare);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(interval));
}

std::shared_ptr<Upstream>
UpstreamChoice::choose(const ServiceUpstreams &service, TimePoint now,
                       const std::function<bool(const Upstream &)> &isUsable)
{
    const VersionDivision &division = service.division;
    if (!division.isDivided())
        return choose(service.upstreams, now, isUsable);
    const auto isOfSide = [&division](const Upstream &upstream, const std::string &side) {
        return (upstream.version() == division.version) == (side == division.version);
    };
    VersionSplit &split = m_splits.of(service.profile.name, {{division.version, division.share},
                                                             {OtherVersions, 1 - division.share}});
    const std::string *side = split.pick(
            [&](const std::string &candidate) {
                return std::ranges::any_of(service.upstreams, [&](const auto &upstream) {
                    return isOfSide(*upstream, candidate) && isUsable(*upstream);
                });
            },
            m_random);
    if (!side)
        return nullptr;
    const auto chosen = choose(service.upstreams, now, [&](const Upstream &upstream) {
        return isOfSide(upstream, *side) && isUsable(upstream);
    });
    if (chosen)
        split.charge(*side);
    return chosen;
}

std::shared_ptr<Upstream>
UpstreamChoice::choose(std::span<const std::shared_ptr<Upstream>> candidates, TimePoint now,
                       const std::function<bool(const Upstream &)> &isUsable)
{
    const Duration base = lowestLatency(candidates);
    std::uniform_real_distribution<double> spread(1, 1 + ChoiceSpread);
    std::shared_ptr<Upstream> chosen;
    bool isChosenSuspect = false;
    double lowest = std::numeric_limits<double>::max();
    for (const auto &candidate : candidates) {
        if (!isUsable(*candidate))
            continue;
        const bool isSuspect = now < candidate->suspectUntil();
        double cost = seconds(expectedWait(*candidate, base, now)) * spread(m_random);
        if (candidate->zone() != m_zone)
            cost += seconds(OtherZonePenalty);
        const bool isBetter = !chosen || (isChosenSuspect && !isSuspect) ||
                              (isChosenSuspect == isSuspect && cost < lowest);
        if (!isBetter)
            continue;
        chosen = candidate;
        isChosenSuspect = isSuspect;
        lowest = cost;
    }
    return chosen;
}

} // namespace geraniumcart
