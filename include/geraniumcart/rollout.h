#pragma once

#include <geraniumcart/answer_counters.h>
#include <geraniumcart/rules.h>
#include <geraniumcart/snapshot.h>
#include <geraniumcart/sub_request.h>
#include <geraniumcart/timer_service.h>

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace geraniumcart {

/// Counts of answers from one back-end version on one route, as one daemon saw them. Counts only
/// grow within an incarnation of that daemon, so merging keeps the largest, and merging a duplicate
/// changes nothing.
struct AnswerCounts
{
    std::string daemon;
    std::uint64_t incarnation = 0;
    std::string service;
    std::string version;
    RequestKind route = RequestKind::Search;
    std::uint64_t good = 0;
    /// Answers in which the searcher reported a failure.
    std::uint64_t bad = 0;
    /// Histogram of latencies: bucket i counts latencies below 2^i * 250 us. Only answers from warm
    /// searchers are counted.
    std::vector<std::uint64_t> latencyBuckets;
    /// Requests without a complete answer.
    std::uint64_t lost = 0;
    std::uint64_t requests() const { return good + bad + lost; }
    bool operator==(const AnswerCounts &) const = default;
};

/// A decision to roll back one rollout. It is final for that service, version and due time; to try
/// again, an operator writes a rule with another time.
struct RolloutStop
{
    std::string service;
    std::string version;
    /// Due time of the rollout, from its rule.
    WallTime by{};
    std::string reason;
    bool operator==(const RolloutStop &) const = default;
};

enum class RolloutPhase : std::uint8_t { InProgress, Done, RolledBack };

/// Current state of one rollout.
struct RolloutStatus
{
    RolloutRule rule;
    RolloutPhase state = RolloutPhase::InProgress;
    /// Share of sub-requests that go to the new version, 0 to 1.
    double share = 0;
    std::string reason;
};

struct RolloutConfig
{
    /// Share of sub-requests that go to a version before it counts as proven.
    double canaryShare = 0.05;
    /// Number of good answers, summed over all daemons, before a version counts as proven.
    std::uint64_t provingAnswers = 200;
    /// Minimum time before a version counts as proven.
    Duration provingTime = std::chrono::seconds(3);
    /// Fraction of the time from start to due time in which the share stays small even if the
    /// version is proven. With 0 the share grows linearly as soon as the version is proven.
    double holdFraction = 0;
    /// The rollout completes this fraction of its remaining time before the due time.
    double endMargin = 0.2;
    /// Time windows over which bad answers and latencies are compared. There are two, so that both
    /// sudden and slow failures are detected.
    Duration shortWindow = std::chrono::seconds(2);
    Duration longWindow = std::chrono::seconds(15);
    /// Minimum number of bad answers, or of lost ones, before a version is rolled back for them.
    std::uint64_t minBadAnswers = 8;
    /// Minimum number of answers of each side before latencies are compared. Of fewer answers, one
    /// straggling shard can make most slow, which says nothing about the version.
    std::uint64_t minLatencySamples = 60;
    /// Probability that one comparison rolls back a version that is not worse.
    double falseRollbackProbability = 1e-7;
};

/// @return the counts of each version and route in @p counters that has at least one answer
std::vector<AnswerCounts> answerCountsOf(const std::string &daemon, std::uint64_t incarnation,
                                         const ServiceCounters &counters);

/// Decides what share of a service's traffic goes to the new back-end version during a rollout.
/// Each daemon runs one instance on the merged answer counts of its cell and rolls back a bad
/// version without asking other daemons. Used on the control thread only.
class Rollout
{
public:
    Rollout(RolloutConfig config, TimerService &timers);

    /// Applies the rules in force. A rollout whose rule was removed, or replaced by another for the
    /// same service, is dropped.
    void configure(const RuleSet &rules);
    /// Sets whether a version has a live replica in every shard. While a shard lacks one, the share
    /// stays small, so that a rollout does not take the only replicas of a shard out of service.
    void setServedEverywhere(const std::string &service, const std::string &version, bool isServed);
    /// Merges the counts of one daemon, which may be this one. Older counts are ignored.
    void mergeAnswerCounts(const AnswerCounts &row);
    /// Applies a decision to roll back that a peer or the store reports.
    void applyStop(const RolloutStop &stop);
    /// Applies the record of a completed rollout from the store.
    void applyCompletion(const std::string &service, const std::string &version, WallTime by);

    /// Compares the versions and updates the shares. To be called every few hundred milliseconds.
    void tick();

    /// @return the share of each version of @p service; empty if the service has no rollout
    std::vector<VersionShare> shares(const std::string &service) const;
    std::vector<RolloutStatus> statuses() const;
    /// @return decisions to roll back that apply to the rules in force, for gossip and for the
    /// durable record
    std::vector<RolloutStop> stops() const;
    /// @return the latest counts of each daemon, version and route for services with a rollout
    std::vector<AnswerCounts> answerCounts() const;

private:
    /// Counts of one version on one route, summed over daemons.
    struct Totals
    {
        std::uint64_t good = 0;
        std::uint64_t bad = 0;
        std::uint64_t lost = 0;
        std::vector<std::uint64_t> latencyBuckets;
        void add(const AnswerCounts &row);
        void add(const Totals &other);
        /// @return the growth since @p earlier, an earlier value of the same totals
        Totals since(const Totals &earlier) const;
        /// Number of answers with a latency.
        std::uint64_t latencyCount() const;
    };
    /// Totals by version (new version, all other versions) and route at one point in time.
    struct Sample
    {
        TimePoint at{};
        std::array<std::array<Totals, 2>, 2> totals;
    };
    struct ServiceRollout
    {
        RolloutRule rule;
        RolloutPhase state = RolloutPhase::InProgress;
        std::string reason;
        TimePoint startedAt{};
        bool isServedEverywhere = true;
        /// Due time of the rule; steps of the wall clock after the start do not change it.
        TimePoint dueAt{};
        std::optional<TimePoint> provenAt;
        std::deque<Sample> samples;
        double share = 0;
    };

    /// Counts of one version and route of earlier incarnations of all daemons.
    struct EarlierCounts
    {
        std::string service;
        std::string version;
        RequestKind route = RequestKind::Search;
        Totals totals;
    };

    Sample sampleOf(const ServiceRollout &rollout) const;
    void stepRollout(ServiceRollout &rollout);
    /// @return the reason to roll back the new version, or std::nullopt if there is none
    std::optional<std::string> findFault(const ServiceRollout &rollout, const Sample &now) const;
    /// @return text that describes how @p candidate is worse than @p baseline; std::nullopt if it
    /// is not
    std::optional<std::string> compare(const Totals &candidate, const Totals &baseline,
                                       RequestKind route) const;
    void rollBack(ServiceRollout &rollout, const std::string &reason);
    /// @return true if a version that fails @p candidate of @p candidateTotal requests is worse
    /// than one that fails @p baseline of @p baselineTotal
    bool failsMore(std::uint64_t candidate, std::uint64_t candidateTotal, std::uint64_t baseline,
                   std::uint64_t baselineTotal) const;
    double plannedShare(const ServiceRollout &rollout) const;

    RolloutConfig m_config;
    TimerService &m_timers;
    /// Rollouts by service.
    std::map<std::string, ServiceRollout, std::less<>> m_rollouts;
    /// Latest counts of each daemon, version and route.
    std::map<std::string, AnswerCounts, std::less<>> m_answerCounts;
    /// Counts of incarnations that daemons have replaced by restarting, by version and route. With
    /// them the totals never shrink, so that the growth of other daemons is not hidden.
    std::map<std::string, EarlierCounts, std::less<>> m_earlierCounts;
};

} // namespace geraniumcart
