#pragma once

#include "connection/searcher_pool_p.h"
#include "process/worker_pool_p.h"

#include <geraniumcart/sub_request.h>
#include <geraniumcart/upstream_gate.h>

#include <memory>
#include <span>
#include <unordered_map>
#include <variant>
#include <vector>

namespace geraniumcart {

/// A searcher that this daemon dispatches to.
struct UpstreamConfig
{
    std::shared_ptr<UpstreamState> state;
    SearcherLimits limits;
    UpstreamGate::Share share;
};

/// Connection pools of the searchers that have the same home worker (see WorkerPool::homeOf()).
/// This worker owns their connections. After construction, all functions run on it.
class HomePools final : public SearcherPoolListener
{
public:
    HomePools(WorkerPool &workers, std::uint32_t index, UpstreamCounters &counters);
    ~HomePools() override;

    /// Replaces the set of searchers. A removed searcher completes the sub-requests in flight and
    /// gets no further ones.
    void configure(const std::vector<UpstreamConfig> &searchers);
    /// Passes each request to the pool of its searcher. A request to a searcher that is not
    /// configured ends with SubRequestFailure::NotSent.
    void submit(std::vector<PoolRequest> requests);
    void cancel(const UpstreamState *upstream, SubRequestId id);

private:
    /// Result of one sub-request, on its way to the worker that sent it.
    struct Completion
    {
        std::shared_ptr<SubRequestListener> listener;
        SubRequestId id = 0;
        std::variant<SubRequestAnswer, SubRequestFailure> outcome;
    };

    void onAnswered(PoolRequest request, SubRequestAnswer answer) override;
    void onFailed(PoolRequest request, SubRequestFailure failure) override;
    /// Stores a completion and posts flush() if none is pending.
    void complete(PoolRequest &request, std::variant<SubRequestAnswer, SubRequestFailure> outcome);
    /// Passes the stored completions to the workers that sent the requests, in one batch for each.
    void flush();
    static void deliver(std::vector<Completion> &completions);
    /// Destroys the pools of m_retiring that have finished, and checks the others again later.
    void dropRetired();

    WorkerPool &m_workers;
    Worker &m_worker;
    UpstreamCounters &m_counters;
    OpenAnswers m_openAnswers;
    std::unordered_map<const UpstreamState *, std::unique_ptr<SearcherPool>> m_pools;
    /// Pools of removed searchers that still have a connection in use.
    std::vector<std::unique_ptr<SearcherPool>> m_retiring;
    TimerId m_retireTimer = 0;
    /// Completions that wait for the next flush(), by the index of the worker that sent the
    /// request.
    std::vector<std::vector<Completion>> m_completions;
    bool m_isFlushPosted = false;
};

/// Sends sub-requests over this daemon's own connections, without another daemon in between.
/// Belongs to one worker; requests to searchers of other home workers are posted to them.
class DirectSender final : public SubRequestSender
{
public:
    DirectSender(WorkerPool &workers, std::uint32_t index,
                 std::span<const std::unique_ptr<HomePools>> homes);

    void send(std::span<const SubRequest> requests,
              std::shared_ptr<SubRequestListener> listener) override;
    void cancel(const SubRequest &request) override;

private:
    WorkerPool &m_workers;
    const std::uint32_t m_index;
    std::span<const std::unique_ptr<HomePools>> m_homes;
    /// Requests of the running send() by the index of their home worker; empty between calls.
    std::vector<std::vector<PoolRequest>> m_batches;
};

/// All connections to searchers, on all workers. Lives as long as the process: it is destroyed
/// after the workers have stopped and before the WorkerPool.
class UpstreamPools
{
public:
    explicit UpstreamPools(WorkerPool &workers);
    ~UpstreamPools();

    /// Sets the searchers with their limits and shares. Called on the control thread before the
    /// routing snapshot that refers to new searchers is published. A searcher that is not in
    /// @p searchers gets no further sub-requests; those in flight end as usual.
    void configure(std::vector<UpstreamConfig> searchers);
    /// Returns the sender for requests that run on the worker with index @p worker.
    SubRequestSender &sender(std::uint32_t worker) { return *m_senders[worker]; }
    const UpstreamCounters &counters() const { return m_counters; }

private:
    WorkerPool &m_workers;
    UpstreamCounters m_counters;
    std::vector<std::unique_ptr<HomePools>> m_homes;
    std::vector<std::unique_ptr<DirectSender>> m_senders;
};

} // namespace geraniumcart
