#pragma once

#include <geraniumcart/front_end.h>
#include <geraniumcart/hedging.h>

#include <map>
#include <memory>
#include <string>

namespace geraniumcart {

/// What the runs of one worker use; everything lives longer than the runs.
struct WorkerRunParts
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

/// Makes real runs. Latencies differ between services, so each has its own hedging policy.
class WorkerRunFactory final : public RunFactory
{
public:
    explicit WorkerRunFactory(const WorkerRunParts &parts)
        : m_parts(parts)
    {
    }

    std::shared_ptr<SearchRun> createSearch(SnapshotPin snapshot, SearchQuery query,
                                            SearchRun::Callback done) override;
    std::shared_ptr<BookingRun> createBooking(SnapshotPin snapshot, BookingRequest request,
                                              BookingRun::Callback done) override;

private:
    HedgingPolicy &hedgingOf(const std::string &service);

    WorkerRunParts m_parts;
    std::map<std::string, std::unique_ptr<HedgingPolicy>, std::less<>> m_hedging;
};

} // namespace geraniumcart
