#include "process/shared_admission_p.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace geraniumcart {

namespace {

/// Slots of the shard that has fewest; 0 if unknown. Every query needs a slot in each shard, so
/// this is the number of queries that the service can run at once.
std::uint32_t slotsOfSmallestShard(const RoutingSnapshot &snapshot, const std::string &service)
{
    const auto found = snapshot.services.find(service);
    if (found == snapshot.services.end() || !found->second->view)
        return 0;
    std::uint32_t fewest = 0;
    for (const std::vector<std::uint32_t> &replicas : found->second->view->replicas) {
        const auto slots =
                static_cast<std::uint32_t>(replicas.size()) * found->second->limits.slots;
        if (slots > 0 && (fewest == 0 || slots < fewest))
            fewest = slots;
    }
    return fewest;
}

} // namespace

/// Admission of all services as used by one worker.
class SharedAdmission::Directory final : public AdmissionDirectory
{
public:
    Directory(SharedAdmission &shared, Worker &worker)
        : m_shared(shared)
        , m_worker(worker)
    {
    }

    void admit(const std::string &service, AdmissionRequest request,
               AdmissionPolicy::Callback done) override;
    void finish(const std::string &service, Duration latency, bool wasOverloaded) override;
    void report(ReportCallback done) override;

private:
    /// Report that waits for the limits of all workers.
    struct PendingReport
    {
        std::uint32_t outstanding = 0;
        std::vector<ServiceLimits> services;
        ReportCallback done;
    };

    SharedAdmission &m_shared;
    Worker &m_worker;
};

void SharedAdmission::Directory::admit(const std::string &service, AdmissionRequest request,
                                       AdmissionPolicy::Callback done)
{
    Worker &home = m_shared.m_workers.homeOf(service);
    if (&home == &m_worker) {
        m_shared.policyOf(home, service).admit(std::move(request), std::move(done));
        return;
    }
    boost::asio::post(home.context, [this, &home, service, request = std::move(request),
                                     done = std::move(done)]() mutable {
        m_shared.policyOf(home, service)
                .admit(std::move(request), [this,
                                            done = std::move(done)](AdmissionDecision decision) {
                    boost::asio::post(m_worker.context, [done, decision] { done(decision); });
                });
    });
}

void SharedAdmission::Directory::finish(const std::string &service, Duration latency,
                                        bool wasOverloaded)
{
    Worker &home = m_shared.m_workers.homeOf(service);
    if (&home == &m_worker) {
        m_shared.policyOf(home, service).finish(latency, wasOverloaded);
        return;
    }
    boost::asio::post(home.context, [this, &home, service, latency, wasOverloaded] {
        m_shared.policyOf(home, service).finish(latency, wasOverloaded);
    });
}

void SharedAdmission::Directory::report(ReportCallback done)
{
    const auto pending = std::make_shared<PendingReport>();
    pending->outstanding = m_shared.m_workers.size();
    pending->done = std::move(done);
    for (std::uint32_t i = 0; i < m_shared.m_workers.size(); ++i) {
        Worker &home = m_shared.m_workers.worker(i);
        boost::asio::post(home.context, [this, &home, pending] {
            boost::asio::post(
                    m_worker.context, [pending, services = m_shared.limitsOn(home)]() mutable {
                        std::ranges::move(services, std::back_inserter(pending->services));
                        if (--pending->outstanding > 0)
                            return;
                        std::ranges::sort(pending->services, {}, &ServiceLimits::service);
                        pending->done(std::move(pending->services));
                    });
        });
    }
}

SharedAdmission::SharedAdmission(WorkerPool &workers, const SnapshotPublisher &snapshots,
                                 PolicyFactory factory)
    : m_workers(workers)
    , m_snapshots(snapshots)
    , m_factory(std::move(factory))
    , m_policies(workers.size())
{
    for (std::uint32_t i = 0; i < workers.size(); ++i)
        m_directories.push_back(std::make_unique<Directory>(*this, workers.worker(i)));
}

SharedAdmission::~SharedAdmission() = default;

AdmissionDirectory &SharedAdmission::directory(std::uint32_t workerIndex)
{
    return *m_directories[workerIndex];
}

AdmissionPolicy &SharedAdmission::policyOf(Worker &home, const std::string &service)
{
    return policyOf(home, service, *m_snapshots.pin());
}

AdmissionPolicy &SharedAdmission::policyOf(Worker &home, const std::string &service,
                                           const RoutingSnapshot &snapshot)
{
    const auto [found, isNew] = m_policies[home.index].try_emplace(service);
    Policy &entry = found->second;
    if (isNew)
        entry.policy = m_factory(home.timers);
    if (isNew || entry.generation != snapshot.generation) {
        entry.policy->configure(snapshot.rules, snapshot.liveMembers);
        entry.policy->setParallelism(slotsOfSmallestShard(snapshot, service), snapshot.liveMembers);
        entry.generation = snapshot.generation;
    }
    return *entry.policy;
}

std::vector<ServiceLimits> SharedAdmission::limitsOn(Worker &worker)
{
    const SnapshotPin pin = m_snapshots.pin();
    std::vector<ServiceLimits> result;
    for (const auto &[service, routing] : pin->services)
        if (&m_workers.homeOf(service) == &worker)
            result.push_back({service, policyOf(worker, service, *pin).report()});
    return result;
}

} // namespace geraniumcart
