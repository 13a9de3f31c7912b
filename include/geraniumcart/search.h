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

/// A caller's search that passed admission control.
struct SearchQuery
{
    std::string service;
    TimePoint deadline{};
    std::shared_ptr<const std::string> body;
    /// Minimum share of documents that the caller accepts, 0 to 1. A smaller coverage makes the
    /// search end as BelowMinCoverage.
    double minCoverage = 0;
};

/// Why a shard is missing from the outcome of a search. If several attempts failed, the reason is
/// that of the last one.
enum class MissingReason : std::uint8_t {
    /// The shard has no replica that may be used.
    NoReplica,
    /// Searchers refused the sub-request, or had no free slot.
    NoCapacity,
    /// No answer arrived before the deadline.
    TimedOut,
    /// A searcher reported an error, or its answer was malformed or for another shard.
    Failed,
    /// A searcher answered for another index version than that of the search.
    WrongVersion,
    /// No connection could be opened, or it was lost.
    ConnectionLost,
};
const char *toString(MissingReason reason);

struct MissingShard
{
    std::uint32_t shard = 0;
    MissingReason reason = MissingReason::Failed;
};

/// How much of the index a search has covered.
struct Coverage
{
    std::uint32_t shardsAnswered = 0;
    std::uint32_t shardsTotal = 0;
    std::uint64_t documentsSearched = 0;
    std::uint64_t documentsTotal = 0;
    bool isComplete() const { return shardsAnswered == shardsTotal; }
    /// Share of documents searched, 0 to 1; 0 if the total is zero.
    double documentShare() const;
};

enum class SearchStatus : std::uint8_t {
    /// The outcome holds the answers of the shards that answered, possibly of none.
    Answered,
    /// The coverage is below SearchQuery::minCoverage.
    BelowMinCoverage,
    /// No partition map is known, so nothing was sent.
    NoIndex,
    /// The deadline had passed at the start, so nothing was sent.
    DeadlinePassed,
};

struct SearchOutcome
{
    SearchStatus status = SearchStatus::Answered;
    std::uint64_t indexVersion = 0;
    Coverage coverage;
    /// Bodies of the answers, ordered by shard; each is a JSON value.
    std::vector<std::string> results;
    std::vector<MissingShard> missing;
    /// Number of sub-requests sent: first attempts, hedges and retries.
    std::uint32_t subRequests = 0;
    std::uint32_t hedges = 0;
    std::uint32_t retries = 0;
};

/// Dependencies of a search run. All of them must outlive it.
struct SearchContext
{
    TimerService &timers;
    SubRequestSender &sender;
    ReplicaChoice &choice;
    HedgingPolicy &hedging;
    AttemptBudget &hedgeBudget;
    AttemptBudget &retryBudget;
    /// Counts SubRequests, Hedges, Retries, Cancels, WrongVersion and LateAnswers; may be null.
    Stats *stats = nullptr;
};

/// Maximum number of hedges per shard. One answer in 100 is slow. With 170 shards and one hedge
/// each, the hedge of some shard is slow too in 1.7% of the queries, which exceeds the 1% that a
/// p99 target allows.
inline constexpr std::uint32_t MaxHedgesPerShard = 2;
/// Maximum number of attempts per shard: first attempt, hedges and retries.
inline constexpr std::uint32_t MaxAttemptsPerShard = 4;
/// Time before the caller's deadline at which the outcome is reported at the latest, so that it can
/// still be merged, encoded and sent. If less than four times this margin remains when the run
/// starts, the run uses a quarter of the remaining time instead.
inline constexpr std::chrono::milliseconds SearchAnswerMargin{5};

/// Runs one search on a worker: sends a sub-request to each shard of the pinned snapshot, hedges
/// and retries them, and collects the outcome. Answers that are late, repeated or for another run
/// are ignored, and counted as LateAnswers.
class SearchRun : public SubRequestListener, public std::enable_shared_from_this<SearchRun>
{
public:
    using Callback = std::function<void(SearchOutcome)>;

    /// @param done called once, never before start() returns
    static std::shared_ptr<SearchRun> create(SearchContext context, SnapshotPin snapshot,
                                             SearchQuery query, Callback done);

    /// Sends the first attempts. If nothing can be sent, the callback runs on a later turn of the
    /// worker's event loop.
    virtual void start() = 0;
    /// To be called when the caller has disconnected. Cancels the open attempts; the callback is
    /// not called any more.
    virtual void abandon() = 0;
};

/// Reserves consecutive sub-request ids. Thread-safe.
/// @return the first of @p count ids
SubRequestId reserveSubRequestIds(std::uint32_t count);
inline SubRequestId nextSubRequestId()
{
    return reserveSubRequestIds(1);
}

} // namespace geraniumcart
