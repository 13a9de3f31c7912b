#include <geraniumcart/replica_choice.h>
#include <geraniumcart/version_split.h>

#include <algorithm>
#include <array>
#include <bit>
#include <string>
#include <vector>

namespace geraniumcart {

namespace {

/// Number of candidates compared for one sub-request. Comparing two random candidates already gives
/// most of the gain over a random pick; three usually cover all replicas of a shard.
constexpr std::size_t SampledReplicas = 3;
/// One choice in this many goes to a cold replica without requests in flight, so that it warms up.
constexpr std::uint64_t ColdTrialInterval = 20;
/// One choice in this many goes to a failing replica without requests in flight, so that its
/// recovery is detected.
constexpr std::uint64_t FailingTrialInterval = 64;
/// One choice in this many ignores latency. Otherwise a replica that was slow would never be chosen
/// and never measured again after it has become fast.
constexpr std::uint64_t ExplorationInterval = 32;
/// Consecutive failures after which a replica counts as failing. A single refusal may be chance.
constexpr std::uint32_t FailuresUntilAvoided = 2;
/// A replica counts as busy if it has no free slot, or more requests in flight than this quantile
/// of the values observed so far. If other daemons use the same slots, the quantile is the tighter
/// bound.
constexpr double BusyQuantile = 0.8;
/// Step by which the estimate of the quantile moves with each observation.
constexpr double BusyQuantileStep = 0.05;

class RandomSource
{
public:
    explicit RandomSource(std::uint64_t seed)
        : m_engine(seed)
    {
    }
    /// Uniform in [0, bound).
    std::uint64_t below(std::uint64_t bound)
    {
        return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(m_engine);
    }
    bool oneIn(std::uint64_t interval) { return below(interval) == 0; }
    std::mt19937_64 &engine() { return m_engine; }

private:
    std::mt19937_64 m_engine;
};

/// Reservoir sample: a uniform sample of at most SampledReplicas from a sequence of unknown length.
struct Sample
{
    std::array<std::uint32_t, SampledReplicas> members;
    std::size_t seen = 0;

    void add(std::uint32_t replica, RandomSource &random)
    {
        const std::size_t place = seen < SampledReplicas ? seen : random.below(seen + 1);
        if (place < SampledReplicas)
            members[place] = replica;
        ++seen;
    }
    std::span<const std::uint32_t> all() const
    {
        return {members.data(), std::min(seen, SampledReplicas)};
    }
};

bool isUsable(const Searcher &searcher, std::uint32_t replica,
              std::span<const std::uint32_t> excluded)
{
    return !searcher.state->isDraining() && std::ranges::find(excluded, replica) == excluded.end();
}

/// Picks the back-end version by its share; a subclass picks among the replicas of that version.
class VersionedChoice : public ReplicaChoice
{
public:
    explicit VersionedChoice(std::uint64_t seed)
        : m_random(seed)
    {
    }

    std::optional<std::uint32_t> choose(const ServiceRouting &service,
                                        std::span<const std::uint32_t> candidates,
                                        std::span<const std::uint32_t> excluded) final
    {
        if (service.versionShares.empty())
            return chooseAmong(service, candidates, excluded, nullptr);

        VersionSplit &split = m_splits.of(service.name, service.versionShares);
        const std::string *picked = split.pick(
                [&](const std::string &version) {
                    return std::ranges::any_of(candidates, [&](std::uint32_t replica) {
                        return isEligible(service, replica, excluded, &version);
                    });
                },
                m_random.engine());
        if (!picked)
            return std::nullopt;
        const auto chosen = chooseAmong(service, candidates, excluded, picked);
        if (chosen)
            split.charge(*picked);
        return chosen;
    }

protected:
    /// @param version back-end version to choose from; null for all versions
    virtual std::optional<std::uint32_t> chooseAmong(const ServiceRouting &service,
                                                     std::span<const std::uint32_t> candidates,
                                                     std::span<const std::uint32_t> excluded,
                                                     const std::string *version) = 0;

    static bool isEligible(const ServiceRouting &service, std::uint32_t replica,
                           std::span<const std::uint32_t> excluded, const std::string *version)
    {
        const Searcher &searcher = service.searchers[replica];
        return (!version || searcher.entry.backEndVersion == *version) &&
               isUsable(searcher, replica, excluded);
    }

