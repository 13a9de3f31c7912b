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

/// Admission of all services for all workers. Each service has one policy, on one home worker. If
/// each worker had a policy with a part of the limits, a tenant whose connections are all on one
/// worker would be refused at a fraction of its limit. Other workers use the policy through posted
/// tasks.
class SharedAdmission
{
public:
    /// Creates the policy of one service; called on its home worker, whose timers it receives.
    using PolicyFactory = std::function<std::unique_ptr<AdmissionPolicy>(TimerService &timers)>;

    SharedAdmission(WorkerPool &workers, const SnapshotPublisher &snapshots, PolicyFactory factory);
    ~SharedAdmission();

    /// Returns the interface for one worker; only that worker's thread may use it.
    AdmissionDirectory &directory(std::uint32_t workerIndex);

private:
    /// Policy of one service.
    struct Policy
    {
        std::unique_ptr<AdmissionPolicy> policy;
        /// Generation of the snapshot with which the policy was configured.
        std::uint64_t generation = 0;
    };
    using Policies = std::map<std::string, Policy, std::less<>>;
    class Directory;

    /// Returns the service's policy, configured from the current snapshot or from @p snapshot. Call
    /// on the home worker.
    AdmissionPolicy &policyOf(Worker &home, const std::string &service);
    AdmissionPolicy &policyOf(Worker &home, const std::string &service,
                              const RoutingSnapshot &snapshot);
    /// Returns the limits of the services whose home is @p worker. Call on that worker.
    std::vector<ServiceLimits> limitsOn(Worker &worker);

    WorkerPool &m_workers;
    const SnapshotPublisher &m_snapshots;
    const PolicyFactory m_factory;
    /// Policies by home worker; each element is used only on that worker's thread.
    std::vector<Policies> m_policies;
    std::vector<std::unique_ptr<Directory>> m_directories;
};

} // namespace geraniumcart
