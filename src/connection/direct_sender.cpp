#include "connection/direct_sender_p.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <unordered_set>

namespace geraniumcart {

namespace asio = boost::asio;

namespace {

/// How often the pool of a removed searcher is checked for the end of its last sub-request.
constexpr Duration RetireCheckInterval = std::chrono::milliseconds(100);

} // namespace

HomePools::HomePools(WorkerPool &workers, std::uint32_t index, UpstreamCounters &counters)
    : m_workers(workers)
    , m_worker(workers.worker(index))
    , m_counters(counters)
    , m_completions(workers.size())
{
}

HomePools::~HomePools() = default;

void HomePools::configure(const std::vector<UpstreamConfig> &searchers)
{
    std::unordered_set<const UpstreamState *> wanted;
    for (const UpstreamConfig &searcher : searchers) {
        wanted.insert(searcher.state.get());
        std::unique_ptr<SearcherPool> &pool = m_pools[searcher.state.get()];
        if (pool) {
            pool->configure(searcher.limits, searcher.share);
            continue;
        }
        const SearcherPool::Context context{m_worker.context, m_worker.timers, *this, m_counters,
                                            m_openAnswers};
        pool = std::make_unique<SearcherPool>(context, searcher.state, searcher.limits,
                                              searcher.share);
    }
    for (auto pool = m_pools.begin(); pool != m_pools.end();) {
        if (wanted.contains(pool->first)) {
            ++pool;
            continue;
        }
        pool->second->retire();
        m_retiring.push_back(std::move(pool->second));
        pool = m_pools.erase(pool);
    }
    dropRetired();
}

void HomePools::dropRetired()
{
    std::erase_if(m_retiring, [](const auto &pool) { return pool->isRetired(); });
    m_worker.timers.cancel(m_retireTimer);
    if (!m_retiring.empty())
        m_retireTimer = m_worker.timers.schedule(RetireCheckInterval, [this] { dropRetired(); });
}

void HomePools::submit(std::vector<PoolRequest> requests)
{
    for (PoolRequest &request : requests) {
        const auto pool = m_pools.find(request.upstream.get());
        if (pool == m_pools.end())
            onFailed(std::move(request), SubRequestFailure::NotSent);
        else
            pool->second->submit(std::move(request));
    }
}

void HomePools::cancel(const UpstreamState *upstream, SubRequestId id)
{
    const auto pool = m_pools.find(upstream);
    if (pool != m_pools.end())
        pool->second->cancel(id);
    for (const auto &retiring : m_retiring)
        retiring->cancel(id);
}

void HomePools::onAnswered(PoolRequest request, SubRequestAnswer answer)
{
    complete(request, std::move(answer));
}

void HomePools::onFailed(PoolRequest request, SubRequestFailure failure)
{
    complete(request, failure);
}

void HomePools::complete(PoolRequest &request,
                         std::variant<SubRequestAnswer, SubRequestFailure> outcome)
{
    request.upstream->end();
    m_completions[request.sender].push_back(
            {std::move(request.listener), request.id, std::move(outcome)});
    if (m_isFlushPosted)
        return;
    m_isFlushPosted = true;
    // The flush runs after the handlers that are ready now, so that their completions are passed to
    // the other workers in one batch.
    asio::post(m_worker.context, [this] { flush(); });
}

void HomePools::flush()
{
    m_isFlushPosted = false;
    for (std::uint32_t i = 0; i < m_completions.size(); ++i) {
        if (m_completions[i].empty())
            continue;
        std::vector<Completion> completions;
        completions.swap(m_completions[i]);
        if (i == m_worker.index)
            deliver(completions);
        else
            asio::post(m_workers.worker(i).context,
                       [completions = std::move(completions)]() mutable { deliver(completions); });
    }
}

void HomePools::deliver(std::vector<Completion> &completions)
{
    for (Completion &completion : completions) {
        if (auto *answer = std::get_if<SubRequestAnswer>(&completion.outcome))
            completion.listener->onAnswer(std::move(*answer));
        else
            completion.listener->onFailure(completion.id,
                                           std::get<SubRequestFailure>(completion.outcome));
    }
}

DirectSender::DirectSender(WorkerPool &workers, std::uint32_t index,
                           std::span<const std::unique_ptr<HomePools>> homes)
    : m_workers(workers)
    , m_index(index)
    , m_homes(homes)
    , m_batches(workers.size())
{
}

void DirectSender::send(std::span<const SubRequest> requests,
                        std::shared_ptr<SubRequestListener> listener)
{
    for (const SubRequest &request : requests) {
        request.upstream->begin();
        const Worker &home = m_workers.homeOf(request.upstream->address());
        m_batches[home.index].push_back({request.id, request.kind, request.upstream, request.shard,
                                         request.indexVersion, request.deadline, request.body,
                                         listener, m_index});
    }
    for (std::uint32_t i = 0; i < m_batches.size(); ++i) {
        if (m_batches[i].empty())
            continue;
        std::vector<PoolRequest> batch;
        batch.swap(m_batches[i]);
        HomePools *home = m_homes[i].get();
        if (i == m_index)
            home->submit(std::move(batch));
        else
            asio::post(m_workers.worker(i).context, [home, batch = std::move(batch)]() mutable {
                home->submit(std::move(batch));
            });
    }
}

void DirectSender::cancel(const SubRequest &request)
{
    const std::uint32_t index = m_workers.homeOf(request.upstream->address()).index;
    HomePools *home = m_homes[index].get();
    if (index == m_index) {
        home->cancel(request.upstream.get(), request.id);
        return;
    }
    asio::post(m_workers.worker(index).context,
               [home, upstream = request.upstream, id = request.id] {
                   home->cancel(upstream.get(), id);
               });
}

UpstreamPools::UpstreamPools(WorkerPool &workers)
    : m_workers(workers)
{
    for (std::uint32_t i = 0; i < workers.size(); ++i)
        m_homes.push_back(std::make_unique<HomePools>(workers, i, m_counters));
    for (std::uint32_t i = 0; i < workers.size(); ++i)
        m_senders.push_back(std::make_unique<DirectSender>(workers, i, m_homes));
}

UpstreamPools::~UpstreamPools() = default;

void UpstreamPools::configure(std::vector<UpstreamConfig> searchers)
{
    std::vector<std::vector<UpstreamConfig>> byHome(m_homes.size());
    for (UpstreamConfig &searcher : searchers) {
        const std::uint32_t home = m_workers.homeOf(searcher.state->address()).index;
        byHome[home].push_back(std::move(searcher));
    }
    for (std::uint32_t i = 0; i < m_homes.size(); ++i) {
        HomePools *home = m_homes[i].get();
        asio::post(m_workers.worker(i).context,
                   [home, mine = std::move(byHome[i])] { home->configure(mine); });
    }
}

} // namespace geraniumcart
