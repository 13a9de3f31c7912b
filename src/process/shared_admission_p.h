#pragma once

#include "process/worker_pool_p.h"

#include <geraniumcart/admission.h>
#include <geraniumcart/front_end.h>
#include <geraniumcart/snapshot.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace geraniumcart {

/// Admission of all services for all workers. Each service has one policy, on one home worker,
/// since a policy split by worker would refuse a tenant whose connections fell on one worker at a
/// fraction of its limit. Other workers reach it by posted messages.
class SharedAdmission
{
public:
    /// Makes the policy of one service, for its home worker.
    using PolicyFactory = std::function<std::unique_ptr<AdmissionPolicy>(TimerService &timers)>;

    SharedAdmission(WorkerPool &workers, const SnapshotPublisher &snapshots, PolicyFactory factory);
    ~SharedAdmission();

    /// The view of one worker; only that worker's thread may use it.
    AdmissionDirectory &directory(std::uint32_t workerIndex);

private:
    struct Policy
    {
        std::unique_ptr<AdmissionPolicy> policy;
        /// Generation of the snapshot that the policy was configured with.
        std::uint64_t generation = 0;
    };
    using Policies = std::map<std::string, Policy, std::less<>>;
    class Directory;

    /// The service's policy, configured as the snapshot in force says. Call on the home worker.
    AdmissionPolicy &policyOf(Worker &home, const std::string &service);
    AdmissionPolicy &policyOf(Worker &home, const std::string &service,
                              const RoutingSnapshot &snapshot);
    /// Limits of the services at home on @p worker. Call on that worker.
    std::vector<ServiceLimits> limitsOn(Worker &worker);

    WorkerPool &m_workers;
    const SnapshotPublisher &m_snapshots;
    const PolicyFactory m_factory;
    /// One element for each worker; only its thread touches it.
    std::vector<Policies> m_policies;
    std::vector<std::unique_ptr<Directory>> m_directories;
};

} // namespace geraniumcart
