#include <geraniumcart/upstream_choice.h>

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace geraniumcart {

namespace {

/// Maximum number of connections of one worker to one searcher. More would stay unused, since a
/// searcher has two or three slots.
constexpr std::uint32_t MaxConnectionsPerSearcher = 4;
/// Share of a searcher's limits that the known daemons use. The rest is a reserve for daemons that
/// have not yet discovered each other.
constexpr double PlannedShare = 0.9;
/// Part that lets a daemon save up one request.
constexpr double MinPart = 1;
/// Largest part of the allowance for further attempts that is kept for daemons that are not listed.
/// Only callers with old answers of the directory use them.
constexpr double MaxUnlistedPart = 0.2;
/// Part of a searcher's rate limit that listed daemons share. The rest is for callers with old
/// answers of the directory.
constexpr double ListedRateShare = 0.9;
/// Number of daemons that have a part in a rate limit of one request per second, and those in
/// addition. Each of them may save up one request.
constexpr double DaemonsPerRate = 1.5;
constexpr double MinDaemonsWithRate = 2;
/// Largest number of daemons that are not listed and have a part in a rate limit of one request per
/// second.
constexpr double UnlistedPerRate = 0.5;
/// Time after which a daemon without a part in a searcher's rate limit sends it a request, since
/// only an answer shows that the limit has ended. Daemons wait up to twice as long, so that they do
/// not all send at the same time.
constexpr std::chrono::seconds RateProbeInterval{60};
/// Multiples of this, without their whole part, are spread evenly.
constexpr double GoldenRatio = 0.618;
/// Latency assumed for a searcher while no searcher of its service has a known latency.
constexpr Duration UnknownLatency = std::chrono::milliseconds(10);
/// Added to the expected wait for a searcher in another availability zone: one network round trip
/// of 2 x 0.5 ms.
constexpr Duration OtherZonePenalty = std::chrono::milliseconds(1);
/// Factor on the expected wait for a searcher in another availability zone. Traffic between zones
/// is paid for, so a searcher of the own zone is preferred unless it is busier.
constexpr double OtherZoneFactor = 1.2;
/// Time in which the difference between a searcher's measured latency and the base latency halves
/// unless a new answer arrives, so that a searcher that has recovered is tried again.
constexpr Duration LatencyHalfLife = std::chrono::seconds(2);
/// Factor by which a cold searcher is slower, approximately.
constexpr double ColdFactor = 1.6;
/// Weight of the failure share in the expected wait, where one refused or failed request counts
/// like this many answers. Such a request costs an exchange, and the next attempt, if one is
/// allowed at all, uses up a small budget.
constexpr double FailureCost = 4;
/// Maximum relative random increase of the expected wait. It keeps daemons from all picking the
/// same one of several equal searchers.
constexpr double ChoiceSpread = 0.3;

/// Number of daemons per request that a cold searcher takes in a second, up to which each of them
/// may send when it likes. Together they send that many requests at once.
constexpr double MaxFreeDaemons = 1.5;
/// Number of daemons whose turn it is at the same time, per request that a cold searcher takes in a
/// second. The turns of three groups overlap with any second.
constexpr double GroupShare = 0.5;

/// Delay of a daemon that is not listed, longer than any warm-up. Only callers with old answers of
/// the directory use it, and it has no place in the order of turns.
constexpr Duration NoTurn = std::chrono::hours(1);

/// Stands for all back-end versions except the one of the rollout.
const std::string OtherVersions;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// Candidates of a lower rank are chosen first.
enum class Rank : std::uint8_t { Regular, Suspect, Leaving };

Rank rankOf(const Upstream &upstream, TimePoint now)
{
    if (upstream.leavingSince())
        return Rank::Leaving;
    return now < upstream.suspectUntil() ? Rank::Suspect : Rank::Regular;
}

} // namespace

Availability availabilityOf(const Upstream &upstream, TimePoint now, Duration leavingUse)
{
    if (!upstream.isInUse() || upstream.isReplaced() || now < upstream.usableFrom(now))
        return Availability::None;
    const auto leavingSince = upstream.leavingSince();
    if (!leavingSince)
        return Availability::Usable;
    return now - *leavingSince < leavingUse ? Availability::LastResort : Availability::None;
}

bool isServable(const ServiceUpstreams &service, TimePoint now, Duration leavingUse)
{
    return std::ranges::any_of(service.upstreams, [&](const auto &upstream) {
        return availabilityOf(*upstream, now, leavingUse) != Availability::None;
    });
}

Duration lowestLatency(std::span<const std::shared_ptr<Upstream>> candidates)
{
    Duration lowest = Duration::max();
    for (const auto &candidate : candidates)
        if (candidate->latency() > Duration::zero())
            lowest = std::min(lowest, candidate->latency());
    return lowest == Duration::max() ? UnknownLatency : lowest;
}

namespace {

/// @return the latency in seconds that an idle searcher is expected to have
double idleLatency(const Upstream &upstream, Duration base, TimePoint now)
{
    double latency = seconds(base);
    if (upstream.latency() > Duration::zero()) {
        const double halfLives = seconds(upstream.latencyAge(now)) / seconds(LatencyHalfLife);
        latency += (seconds(upstream.latency()) - latency) * std::exp2(-std::max(halfLives, 0.0));
    }
    latency = std::max(latency, seconds(upstream.silence(now)));
    if (upstream.isCold(now))
        latency *= ColdFactor;
    return latency * (1 + FailureCost * upstream.failureShare(now));
}

Duration toDuration(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace

Duration expectedWait(const Upstream &upstream, Duration base, TimePoint now)
{
    return toDuration(idleLatency(upstream, base, now) * (1 + upstream.inFlight()));
}

Duration predictedLatency(const Upstream &upstream, Duration base, TimePoint now)
{
    return toDuration(idleLatency(upstream, base, now) *
                      (1 + static_cast<double>(upstream.inFlight()) / upstream.slots()));
}

std::uint32_t connectionShare(const ServiceProfile &profile, std::uint32_t listed)
{
    const std::uint32_t share = profile.maxConnections / (listed + JoiningDaemons);
    return std::clamp(share, 1U, MaxConnectionsPerSearcher);
}

std::size_t maxListedDaemons(const RouteTable &routes)
{
    std::size_t most = std::numeric_limits<std::size_t>::max();
    for (const auto &[name, profile] : routes.services)
        most = std::min(most, static_cast<std::size_t>(profile.maxConnections * PlannedShare));
    return most;
}

ListingLimits listingLimits(const ServingView &view)
{
    ListingLimits limits;
    if (view.routes)
        limits = {maxListedDaemons(*view.routes), view.routedSearchers};
    return limits;
}

double retryAllowancePart(const RetryAllowance &allowance, std::uint32_t members,
                          const AllowancePart &part)
{
    const double total = allowance.extra * PlannedExtra;
    const std::uint32_t unlisted = members - std::min(part.daemons, members);
    const double unlistedPart = unlisted * MinPart <= total * MaxUnlistedPart ? MinPart : 0;
    if (!part.hasPart)
        return unlistedPart;
    return (total - unlisted * unlistedPart) / (part.daemons + JoiningDaemons);
}

namespace {

double rateProbeRate(std::uint32_t index)
{
    const double spread = std::fmod(index * GoldenRatio, 1.0);
    return 1 / (std::chrono::duration<double>(RateProbeInterval).count() * (1 + spread));
}

} // namespace

double rateLimitPart(double limit, std::string_view instanceId, std::uint32_t members,
                     const AllowancePart &part)
{
    const std::uint32_t listed = std::max(part.daemons, 1U);
    if (!part.hasPart) {
        const std::uint32_t unlisted = members - std::min(listed, members);
        return unlisted == 0 || unlisted > limit * UnlistedPerRate
                       ? rateProbeRate(part.index)
                       : limit * (1 - ListedRateShare) / unlisted;
    }
    const double most = std::floor(limit * DaemonsPerRate + MinDaemonsWithRate);
    const auto users = static_cast<std::uint32_t>(std::min<double>(listed, most));
    const std::uint64_t first = XXH3_64bits(instanceId.data(), instanceId.size()) % listed;
    if ((first + part.index) % listed >= users)
        return rateProbeRate(part.index);
    return std::max(limit * ListedRateShare / users, rateProbeRate(part.index));
}

WarmUpPace warmUpPace(const ServiceProfile &profile, std::string_view instanceId,
                      std::uint32_t senders, const AllowancePart &part, WallTime wallNow)
{
    if (profile.warmUpRate <= 0)
        return {};
    const double rate = profile.warmUpRate * PlannedShare;
    WarmUpPace pace;
    pace.interval = toDuration((senders + JoiningDaemons) / rate);
    if (senders <= std::max(MaxFreeDaemons * profile.warmUpRate, 1.0))
        return pace;
    const auto group = static_cast<std::uint32_t>(std::max(GroupShare * profile.warmUpRate, 1.0));
    const std::uint32_t listed = std::max(part.daemons, 1U);
    if (!part.hasPart) {
        pace.untilTurn = NoTurn;
        pace.turn = toDuration(group / rate);
        return pace;
    }
    const std::uint64_t first = XXH3_64bits(instanceId.data(), instanceId.size());
    pace.turn = toDuration(group / rate);
    const auto place = static_cast<Duration::rep>((first + part.index) % listed / group);
    const auto sinceStart = std::chrono::duration_cast<Duration>(wallNow.time_since_epoch());
    // Never negative, since the place is within the interval.
    pace.untilTurn =
            (place * pace.turn + pace.interval - sinceStart % pace.interval) % pace.interval;
    return pace;
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
    Rank chosenRank = Rank::Regular;
    double lowest = std::numeric_limits<double>::max();
    for (const auto &candidate : candidates) {
        if (!isUsable(*candidate))
            continue;
        const Rank rank = rankOf(*candidate, now);
        double cost = seconds(expectedWait(*candidate, base, now)) * spread(m_random);
        if (candidate->zone() != m_zone)
            cost = cost * OtherZoneFactor + seconds(OtherZonePenalty);
        if (chosen && (rank > chosenRank || (rank == chosenRank && cost >= lowest)))
            continue;
        chosen = candidate;
        chosenRank = rank;
        lowest = cost;
    }
    return chosen;
}

} // namespace geraniumcart
