#pragma once

#include <geraniumcart/front_end.h>
#include <geraniumcart/hedging.h>

#include <map>
#include <memory>
#include <string>

namespace geraniumcart {

/// Dependencies of the runs of one worker. All of them must outlive the runs.
struct WorkerRunContext
{
    TimerService &timers;
    SubRequestSender &sender;
    ReplicaChoice &choice;
    IdempotencyClaims &claims;
    AttemptBudget &hedgeBudget;
    AttemptBudget &retryBudget;
    Stats &stats;
    HedgingKind hedging = HedgingKind::Quantile;
};

/// Creates search and booking runs that send to searchers. Latencies differ between services, so
/// each service has its own hedging policy.
class WorkerRunFactory final : public RunFactory
{
public:
    explicit WorkerRunFactory(const WorkerRunContext &context)
        : m_context(context)
    {
    }

    std::shared_ptr<SearchRun> createSearch(SnapshotPin snapshot, SearchQuery query,
                                            SearchRun::Callback done) override;
    std::shared_ptr<BookingRun> createBooking(SnapshotPin snapshot, BookingRequest request,
                                              BookingRun::Callback done) override;

private:
    HedgingPolicy &hedgingPolicyOf(const std::string &service);

    WorkerRunContext m_context;
    std::map<std::string, std::unique_ptr<HedgingPolicy>, std::less<>> m_hedging;
};

} // namespace geraniumcart