    RandomSource m_random;

private:
    VersionSplits m_splits;
};

class RandomChoice final : public VersionedChoice
{
public:
    using VersionedChoice::VersionedChoice;

protected:
    std::optional<std::uint32_t> chooseAmong(const ServiceRouting &service,
                                             std::span<const std::uint32_t> candidates,
                                             std::span<const std::uint32_t> excluded,
                                             const std::string *version) override
    {
        std::optional<std::uint32_t> chosen;
        std::uint64_t seen = 0;
        for (const std::uint32_t replica : candidates)
            if (isEligible(service, replica, excluded, version) && m_random.oneIn(++seen))
                chosen = replica;
        return chosen;
    }
};

/// Follows the rule published for the Prequal load balancer: among the sampled replicas that are
/// not busy the one with the lowest latency, or the least busy one if all are busy.
class LeastLoadedChoice final : public VersionedChoice
{
public:
    using VersionedChoice::VersionedChoice;

protected:
    std::optional<std::uint32_t> chooseAmong(const ServiceRouting &service,
                                             std::span<const std::uint32_t> candidates,
                                             std::span<const std::uint32_t> excluded,
                                             const std::string *version) override
    {
        Sample warm;
        Sample cold;
        Sample failing;
        std::optional<std::uint32_t> idleCold;
        std::optional<std::uint32_t> idleFailing;
        for (const std::uint32_t replica : candidates) {
            if (!isEligible(service, replica, excluded, version))
                continue;
            const UpstreamState &state = *service.searchers[replica].state;
            const bool isIdle = state.inFlight() == 0;
            if (state.failures() >= FailuresUntilAvoided) {
                failing.add(replica, m_random);
                if (isIdle)
                    idleFailing = replica;
            } else if (state.isCold()) {
                cold.add(replica, m_random);
                if (isIdle)
                    idleCold = replica;
            } else {
                warm.add(replica, m_random);
            }
        }
        if (idleCold && warm.seen > 0 && m_random.oneIn(ColdTrialInterval))
            return idleCold;
        if (idleFailing && warm.seen + cold.seen > 0 && m_random.oneIn(FailingTrialInterval))
            return idleFailing;
        for (const Sample *sample : {&warm, &cold, &failing})
            if (sample->seen > 0)
                return leastLoaded(service, sample->all());
        return std::nullopt;
    }

private:
    /// Sort key of a replica; the smallest is chosen. Members are compared in order of declaration.
    struct Load
    {
        /// Requests in flight if the replica is busy, otherwise 0.
        std::uint32_t busy = 0;
        std::uint32_t latencyClass = 0;
        std::uint32_t inFlight = 0;
        std::uint64_t tieBreak = 0;
        auto operator<=>(const Load &) const = default;
    };

    std::uint32_t leastLoaded(const ServiceRouting &service, std::span<const std::uint32_t> sample)
    {
        if (sample.size() == 1)
            return sample.front();
        const bool ignoresLatency = m_random.oneIn(ExplorationInterval);
        std::uint32_t best = sample.front();
        std::optional<Load> bestLoad;
        for (const std::uint32_t replica : sample) {
            const UpstreamState &state = *service.searchers[replica].state;
            const std::uint32_t inFlight = state.inFlight();
            const bool isBusy = inFlight > m_busyThreshold || inFlight >= service.limits.slots;
            updateBusyThreshold(inFlight);
            const Load load{isBusy ? inFlight : 0,
                            ignoresLatency ? 0 : latencyClass(state.latency()), inFlight,
                            m_random.below(1024)};
            if (!bestLoad || load < *bestLoad) {
                best = replica;
                bestLoad = load;
            }
        }
        return best;
    }

    /// @return the bit width of the latency in microseconds, a coarse logarithm to base 2.
    /// Latencies within a factor of two count as equal, since one slow answer can change the
    /// smoothed value by as much.
    static std::uint32_t latencyClass(Duration latency)
    {
        const auto count = std::chrono::duration_cast<std::chrono::microseconds>(latency).count();
        return static_cast<std::uint32_t>(std::bit_width(static_cast<std::uint64_t>(count)));
    }

    /// Moves the threshold towards BusyQuantile of the observed requests in flight.
    void updateBusyThreshold(std::uint32_t inFlight)
    {
        m_busyThreshold +=
                BusyQuantileStep * (inFlight > m_busyThreshold ? BusyQuantile : BusyQuantile - 1.0);
        m_busyThreshold = std::max(m_busyThreshold, 0.0);
    }

    double m_busyThreshold = 0;
};

} // namespace

std::unique_ptr<ReplicaChoice> makeReplicaChoice(ReplicaChoiceKind kind, std::uint64_t seed)
{
    if (kind == ReplicaChoiceKind::Random)
        return std::make_unique<RandomChoice>(seed);
    return std::make_unique<LeastLoadedChoice>(seed);
}

} // namespace geraniumcart
