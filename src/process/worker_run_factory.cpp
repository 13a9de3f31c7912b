#include "process/worker_run_factory_p.h"

#include <utility>

namespace geraniumcart {

std::shared_ptr<SearchRun> WorkerRunFactory::createSearch(SnapshotPin snapshot, SearchQuery query,
                                                          SearchRun::Callback done)
{
    const SearchContext context{m_context.timers,      m_context.sender,
                                m_context.choice,      hedgingPolicyOf(query.service),
                                m_context.hedgeBudget, m_context.retryBudget,
                                &m_context.stats};
    return SearchRun::create(context, std::move(snapshot), std::move(query), std::move(done));
}

std::shared_ptr<BookingRun> WorkerRunFactory::createBooking(SnapshotPin snapshot,
                                                            BookingRequest request,
                                                            BookingRun::Callback done)
{
    const BookingContext context{m_context.timers, m_context.sender, m_context.claims};
    return BookingRun::create(context, std::move(snapshot), std::move(request), std::move(done));
}

HedgingPolicy &WorkerRunFactory::hedgingPolicyOf(const std::string &service)
{
    std::unique_ptr<HedgingPolicy> &policy = m_hedging[service];
    if (!policy)
        policy = makeHedgingPolicy(m_context.hedging);
    return *policy;
}

} // namespace geraniumcart
