#pragma once

#include <geraniumcart/rules.h>
#include <geraniumcart/timer_service.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace geraniumcart {

enum class AdmissionDecision : std::uint8_t {
    Admitted,
    /// The tenant is over its rate limit.
    RateLimited,
    /// The queue is full, or the deadline would pass in it.
    Overloaded,
    DeadlinePassed,
};
const char *toString(AdmissionDecision verdict);

struct AdmissionRequest
{
    std::string tenant;
    std::string className;
    TimePoint deadline{};
};

/// A limit as it is enforced on this daemon.
struct TenantLimit
{
    std::string tenant;
    /// Over all daemons.
    double ratePerSecond = 0;
    double burst = 0;
    /// This daemon's part.
    double localRatePerSecond = 0;
    double localBurst = 0;
};

struct ClassLimit
{
    std::string className;
    std::uint32_t weight = 1;
    std::uint32_t queued = 0;
};

struct LimitReport
{
    std::vector<TenantLimit> tenants;
    std::vector<ClassLimit> classes;
    /// Most requests that may run at once; 0 where there is no bound.
    std::uint32_t concurrency = 0;
    std::uint32_t running = 0;
};

/// Admission of callers' requests for one service. There is one instance for each service, on one
/// worker (its home), so that tenants and classes are counted once and not for each worker. All
/// calls come on that thread; other workers use an AdmissionClient. That costs two posts for a
/// request, while its sub-requests cost hundreds.
class AdmissionPolicy
{
public:
    using Callback = std::function<void(AdmissionDecision)>;

    virtual ~AdmissionPolicy() = default;
    /// Takes the rules in force and the number of daemons that share each limit. Requests that
    /// wait keep their place.
    virtual void configure(const RuleSet &rules, std::uint32_t liveMembers) = 0;
    /// Says how many queries the searchers can run at once, over all daemons: the slots of the
    /// shard that has fewest. 0 where that is not known.
    virtual void setParallelism(std::uint32_t queries, std::uint32_t liveMembers) = 0;
    /// Calls @p done once, at once or when a place comes free. A request past its deadline is never
    /// admitted; one that cannot end in time by the observed service time is Overloaded at once.
    /// A class that no rule names counts as `default`.
    virtual void admit(AdmissionRequest request, Callback done) = 0;
    /// Ends an admitted request. @p wasOverloaded: searchers shed or had no capacity for it.
    /// @p latency is zero for a request that was given up, whose time says nothing about the
    /// service.
    virtual void finish(Duration latency, bool wasOverloaded) = 0;
    /// Read from the objects that enforce.
    virtual LimitReport report() const = 0;
};

enum class AdmissionKind : std::uint8_t { Weighted, Unlimited };

/// Weighted: token bucket for each tenant, weighted fair queue by class, adaptive bound on
/// concurrency. Unlimited: the baseline, which admits everything that is in time and only counts.
std::unique_ptr<AdmissionPolicy> makeAdmissionPolicy(AdmissionKind kind, TimerService &timers);

/// Class of requests whose class has no rule.
inline constexpr const char *DefaultClassName = "default";
/// Most requests that wait in one class.
inline constexpr std::size_t MaxQueuedPerClass = 1024;

/// Reaches an admission policy from a worker that is not its home. An instance belongs to one
/// worker; the policy lives longer.
class AdmissionClient
{
public:
    /// Runs a task on one certain thread, later, as boost::asio::post does.
    using Post = std::function<void(std::function<void()>)>;

    AdmissionClient(AdmissionPolicy &policy, Post toHome, Post toSelf);
    /// As AdmissionPolicy::admit(); @p done runs on this worker, never before this returns.
    void admit(AdmissionRequest request, AdmissionPolicy::Callback done);
    void finish(Duration latency, bool wasOverloaded);

private:
    AdmissionPolicy &m_policy;
    Post m_toHome;
    Post m_toSelf;
};

} // namespace geraniumcart
