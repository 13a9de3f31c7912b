#include "process/worker_run_factory_p.h"

#include <utility>

namespace geraniumcart {

std::shared_ptr<SearchRun> WorkerRunFactory::createSearch(SnapshotPin snapshot, SearchQuery query,
                                                          SearchRun::Callback done)
{
    const SearchContext context{
            m_parts.timers,      m_parts.sender,      m_parts.choice, hedgingOf(query.service),
            m_parts.hedgeBudget, m_parts.retryBudget, &m_parts.stats};
    return SearchRun::create(context, std::move(snapshot), std::move(query), std::move(done));
}

std::shared_ptr<BookingRun> WorkerRunFactory::createBooking(SnapshotPin snapshot,
                                                            BookingRequest request,
                                                            BookingRun::Callback done)
{
    const BookingContext context{m_parts.timers, m_parts.sender, m_parts.claims};
    return BookingRun::create(context, std::move(snapshot), std::move(request), std::move(done));
}

HedgingPolicy &WorkerRunFactory::hedgingOf(const std::string &service)
{
    std::unique_ptr<HedgingPolicy> &policy = m_hedging[service];
    if (!policy)
        policy = makeHedgingPolicy(m_parts.hedging);
    return *policy;
}

} // namespace geraniumcart
