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

/// Pools of the searchers whose home is one worker. Stays on this worker.
class HomePools final : public SubRequestEnds
{
public:
    HomePools(WorkerPool &workers, std::uint32_t index, UpstreamCounters &counters);
    ~HomePools() override;

    /// Replaces the set of searchers. Removed ones end what is under way and take no more.
    void configure(const std::vector<UpstreamConfig> &searchers);
    void submit(std::vector<PoolRequest> requests);
    void cancel(const UpstreamState *upstream, SubRequestId id);

private:
    struct End
    {
        std::shared_ptr<SubRequestListener> listener;
        SubRequestId id = 0;
        std::variant<SubRequestAnswer, SubRequestFailure> outcome;
    };

    void onAnswered(PoolRequest request, SubRequestAnswer answer) override;
    void onFailed(PoolRequest request, SubRequestFailure failure) override;
    void push(PoolRequest &request, std::variant<SubRequestAnswer, SubRequestFailure> outcome);
    void flush();
    static void deliver(std::vector<End> &ends);
    void dropRetired();

    WorkerPool &m_workers;
    Worker &m_worker;
    UpstreamCounters &m_counters;
    std::unordered_map<const UpstreamState *, std::unique_ptr<SearcherPool>> m_pools;
    std::vector<std::unique_ptr<SearcherPool>> m_retiring;
    TimerId m_retireTimer = 0;
    /// Ends of this turn, for each sending worker.
    std::vector<std::vector<End>> m_ends;
    bool m_isFlushPosted = false;
};

/// Sends sub-requests to this daemon's own connections. Belongs to one worker.
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
    /// Requests of one send() by home worker; empty between calls.
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
    /// routing snapshot that refers to new searchers is published. A searcher that is missing
    /// takes no further sub-request; those under way end as usual.
    void configure(std::vector<UpstreamConfig> searchers);
    /// The sender for requests on a worker.
    SubRequestSender &sender(std::uint32_t worker) { return *m_senders[worker]; }
    const UpstreamCounters &counters() const { return m_counters; }

private:
    WorkerPool &m_workers;
    UpstreamCounters m_counters;
    std::vector<std::unique_ptr<HomePools>> m_homes;
    std::vector<std::unique_ptr<DirectSender>> m_senders;
};

} // namespace geraniumcart
