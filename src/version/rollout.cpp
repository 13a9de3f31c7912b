#include <geraniumcart/rollout.h>

#include <algorithm>
#include <cmath>

namespace geraniumcart {

namespace {

constexpr std::size_t Fresh = 0;
constexpr std::size_t Old = 1;
constexpr std::array<RequestKind, 2> Routes{RequestKind::Search, RequestKind::Book};
/// A version counts as slow only if it is slower by this factor; a smaller difference does not hurt
/// callers, however sure it is.
constexpr double SlowFactor = 1.5;
/// Part of the old version's answers that are compared as slow.
constexpr double SlowTail = 0.25;
/// Error rate that is never a reason to stop: the old version's own may be zero by chance.
constexpr double ToleratedErrorRate = 0.01;

const char *nameOf(RequestKind route)
{
    return route == RequestKind::Search ? "search" : "book";
}

/// Chance of at least @p hits out of @p tries when each hits with @p rate (Chernoff bound).
double tailChance(std::uint64_t hits, std::uint64_t tries, double rate)
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

std::string percent(std::uint64_t part, std::uint64_t whole)
{
    return std::to_string(part) + " of " + std::to_string(whole);
}

/// Number of answers in the buckets from @p first on.
std::uint64_t countFrom(const std::vector<std::uint64_t> &buckets, std::size_t first)
{
    std::uint64_t count = 0;
    for (std::size_t i = first; i < buckets.size(); ++i)
        count += buckets[i];
    return count;
}

/// Bucket that holds the median.
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
    good += row.good;
    bad += row.bad;
    latencyBuckets.resize(std::max(latencyBuckets.size(), row.latencyBuckets.size()));
    for (std::size_t i = 0; i < row.latencyBuckets.size(); ++i)
        latencyBuckets[i] += row.latencyBuckets[i];
}

Rollout::Totals Rollout::Totals::since(const Totals &earlier) const
{
    // A daemon that left takes its counts away, so a total can shrink.
    const auto difference = [](std::uint64_t a, std::uint64_t b) { return a > b ? a - b : 0; };
    Totals result;
    result.good = difference(good, earlier.good);
    result.bad = difference(bad, earlier.bad);
    result.latencyBuckets = latencyBuckets;
    for (std::size_t i = 0; i < std::min(latencyBuckets.size(), earlier.latencyBuckets.size()); ++i)
        result.latencyBuckets[i] = difference(latencyBuckets[i], earlier.latencyBuckets[i]);
    return result;
}

std::uint64_t Rollout::Totals::timed() const
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
    std::erase_if(m_moves, [&](const auto &entry) {
        const RolloutRule *rule = rules.rolloutFor(entry.first);
        return !rule || rule->version != entry.second.rule.version ||
               rule->by != entry.second.rule.by;
    });
    // Counters start anew with the next move of a service, so that what is held would hide them.
    std::erase_if(m_answerCounts, [&](const auto &entry) {
        return rules.rolloutFor(entry.second.service) == nullptr;
    });
    for (const RolloutRule &rule : rules.rollouts) {
        const auto [place, isNew] = m_moves.try_emplace(rule.service);
        Move &move = place->second;
        move.rule = rule;
        if (!isNew)
            continue;
        move.startedAt = m_timers.now();
        move.dueAt =
                move.startedAt + std::chrono::duration_cast<Duration>(rule.by - m_timers.wallNow());
        move.share = m_config.canaryShare;
        move.samples.push_back(sampleOf(move));
    }
}

void Rollout::setServedEverywhere(const std::string &service, const std::string &version,
                                  bool isServed)
{
    const auto move = m_moves.find(service);
    if (move != m_moves.end() && move->second.rule.version == version)
        move->second.isServedEverywhere = isServed;
}

void Rollout::mergeAnswerCounts(const AnswerCounts &row)
{
    const std::string key =
            row.daemon + '\n' + row.service + '\n' + row.version + '\n' + nameOf(row.route);
    AnswerCounts &held = m_answerCounts[key];
    const bool isNewer = row.incarnation != held.incarnation
                                 ? row.incarnation > held.incarnation
                                 : row.good + row.bad >= held.good + held.bad;
    if (isNewer)
        held = row;
}

