#pragma once

#include <geraniumcart/rules.h>
#include <geraniumcart/timer_service.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace geraniumcart {

enum class AdmissionVerdict : std::uint8_t {
    Admitted,
    /// The tenant is over its rate limit.
    RateLimited,
    /// The queue is full, or the deadline would pass in it.
    Overloaded,
    DeadlinePassed,
};
const char *toString(AdmissionVerdict verdict);

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
    std::uint32_t concurrency = 0;
    std::uint32_t running = 0;
};

/// Admission of callers' requests for one service. Belongs to one thread at a time.
class AdmissionPolicy
{
public:
    using Callback = std::function<void(AdmissionVerdict)>;

    virtual ~AdmissionPolicy() = default;
    /// Takes the rules in force and the number of daemons that share each limit.
    virtual void configure(const RuleSet &rules, std::uint32_t liveMembers) = 0;
    /// Calls @p done once, at once or when a place comes free.
    virtual void admit(AdmissionRequest request, Callback done) = 0;
    /// Ends an admitted request. @p wasOverloaded: searchers shed or had no capacity for it.
    virtual void finish(Duration latency, bool wasOverloaded) = 0;
    /// Read from the objects that enforce.
    virtual LimitReport report() const = 0;
};

enum class AdmissionKind : std::uint8_t { Weighted, Unlimited };

std::unique_ptr<AdmissionPolicy> makeAdmissionPolicy(AdmissionKind kind, TimerService &timers);

} // namespace geraniumcart
