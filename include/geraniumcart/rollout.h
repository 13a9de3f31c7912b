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

/// Counts of one daemon for one back-end version on one route. Counters only grow within an
/// incarnation of that daemon, so that merging keeps the largest and repeats do no harm.
struct AnswerCounts
{
    std::string daemon;
    std::uint64_t incarnation = 0;
    std::string service;
    std::string version;
    RequestKind route = RequestKind::Search;
    std::uint64_t good = 0;
    std::uint64_t bad = 0;
    /// Answers by latency: bucket i counts latencies below 2^i * 250 us, from warm searchers only.
    std::vector<std::uint64_t> latencyBuckets;
    bool operator==(const AnswerCounts &) const = default;
};

/// A decision that one move must not go on. It is final for that service, version and set time; an
/// operator tries again by a rule with another time.
struct RolloutStop
{
    std::string service;
    std::string version;
    WallTime by{};
    std::string reason;
    bool operator==(const RolloutStop &) const = default;
};

enum class RolloutPhase : std::uint8_t { InProgress, Done, RolledBack };

/// How one move stands.
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
    /// Share of sub-requests for a version that has not been shown good.
    double canaryShare = 0.05;
    /// Good answers, on all daemons together, before a version counts as proven.
    std::uint64_t provingAnswers = 200;
    /// Least time before a version counts as proven.
    Duration provingTime = std::chrono::seconds(3);
    /// Part of the time until the set time in which the share stays small even once proven. Zero
    /// moves traffic evenly from the proof on.
    double holdFraction = 0;
    /// The move ends this part of the remaining time before its set time.
    double endMargin = 0.2;
    /// Time over which bad answers and latencies are compared; two windows, so that both a sudden
    /// and a slow failure show.
    Duration shortWindow = std::chrono::seconds(2);
    Duration longWindow = std::chrono::seconds(15);
    /// Least number of bad answers on which a version is stopped.
    std::uint64_t minBadAnswers = 8;
    /// Least number of answers for a comparison of latencies.
    std::uint64_t minLatencySamples = 60;
    /// Chance of a false stop by one comparison.
    double falseRollbackProbability = 1e-7;
};

/// Rows of @p counters that have seen an answer.
std::vector<AnswerCounts> answerCountsOf(const std::string &daemon, std::uint64_t incarnation,
                                         const ServiceCounters &counters);

/// Decides how traffic moves from one back-end version to another. Each daemon runs one on the
/// merged evidence of its cell and stops a bad version by itself. Belongs to the control thread.
class Rollout
{
public:
    Rollout(RolloutConfig config, TimerService &timers);

    /// Takes the rules in force. A move that was overtaken by another for its service is forgotten.
    void configure(const RuleSet &rules);
    /// Says which versions have a live replica in every shard, so that a move does not take the
    /// only replicas of a shard out of use.
    void setServedEverywhere(const std::string &service, const std::string &version, bool isServed);
    /// Merges counts of one daemon, this one included.
    void mergeAnswerCounts(const AnswerCounts &row);
    /// Takes a stop that a peer or the store reports.
    void applyStop(const RolloutStop &stop);
    /// Takes the record of a finished move from the store.
    void applyCompletion(const std::string &service, const std::string &version, WallTime by);

    /// Compares and steps on; call every few hundred milliseconds.
    void tick();

    /// Shares of each version of a service under a move; empty when no move is under way.
    std::vector<VersionShare> shares(const std::string &service) const;
    std::vector<RolloutStatus> statuses() const;
    /// Stops of the moves in force, for gossip and for the record.
    std::vector<RolloutStop> stops() const;
    /// Latest counts of each daemon, version and route of the services under a move.
    std::vector<AnswerCounts> answerCounts() const;

private:
    /// Counts of one version on one route, summed over daemons.
    struct Totals
    {
        std::uint64_t good = 0;
        std::uint64_t bad = 0;
        std::vector<std::uint64_t> latencyBuckets;
        void add(const AnswerCounts &row);
        Totals since(const Totals &earlier) const;
        std::uint64_t timed() const;
    };
    /// Totals by version (new, all others) and route at one moment.
    struct Sample
    {
        TimePoint at{};
        std::array<std::array<Totals, 2>, 2> totals;
    };
    struct Move
    {
        RolloutRule rule;
        RolloutPhase state = RolloutPhase::InProgress;
        std::string reason;
        TimePoint startedAt{};
        bool isServedEverywhere = true;
        /// The rule's set time; steps of the wall clock after the start do not change it.
        TimePoint dueAt{};
        std::optional<TimePoint> provenAt;
        std::deque<Sample> samples;
        double share = 0;
    };

    Sample sampleOf(const Move &move) const;
    void stepRollout(Move &move);
    std::optional<std::string> findFault(const Move &move, const Sample &now) const;
    std::optional<std::string> compare(const Totals &fresh, const Totals &old,
                                       RequestKind route) const;
    void stop(Move &move, const std::string &reason);
    double plannedShare(const Move &move) const;

    RolloutConfig m_config;
    TimerService &m_timers;
    std::map<std::string, Move, std::less<>> m_moves;
    /// Latest row of each daemon, version and route.
    std::map<std::string, AnswerCounts, std::less<>> m_answerCounts;
};

} // namespace geraniumcart