void Rollout::applyStop(const RolloutStop &stopped)
{
    const auto move = m_moves.find(stopped.service);
    if (move != m_moves.end() && move->second.rule.version == stopped.version &&
        move->second.rule.by == stopped.by && move->second.state != RolloutPhase::RolledBack)
        stop(move->second, stopped.reason);
}

void Rollout::applyCompletion(const std::string &service, const std::string &version, WallTime by)
{
    const auto found = m_moves.find(service);
    if (found == m_moves.end() || found->second.rule.version != version ||
        found->second.rule.by != by || found->second.state != RolloutPhase::InProgress)
        return;
    found->second.state = RolloutPhase::Done;
    found->second.share = 1.0;
    found->second.reason = "all traffic on the new version";
}

void Rollout::tick()
{
    for (auto &[service, move] : m_moves)
        stepRollout(move);
}

Rollout::Sample Rollout::sampleOf(const Move &move) const
{
    Sample sample;
    sample.at = m_timers.now();
    for (const auto &[key, row] : m_answerCounts) {
        if (row.service != move.rule.service)
            continue;
        const std::size_t side = row.version == move.rule.version ? Fresh : Old;
        sample.totals[side][static_cast<std::size_t>(row.route)].add(row);
    }
    return sample;
}

void Rollout::stepRollout(Move &move)
{
    if (move.state == RolloutPhase::RolledBack)
        return;
    Sample now = sampleOf(move);
    if (const auto fault = findFault(move, now)) {
        stop(move, *fault);
        return;
    }
    if (!move.provenAt) {
        const Sample &first = move.samples.front();
        std::uint64_t good = 0;
        for (const RequestKind route : Routes) {
            const auto index = static_cast<std::size_t>(route);
            good += now.totals[Fresh][index].since(first.totals[Fresh][index]).good;
        }
        if (good >= m_config.provingAnswers && now.at - move.startedAt >= m_config.provingTime) {
            move.provenAt = now.at;
        }
    }
    move.samples.push_back(std::move(now));
    // The first sample stays as the baseline for a version whose old side has no traffic left.
    while (move.samples.size() > 2 &&
           move.samples.back().at - move.samples[1].at > m_config.longWindow)
        move.samples.erase(move.samples.begin() + 1);

    if (move.state == RolloutPhase::Done)
        return;
    move.share = plannedShare(move);
    if (move.share >= 1.0) {
        move.state = RolloutPhase::Done;
        move.reason = "all traffic on the new version";
    } else if (!move.provenAt) {
        move.reason = "unproven: the new version gets a small share";
    } else if (!move.isServedEverywhere) {
        move.reason = "the new version has no replica in some shards";
    } else {
        move.reason = "proven: traffic moves over by the set time";
    }
}

std::optional<std::string> Rollout::findFault(const Move &move, const Sample &now) const
{
    for (const Duration window : {m_config.shortWindow, m_config.longWindow}) {
        const auto start =
                std::find_if(move.samples.begin(), move.samples.end(),
                             [&](const Sample &sample) { return now.at - sample.at <= window; });
        const Sample &earlier = start == move.samples.end() ? move.samples.back() : *start;
        for (const RequestKind route : Routes) {
            const auto index = static_cast<std::size_t>(route);
            const Totals fresh = now.totals[Fresh][index].since(earlier.totals[Fresh][index]);
            Totals old = now.totals[Old][index].since(earlier.totals[Old][index]);
            // Near the end of a move the old version answers too little to compare with; what it
            // did since the start of the move stands in.
            if (old.timed() < m_config.minLatencySamples)
                old = now.totals[Old][index].since(move.samples.front().totals[Old][index]);
            if (auto fault = compare(fresh, old, route))
                return fault;
        }
    }
    return std::nullopt;
}

