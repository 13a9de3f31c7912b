#include <geraniumcart/rollout.h>

#include <algorithm>
#include <cmath>

namespace geraniumcart {

namespace {

/// Indices into Sample::totals: the new version, and all other versions.
constexpr std::size_t Candidate = 0;
constexpr std::size_t Baseline = 1;
constexpr std::array<RequestKind, 2> Routes{RequestKind::Search, RequestKind::Book};
/// A version counts as slow only if it is slower by this factor. A smaller difference does not hurt
/// callers, even if it is statistically significant.
constexpr double SlowFactor = 1.5;
/// Share of the old version's answers that count as slow in a comparison.
constexpr double SlowShare = 0.25;
/// Share of slow answers that never leads to a rollback, in addition to SlowFactor times the old
/// version's.
constexpr double ToleratedSlow = 0.1;
/// Share of the old version's answers above which an answer counts as an outlier. A version may be
/// slow for a part of its requests only, which leaves its median unchanged.
constexpr double OutlierShare = 0.05;
/// Share of outliers that never leads to a rollback, in addition to twice the old version's. A
/// version that is slower by a third has about as many.
constexpr double ToleratedOutliers = 0.08;
constexpr double OutlierFactor = 2;
/// Error rate that never leads to a rollback: the rate of the old version may be zero by chance.
constexpr double ToleratedErrorRate = 0.01;

const char *nameOf(RequestKind route)
{
    return route == RequestKind::Search ? "search" : "book";
}

/// Upper bound (Chernoff) on the probability of at least @p hits in @p tries if each try hits with
/// probability @p rate.
double tailProbability(std::uint64_t hits, std::uint64_t tries, double rate)
{
    if (tries == 0)
        return 1.0;
    const double seen = static_cast<double>(hits) / static_cast<double>(tries);
    if (seen <= rate)
        return 1.0;
    const double divergence =
            seen * std::log(seen / rate) +
            (seen < 1.0 ? (1.0 - seen) * std::log((1.0 - seen) / (1.0 - rate)) : 0.0);
    return std::exp(-static_cast<double>(tries) * divergence);
}

std::string fractionText(std::uint64_t part, std::uint64_t whole)
{
    return std::to_string(part) + " of " + std::to_string(whole);
}

/// @return the number of answers in the bucket @p first and all later ones
std::uint64_t countFrom(const std::vector<std::uint64_t> &buckets, std::size_t first)
{
    std::uint64_t count = 0;
    for (std::size_t i = first; i < buckets.size(); ++i)
        count += buckets[i];
    return count;
}

/// @return the first bucket from which on at most the share @p share of all answers lies
std::size_t firstBucketAbove(const std::vector<std::uint64_t> &buckets, double share)
{
    const auto allowed = share * static_cast<double>(countFrom(buckets, 0));
    std::size_t first = buckets.size();
    while (first > 0 && static_cast<double>(countFrom(buckets, first - 1)) <= allowed)
        --first;
    return first;
}

/// @return the bucket that contains the median
std::size_t medianBucket(const std::vector<std::uint64_t> &buckets)
{
    const std::uint64_t total = countFrom(buckets, 0);
    std::uint64_t below = 0;
    for (std::size_t i = 0; i < buckets.size(); ++i) {
        below += buckets[i];
        if (2 * below >= total)
            return i;
    }
    return 0;
}

} // namespace

void Rollout::Totals::add(const AnswerCounts &row)
{
    add(Totals{row.good, row.bad, row.lost, row.latencyBuckets});
}

void Rollout::Totals::add(const Totals &other)
{
    good += other.good;
    bad += other.bad;
    lost += other.lost;
    latencyBuckets.resize(std::max(latencyBuckets.size(), other.latencyBuckets.size()));
    for (std::size_t i = 0; i < other.latencyBuckets.size(); ++i)
        latencyBuckets[i] += other.latencyBuckets[i];
}

Rollout::Totals Rollout::Totals::since(const Totals &earlier) const
{
    // A daemon whose clock was set back may restart with an older incarnation, whose counts are
    // ignored; no total shrinks, but a difference of unsigned numbers must not wrap around.
    const auto difference = [](std::uint64_t a, std::uint64_t b) { return a > b ? a - b : 0; };
    Totals result;
    result.good = difference(good, earlier.good);
    result.bad = difference(bad, earlier.bad);
    result.lost = difference(lost, earlier.lost);
    result.latencyBuckets = latencyBuckets;
    for (std::size_t i = 0; i < std::min(latencyBuckets.size(), earlier.latencyBuckets.size()); ++i)
        result.latencyBuckets[i] = difference(latencyBuckets[i], earlier.latencyBuckets[i]);
    return result;
}

std::uint64_t Rollout::Totals::latencyCount() const
{
    return countFrom(latencyBuckets, 0);
}

Rollout::Rollout(RolloutConfig config, TimerService &timers)
    : m_config(config)
    , m_timers(timers)
{
}

void Rollout::configure(const RuleSet &rules)
{
    std::erase_if(m_rollouts, [&](const auto &entry) {
        const RolloutRule *rule = rules.rolloutFor(entry.first);
        return !rule || rule->version != entry.second.rule.version ||
               rule->by != entry.second.rule.by;
    });
    // The counters of a service start at 0 with its next rollout, so older stored counts would hide
    // them.
    std::erase_if(m_answerCounts, [&](const auto &entry) {
        return rules.rolloutFor(entry.second.service) == nullptr;
    });
    std::erase_if(m_earlierCounts, [&](const auto &entry) {
        return rules.rolloutFor(entry.second.service) == nullptr;
    });
    for (const RolloutRule &rule : rules.rollouts) {
        const auto [place, isNew] = m_rollouts.try_emplace(rule.service);
        ServiceRollout &rollout = place->second;
        rollout.rule = rule;
        if (!isNew)
            continue;
        rollout.startedAt = m_timers.now();
        rollout.dueAt = rollout.startedAt +
                        std::chrono::duration_cast<Duration>(rule.by - m_timers.wallNow());
        rollout.share = m_config.canaryShare;
        rollout.samples.push_back(sampleOf(rollout));
    }
}

void Rollout::setServedEverywhere(const std::string &service, const std::string &version,
                                  bool isServed)
{
    const auto rollout = m_rollouts.find(service);
    if (rollout != m_rollouts.end() && rollout->second.rule.version == version)
        rollout->second.isServedEverywhere = isServed;
}

void Rollout::mergeAnswerCounts(const AnswerCounts &row)
{
    const std::string side = row.service + '\n' + row.version + '\n' + nameOf(row.route);
    AnswerCounts &stored = m_answerCounts[row.daemon + '\n' + side];
    if (row.incarnation > stored.incarnation) {
        EarlierCounts &earlier = m_earlierCounts[side];
        earlier.service = row.service;
        earlier.version = row.version;
        earlier.route = row.route;
        earlier.totals.add(stored);
        stored = row;
    } else if (row.incarnation == stored.incarnation && row.requests() >= stored.requests()) {
        stored = row;
    }
}

void Rollout::applyStop(const RolloutStop &stop)
{
    const auto rollout = m_rollouts.find(stop.service);
    if (rollout != m_rollouts.end() && rollout->second.rule.version == stop.version &&
        rollout->second.rule.by == stop.by && rollout->second.state != RolloutPhase::RolledBack)
        rollBack(rollout->second, stop.reason);
}

void Rollout::applyCompletion(const std::string &service, const std::string &version, WallTime by)
{
    const auto found = m_rollouts.find(service);
    if (found == m_rollouts.end() || found->second.rule.version != version ||
        found->second.rule.by != by || found->second.state != RolloutPhase::InProgress)
        return;
    found->second.state = RolloutPhase::Done;
    found->second.share = 1.0;
    found->second.reason = "all traffic on the new version";
}

void Rollout::tick()
{
    for (auto &[service, rollout] : m_rollouts)
        stepRollout(rollout);
}

Rollout::Sample Rollout::sampleOf(const ServiceRollout &rollout) const
{
    Sample sample;
    sample.at = m_timers.now();
    const auto totalsOf = [&](const std::string &version, RequestKind route) -> Totals & {
        const std::size_t side = version == rollout.rule.version ? Candidate : Baseline;
        return sample.totals[side][static_cast<std::size_t>(route)];
    };
    for (const auto &[key, row] : m_answerCounts)
        if (row.service == rollout.rule.service)
            totalsOf(row.version, row.route).add(row);
    for (const auto &[key, earlier] : m_earlierCounts)
        if (earlier.service == rollout.rule.service)
            totalsOf(earlier.version, earlier.route).add(earlier.totals);
    return sample;
}

void Rollout::stepRollout(ServiceRollout &rollout)
{
    if (rollout.state == RolloutPhase::RolledBack)
        return;
    Sample now = sampleOf(rollout);
    if (const auto fault = findFault(rollout, now)) {
        rollBack(rollout, *fault);
        return;
    }
    if (!rollout.provenAt) {
        const Sample &first = rollout.samples.front();
        std::uint64_t good = 0;
        for (const RequestKind route : Routes) {
            const auto index = static_cast<std::size_t>(route);
            good += now.totals[Candidate][index].since(first.totals[Candidate][index]).good;
        }
        if (good >= m_config.provingAnswers && now.at - rollout.startedAt >= m_config.provingTime) {
            rollout.provenAt = now.at;
        }
    }
    rollout.samples.push_back(std::move(now));
    // The first sample is kept for comparisons when the old version gets no traffic any more.
    while (rollout.samples.size() > 2 &&
           rollout.samples.back().at - rollout.samples[1].at > m_config.longWindow)
        rollout.samples.erase(rollout.samples.begin() + 1);

    if (rollout.state == RolloutPhase::Done)
        return;
    rollout.share = plannedShare(rollout);
    if (rollout.share >= 1.0) {
        rollout.state = RolloutPhase::Done;
        rollout.reason = "all traffic on the new version";
    } else if (!rollout.provenAt) {
        rollout.reason = "unproven: the new version gets a small share";
    } else if (!rollout.isServedEverywhere) {
        rollout.reason = "the new version has no replica in some shards";
    } else {
        rollout.reason = "proven: traffic moves to the new version by the due time";
    }
}

std::optional<std::string> Rollout::findFault(const ServiceRollout &rollout,
                                              const Sample &now) const
{
    for (const Duration window : {m_config.shortWindow, m_config.longWindow}) {
        const auto start =
                std::find_if(rollout.samples.begin(), rollout.samples.end(),
                             [&](const Sample &sample) { return now.at - sample.at <= window; });
        const Sample &earlier = start == rollout.samples.end() ? rollout.samples.back() : *start;
        for (const RequestKind route : Routes) {
            const auto index = static_cast<std::size_t>(route);
            const Totals candidate =
                    now.totals[Candidate][index].since(earlier.totals[Candidate][index]);
            Totals baseline = now.totals[Baseline][index].since(earlier.totals[Baseline][index]);
            // Near the end of a rollout the old version has too few answers for a comparison. All
            // its answers since the start of the rollout are used instead.
            if (baseline.latencyCount() < m_config.minLatencySamples)
                baseline = now.totals[Baseline][index].since(
                        rollout.samples.front().totals[Baseline][index]);
            if (auto fault = compare(candidate, baseline, route))
                return fault;
        }
    }
    return std::nullopt;
}

bool Rollout::failsMore(std::uint64_t candidate, std::uint64_t candidateTotal,
                        std::uint64_t baseline, std::uint64_t baselineTotal) const
{
    const double baselineRate = baselineTotal == 0 ? 0.0
                                                   : static_cast<double>(baseline + 1) /
                                                             static_cast<double>(baselineTotal + 1);
    const double allowed = std::min(0.9, std::max(ToleratedErrorRate, 2 * baselineRate));
    return candidate >= m_config.minBadAnswers &&
           tailProbability(candidate, candidateTotal, allowed) < m_config.falseRollbackProbability;
}

std::optional<std::string> Rollout::compare(const Totals &candidate, const Totals &baseline,
                                            RequestKind route) const
{
    const std::uint64_t candidateAnswers = candidate.good + candidate.bad;
    const std::uint64_t baselineAnswers = baseline.good + baseline.bad;
    if (failsMore(candidate.bad, candidateAnswers, baseline.bad, baselineAnswers))
        return std::string(nameOf(route)) + ": " + fractionText(candidate.bad, candidateAnswers) +
               " answers failed; old version: " + fractionText(baseline.bad, baselineAnswers);
    const std::uint64_t candidateTotal = candidateAnswers + candidate.lost;
    const std::uint64_t baselineTotal = baselineAnswers + baseline.lost;
    if (failsMore(candidate.lost, candidateTotal, baseline.lost, baselineTotal))
        return std::string(nameOf(route)) + ": " + fractionText(candidate.lost, candidateTotal) +
               " answers lost; old version: " + fractionText(baseline.lost, baselineTotal);

    const std::uint64_t candidateLatencies = candidate.latencyCount();
    const std::uint64_t baselineLatencies = baseline.latencyCount();
    if (candidateLatencies < m_config.minLatencySamples ||
        baselineLatencies < m_config.minLatencySamples)
        return std::nullopt;
    // Compares how many answers of each version are above the old version's upper quartile, and how
    // many are outliers.
    const auto isSlower = [&](std::size_t firstSlowBucket, double factor, double tolerated) {
        const double baselineRate =
                static_cast<double>(countFrom(baseline.latencyBuckets, firstSlowBucket) + 1) /
                static_cast<double>(baselineLatencies + 1);
        return tailProbability(countFrom(candidate.latencyBuckets, firstSlowBucket),
                               candidateLatencies,
                               std::min(0.9, baselineRate * factor + tolerated)) <
               m_config.falseRollbackProbability;
    };
    const std::size_t slowBucket = firstBucketAbove(baseline.latencyBuckets, SlowShare);
    const bool isShifted =
            medianBucket(candidate.latencyBuckets) > medianBucket(baseline.latencyBuckets);
    if (isShifted && isSlower(slowBucket, SlowFactor, ToleratedSlow))
        return std::string(nameOf(route)) + ": " +
               fractionText(countFrom(candidate.latencyBuckets, slowBucket), candidateLatencies) +
               " answers are slower than three quarters of the old version's";
    const std::size_t outlierBucket = firstBucketAbove(baseline.latencyBuckets, OutlierShare);
    if (isSlower(outlierBucket, OutlierFactor, ToleratedOutliers))
        return std::string(nameOf(route)) + ": " +
               fractionText(countFrom(candidate.latencyBuckets, outlierBucket),
                            candidateLatencies) +
               " answers are slower than 19 in 20 of the old version's";
    return std::nullopt;
}

void Rollout::rollBack(ServiceRollout &rollout, const std::string &reason)
{
    rollout.state = RolloutPhase::RolledBack;
    rollout.share = 0;
    rollout.reason = reason;
}

double Rollout::plannedShare(const ServiceRollout &rollout) const
{
    if (!rollout.provenAt || !rollout.isServedEverywhere)
        return m_config.canaryShare;
    const Duration holdTime = std::chrono::duration_cast<Duration>(
            (rollout.dueAt - rollout.startedAt) * m_config.holdFraction);
    const TimePoint start = std::max(*rollout.provenAt, rollout.startedAt + holdTime);
    const auto elapsed = std::chrono::duration<double>(m_timers.now() - start);
    const double usable = std::chrono::duration<double>(rollout.dueAt - start).count() *
                          (1.0 - m_config.endMargin);
    if (elapsed.count() < 0)
        return m_config.canaryShare;
    if (usable <= 0)
        return 1.0;
    const double part = std::clamp(elapsed.count() / usable, 0.0, 1.0);
    return m_config.canaryShare + (1.0 - m_config.canaryShare) * part;
}

std::vector<VersionShare> Rollout::shares(const std::string &service) const
{
    const auto rollout = m_rollouts.find(service);
    if (rollout == m_rollouts.end())
        return {};
    return {{rollout->second.rule.version, rollout->second.share},
            {{}, 1.0 - rollout->second.share}};
}

std::vector<RolloutStatus> Rollout::statuses() const
{
    std::vector<RolloutStatus> statuses;
    for (const auto &[service, rollout] : m_rollouts)
        statuses.push_back({rollout.rule, rollout.state, rollout.share, rollout.reason});
    return statuses;
}

std::vector<RolloutStop> Rollout::stops() const
{
    std::vector<RolloutStop> stops;
    for (const auto &[service, rollout] : m_rollouts)
        if (rollout.state == RolloutPhase::RolledBack)
            stops.push_back({service, rollout.rule.version, rollout.rule.by, rollout.reason});
    return stops;
}

std::vector<AnswerCounts> Rollout::answerCounts() const
{
    std::vector<AnswerCounts> rows;
    for (const auto &[key, row] : m_answerCounts)
        if (m_rollouts.contains(row.service))
            rows.push_back(row);
    return rows;
}

std::vector<AnswerCounts> answerCountsOf(const std::string &daemon, std::uint64_t incarnation,
                                         const ServiceCounters &counters)
{
    std::vector<AnswerCounts> rows;
    for (const auto &[service, byVersion] : counters)
        for (const auto &[version, versionCounters] : byVersion)
            for (const RequestKind route : Routes) {
                const AnswerCounters &counter =
                        versionCounters->routes[static_cast<std::size_t>(route)];
                AnswerCounts row{
                        daemon,        incarnation,    service,       version,
                        route,         counter.good(), counter.bad(), counter.latencyBuckets(),
                        counter.lost()};
                if (row.requests() > 0)
                    rows.push_back(std::move(row));
            }
    return rows;
}

} // namespace geraniumcart
