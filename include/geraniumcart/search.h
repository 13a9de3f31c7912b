#pragma once

#include <geraniumcart/hedging.h>
#include <geraniumcart/metrics.h>
#include <geraniumcart/replica_choice.h>
#include <geraniumcart/snapshot.h>
#include <geraniumcart/sub_request.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace geraniumcart {

/// A caller's search, after admission.
struct SearchQuery
{
    std::string service;
    TimePoint deadline{};
    std::shared_ptr<const std::string> body;
    /// Lowest share of documents that the caller accepts, 0 to 1.
    double minCoverage = 0;
};

enum class MissingReason : std::uint8_t {
    NoReplica,
    NoCapacity,
    TimedOut,
    Failed,
    WrongVersion,
    ConnectionLost,
};
const char *toString(MissingReason reason);

struct MissingShard
{
    std::uint32_t shard = 0;
    MissingReason reason = MissingReason::Failed;
};

struct Coverage
{
    std::uint32_t shardsAnswered = 0;
    std::uint32_t shardsTotal = 0;
    std::uint64_t documentsSearched = 0;
    std::uint64_t documentsTotal = 0;
    bool isComplete() const { return shardsAnswered == shardsTotal; }
    /// Share of documents searched, 0 to 1; 0 where the total is unknown.
    double documentShare() const;
};

enum class SearchStatus : std::uint8_t {
    Answered,
    /// Coverage fell below SearchQuery::minCoverage.
    BelowMinCoverage,
    /// No partition map is known, so nothing was sent.
    NoIndex,
    DeadlinePassed,
};

struct SearchOutcome
{
    SearchStatus status = SearchStatus::Answered;
    std::uint64_t indexVersion = 0;
    Coverage coverage;
    /// Bodies of the answers in order of shard; each is a JSON value.
    std::vector<std::string> results;
    std::vector<MissingShard> missing;
    /// Sub-requests sent, first attempts and all.
    std::uint32_t subRequests = 0;
    std::uint32_t hedges = 0;
    std::uint32_t retries = 0;
};

/// What a search run uses; everything lives longer than the run.
struct SearchContext
{
    TimerService &timers;
    SubRequestSender &sender;
    ReplicaChoice &choice;
    HedgingPolicy &hedging;
    AttemptBudget &hedgeBudget;
    AttemptBudget &retryBudget;
    /// Receives SubRequests, Hedges, Retries, Cancels, WrongVersion and LateAnswers, if given.
    Stats *stats = nullptr;
};

/// Most hedges of one sub-request. One answer in 100 straggles, so with 170 shards a single hedge
/// straggles too in 1.7% of the queries, which is above the 1% that a p99 target leaves.
inline constexpr std::uint32_t MaxHedgesPerShard = 2;
/// Most attempts at one shard: first attempt, hedges and retries.
inline constexpr std::uint32_t MaxAttemptsPerShard = 4;
/// The outcome is given this long before the caller's deadline, so that it can still be merged,
/// encoded and sent. A run that starts with less than four times as much uses a quarter of it.
inline constexpr std::chrono::milliseconds SearchAnswerMargin{5};

/// One search from its pinned snapshot to the merged outcome. Belongs to one worker. Answers that
/// are late, repeated or not its own are ignored and counted.
class SearchRun : public SubRequestListener, public std::enable_shared_from_this<SearchRun>
{
public:
    using Callback = std::function<void(SearchOutcome)>;

    /// @param done called once, never before start() returns
    static std::shared_ptr<SearchRun> create(SearchContext context, SnapshotPin snapshot,
                                             SearchQuery query, Callback done);

    virtual void start() = 0;
    /// The caller went away: cancels what is under way; done is not called.
    virtual void abandon() = 0;
};

/// Source of sub-request ids; thread-safe. @return the first of @p count ids in a row.
SubRequestId reserveSubRequestIds(std::uint32_t count);
inline SubRequestId nextSubRequestId()
{
    return reserveSubRequestIds(1);
}

} // namespace geraniumcart