std::optional<std::string> Rollout::compare(const Totals &fresh, const Totals &old,
                                            RequestKind route) const
{
    const std::uint64_t freshAll = fresh.good + fresh.bad;
    const std::uint64_t oldAll = old.good + old.bad;
    const double oldRate =
            oldAll == 0 ? 0.0 : static_cast<double>(old.bad + 1) / static_cast<double>(oldAll + 1);
    const double allowed = std::min(0.9, std::max(ToleratedErrorRate, 2 * oldRate));
    if (fresh.bad >= m_config.minBadAnswers &&
        tailChance(fresh.bad, freshAll, allowed) < m_config.falseRollbackProbability)
        return std::string(nameOf(route)) + ": " + percent(fresh.bad, freshAll) +
               " answers failed, against " + percent(old.bad, oldAll);

    const std::uint64_t freshTimed = fresh.timed();
    const std::uint64_t oldTimed = old.timed();
    if (freshTimed < m_config.minLatencySamples || oldTimed < m_config.minLatencySamples)
        return std::nullopt;
    // Compares how many answers fall above the old version's upper quartile.
    std::size_t cut = old.latencyBuckets.size();
    while (cut > 0 && static_cast<double>(countFrom(old.latencyBuckets, cut - 1)) <=
                              SlowTail * static_cast<double>(oldTimed))
        --cut;
    const std::uint64_t slow = countFrom(fresh.latencyBuckets, cut);
    const double oldSlow = static_cast<double>(countFrom(old.latencyBuckets, cut) + 1) /
                           static_cast<double>(oldTimed + 1);
    const double tolerated = std::min(0.9, oldSlow * SlowFactor + 0.1);
    const bool isShifted = medianBucket(fresh.latencyBuckets) > medianBucket(old.latencyBuckets);
    if (isShifted && tailChance(slow, freshTimed, tolerated) < m_config.falseRollbackProbability)
        return std::string(nameOf(route)) + ": " + percent(slow, freshTimed) +
               " answers are slower than three quarters of the old version's";
    return std::nullopt;
}

void Rollout::stop(Move &move, const std::string &reason)
{
    move.state = RolloutPhase::RolledBack;
    move.share = 0;
    move.reason = reason;
}

double Rollout::plannedShare(const Move &move) const
{
    if (!move.provenAt || !move.isServedEverywhere)
        return m_config.canaryShare;
    const Duration hold = std::chrono::duration_cast<Duration>((move.dueAt - move.startedAt) *
                                                               m_config.holdFraction);
    const TimePoint start = std::max(*move.provenAt, move.startedAt + hold);
    const auto spent = std::chrono::duration<double>(m_timers.now() - start);
    const double usable =
            std::chrono::duration<double>(move.dueAt - start).count() * (1.0 - m_config.endMargin);
    if (spent.count() < 0)
        return m_config.canaryShare;
    if (usable <= 0)
        return 1.0;
    const double part = std::clamp(spent.count() / usable, 0.0, 1.0);
    return m_config.canaryShare + (1.0 - m_config.canaryShare) * part;
}

std::vector<VersionShare> Rollout::shares(const std::string &service) const
{
    const auto move = m_moves.find(service);
    if (move == m_moves.end())
        return {};
    return {{move->second.rule.version, move->second.share}, {{}, 1.0 - move->second.share}};
}

std::vector<RolloutStatus> Rollout::statuses() const
{
    std::vector<RolloutStatus> statuses;
    for (const auto &[service, move] : m_moves)
        statuses.push_back({move.rule, move.state, move.share, move.reason});
    return statuses;
}

std::vector<RolloutStop> Rollout::stops() const
{
    std::vector<RolloutStop> stops;
    for (const auto &[service, move] : m_moves)
        if (move.state == RolloutPhase::RolledBack)
            stops.push_back({service, move.rule.version, move.rule.by, move.reason});
    return stops;
}

std::vector<AnswerCounts> Rollout::answerCounts() const
{
    std::vector<AnswerCounts> rows;
    for (const auto &[key, row] : m_answerCounts)
        if (m_moves.contains(row.service))
            rows.push_back(row);
    return rows;
}

std::vector<AnswerCounts> answerCountsOf(const std::string &daemon, std::uint64_t incarnation,
                                         const ServiceCounters &counters)
{
    std::vector<AnswerCounts> rows;
    for (const auto &[service, byVersion] : counters)
        for (const auto &[version, evidence] : byVersion)
            for (const RequestKind route : Routes) {
                const AnswerCounters &counter = evidence->routes[static_cast<std::size_t>(route)];
                AnswerCounts row{daemon, incarnation,    service,       version,
                                 route,  counter.good(), counter.bad(), counter.latencyBuckets()};
                if (row.good + row.bad > 0)
                    rows.push_back(std::move(row));
            }
    return rows;
}

} // namespace geraniumcart
