#pragma once

#include <geraniumcart/rules.h>
#include <geraniumcart/timer_service.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace geraniumcart {

/// Answer to a caller's request for admission.
enum class AdmissionDecision : std::uint8_t {
    Admitted,
    /// The tenant is over its rate limit.
    RateLimited,
    /// The queue is full, or the deadline would pass before the request could be served.
    Overloaded,
    /// The deadline had passed already, on arrival or in the queue.
    DeadlinePassed,
};
const char *toString(AdmissionDecision decision);

/// What admission needs to know of a caller's request.
struct AdmissionRequest
{
    std::string tenant;
    std::string className;
    TimePoint deadline{};
};

/// Rate limit of one tenant, and the part of it that this daemon enforces.
struct TenantLimit
{
    std::string tenant;
    /// Limit over all daemons, from the rules file.
    double ratePerSecond = 0;
    double burst = 0;
    /// Limit that this daemon enforces: its equal share of the rate, and of the burst at least one
    /// request.
    double localRatePerSecond = 0;
    double localBurst = 0;
};

/// Queue of one request class on this daemon.
struct ClassLimit
{
    std::string className;
    /// Weight in the fair queue, relative to the other classes.
    std::uint32_t weight = 1;
    /// Number of requests that wait for admission.
    std::uint32_t queued = 0;
};

/// Limits of one service that this daemon enforces, and their current use.
struct LimitReport
{
    std::vector<TenantLimit> tenants;
    std::vector<ClassLimit> classes;
    /// Maximum number of admitted requests that run at once; 0 if there is no bound.
    std::uint32_t concurrency = 0;
    std::uint32_t running = 0;
};

/// Decides which callers' requests of one service are admitted. There is one instance for each
/// service, on one worker (its home), so that tenants and classes are counted once and not for each
/// worker. All functions must be called on the home worker's thread; other workers use an
/// AdmissionClient. A client costs two posted tasks for each request, which is little: the
/// sub-requests of that request cost hundreds.
class AdmissionPolicy
{
public:
    using Callback = std::function<void(AdmissionDecision)>;

    virtual ~AdmissionPolicy() = default;
    /// Applies new rules. Waiting requests stay in their queues.
    /// @param liveMembers number of daemons that share each limit
    virtual void configure(const RuleSet &rules, std::uint32_t liveMembers) = 0;
    /// Sets how many queries the searchers can run at once.
    /// @param queries number for all daemons together, which is the number of slots of the shard
    /// that has the fewest; 0 if unknown
    /// @param liveMembers number of daemons that share the searchers
    virtual void setParallelism(std::uint32_t queries, std::uint32_t liveMembers) = 0;
    /// Decides on a request. A request past its deadline is never admitted. One that, by the
    /// observed service time, cannot finish in time is Overloaded immediately. A class that no rule
    /// names counts as `default`.
    /// @param done called exactly once: before this returns, or later if the request has to wait
    ///     until another one finishes
    virtual void admit(AdmissionRequest request, Callback done) = 0;
    /// Reports that an admitted request finished; must be called once for each.
    /// @param latency zero for an abandoned request, whose time says nothing about the service
    /// @param wasOverloaded true if searchers shed the request or had no capacity for it
    virtual void finish(Duration latency, bool wasOverloaded) = 0;
    /// Returns the limits in force, read from the objects that enforce them.
    virtual LimitReport report() const = 0;
};

enum class AdmissionKind : std::uint8_t { Weighted, Unlimited };

/// Creates a policy that runs on the thread of @p timers.
/// Weighted has a token bucket for each tenant, a weighted fair queue of classes and an adaptive
/// concurrency limit. Unlimited is the baseline for comparisons: it admits every request whose
/// deadline has not passed and only counts the running ones.
std::unique_ptr<AdmissionPolicy> makeAdmissionPolicy(AdmissionKind kind, TimerService &timers);

/// Class that is assumed for requests whose class has no rule.
inline constexpr const char *DefaultClassName = "default";
/// Maximum number of requests that wait in one class.
inline constexpr std::size_t MaxQueuedPerClass = 1024;

/// Gives a worker access to an admission policy whose home is another worker. An instance is used
/// by one worker only; the policy must outlive it.
class AdmissionClient
{
public:
    /// Queues a task to run later on a fixed thread, as boost::asio::post does.
    using Post = std::function<void(std::function<void()>)>;

    /// @param toHome posts to the policy's home worker
    /// @param toSelf posts to the worker that uses this client
    AdmissionClient(AdmissionPolicy &policy, Post toHome, Post toSelf);
    /// Like AdmissionPolicy::admit(), but @p done always runs later, on this client's worker.
    void admit(AdmissionRequest request, AdmissionPolicy::Callback done);
    /// Like AdmissionPolicy::finish(); takes effect later, on the home worker.
    void finish(Duration latency, bool wasOverloaded);

private:
    AdmissionPolicy &m_policy;
    Post m_toHome;
    Post m_toSelf;
};

} // namespace geraniumcart
