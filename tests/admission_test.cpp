#include <catch2/catch.hpp>

#include <geraniumcart/admission.h>
#include <geraniumcart/manual_timer_service.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <random>

using namespace geraniumcart;
using namespace std::chrono_literals;

namespace {

RuleSet testRules()
{
    RuleSet rules;
    rules.limits.push_back({"club", 40, 8, {}});
    rules.classes.push_back({"urgent", 8, {}});
    return rules;
}

using Decisions = std::vector<AdmissionDecision>;

/// Admission policy with a manual clock, and its decisions in order. By default its limits are
/// divided among four live members.
struct Fixture
{
    explicit Fixture(AdmissionKind kind = AdmissionKind::Weighted, std::uint32_t liveMembers = 4)
        : policy(makeAdmissionPolicy(kind, timers))
    {
        policy->configure(testRules(), liveMembers);
    }

    /// Submits a request; its deadline is @p deadline from now.
    void admit(const std::string &tenant, const std::string &className, Duration deadline)
    {
        policy->admit({tenant, className, timers.now() + deadline},
                      [this](AdmissionDecision decision) { decisions.push_back(decision); });
    }
    /// Admits requests up to the concurrency limit.
    void fill()
    {
        while (policy->report().running < policy->report().concurrency)
            admit("filler", "x", 10s);
        decisions.clear();
    }
    /// Runs requests of the given latency one after another.
    void observe(Duration latency, int times = 1)
    {
        for (int i = 0; i < times; ++i) {
            admit("filler", "x", 10s);
            timers.advance(latency);
            policy->finish(latency, false);
        }
        decisions.clear();
    }
    std::size_t admitted() const
    {
        return static_cast<std::size_t>(std::ranges::count(decisions, AdmissionDecision::Admitted));
    }

    ManualTimerService timers;
    std::unique_ptr<AdmissionPolicy> policy;
    Decisions decisions;
};

constexpr auto Admitted = AdmissionDecision::Admitted;
constexpr auto RateLimited = AdmissionDecision::RateLimited;
constexpr auto Overloaded = AdmissionDecision::Overloaded;
constexpr auto DeadlinePassed = AdmissionDecision::DeadlinePassed;

} // namespace

// Guards against requests that are admitted past a limit or a deadline, against requests that are
// refused below their limit, and against waiting requests that are never decided.
TEST_CASE("admission decides by rate limit, deadline and concurrency limit")
{
    using Step = std::function<void(Fixture &)>;
    const auto [failure, kind, step, expected] =
            GENERATE(table<const char *, AdmissionKind, Step, Decisions>({
                    {"request past its deadline is admitted", AdmissionKind::Weighted,
                     [](Fixture &f) { f.admit("a", "x", 0ms); }, Decisions{DeadlinePassed}},
                    {"request past its deadline is admitted by the baseline", AdmissionKind::Unlimited,
                     [](Fixture &f) { f.admit("a", "x", -1ms); },
                     Decisions{DeadlinePassed}},
                    {"burst is not divided among the live members", AdmissionKind::Weighted,
                     [](Fixture &f) {
                         for (int i = 0; i < 3; ++i)
                             f.admit("club", "x", 1s);
                     },
                     Decisions{Admitted, Admitted, RateLimited}},
                    {"rate is not divided among the live members", AdmissionKind::Weighted,
                     [](Fixture &f) {
                         for (int i = 0; i < 2; ++i)
                             f.admit("club", "x", 1s);
                         f.timers.advance(100ms);
                         for (int i = 0; i < 2; ++i)
                             f.admit("club", "x", 1s);
                     },
                     Decisions{Admitted, Admitted, Admitted, RateLimited}},
                    {"limit of one tenant applies to another", AdmissionKind::Weighted,
                     [](Fixture &f) {
                         for (int i = 0; i < 3; ++i)
                             f.admit("club", "x", 1s);
                         f.admit("other", "x", 1s);
                     },
                     Decisions{Admitted, Admitted, RateLimited, Admitted}},
                    {"new rules refill a tenant's bucket", AdmissionKind::Weighted,
                     [](Fixture &f) {
                         for (int i = 0; i < 2; ++i)
                             f.admit("club", "x", 1s);
                         f.policy->configure(testRules(), 4);
                         f.admit("club", "x", 1s);
                     },
                     Decisions{Admitted, Admitted, RateLimited}},
                    {"limit stays in force after its rule was removed", AdmissionKind::Weighted,
                     [](Fixture &f) {
                         for (int i = 0; i < 2; ++i)
                             f.admit("club", "x", 1s);
                         f.policy->configure({}, 4);
                         f.admit("club", "x", 1s);
                     },
                     Decisions{Admitted, Admitted, Admitted}},
                    {"request that cannot finish in time is admitted", AdmissionKind::Weighted,
                     [](Fixture &f) {
                         f.observe(50ms, 20);
                         f.admit("a", "x", 10ms);
                     },
                     Decisions{Overloaded}},
                    {"time of abandoned requests counts as service time", AdmissionKind::Weighted,
                     [](Fixture &f) {
                         f.observe(50ms, 20);
                         f.observe(0ms, 40);
                         f.admit("a", "x", 10ms);
                     },
                     Decisions{Overloaded}},
                    {"request waits although its deadline would pass in the queue",
                     AdmissionKind::Weighted,
                     [](Fixture &f) {
                         f.observe(50ms, 20);
                         f.fill();
                         f.admit("a", "x", 52ms);
                     },
                     Decisions{Overloaded}},
                    {"waiting request gets no decision at its deadline", AdmissionKind::Weighted,
                     [](Fixture &f) {
                         f.fill();
                         f.admit("a", "x", 60ms);
                         f.timers.advance(100ms);
                     },
                     Decisions{DeadlinePassed}},
                    {"finished request does not admit a waiting one", AdmissionKind::Weighted,
                     [](Fixture &f) {
                         f.fill();
                         f.admit("a", "x", 1s);
                         f.policy->finish(5ms, false);
                     },
                     Decisions{Admitted}},
                    {"waiting request is lost when its class is removed", AdmissionKind::Weighted,
                     [](Fixture &f) {
                         f.fill();
                         f.admit("a", "urgent", 1s);
                         f.policy->configure({}, 4);
                         f.policy->finish(5ms, false);
                     },
                     Decisions{Admitted}},
            }));
    INFO(failure);
    Fixture fixture(kind);
    step(fixture);
    CHECK(fixture.decisions == expected);
}

// Guards against a latency estimate that stays high: it would refuse every request with a shorter
// deadline, so that no request shows that the service has become fast again.
TEST_CASE("admission recovers when the service becomes fast again")
{
    Fixture fixture;
    fixture.observe(500ms, 40);
    std::uint32_t admitted = 0;
    for (int i = 0; i < 2000; ++i) {
        fixture.decisions.clear();
        fixture.admit("a", "x", 50ms);
        fixture.timers.advance(5ms);
        if (fixture.decisions == Decisions{Admitted}) {
            ++admitted;
            fixture.policy->finish(5ms, false);
        }
    }
    CHECK(fixture.decisions == Decisions{Admitted});
    CHECK(admitted > 500);
}

// Guards against reports that differ from the limits that the policy enforces, and against queued
// requests that are reported for the wrong class.
TEST_CASE("reported limits are those in force")
{
    const auto [failure, liveMembers, localRate, localBurst] =
            GENERATE(table<const char *, std::uint32_t, double, double>({
                    {"a lone daemon reports a part", 1, 40, 8},
                    {"limit is not divided", 4, 10, 2},
                    {"burst below one refuses everything", 40, 1, 1},
                    {"limit is divided by zero members", 0, 40, 8},
            }));
    INFO(failure);
    Fixture fixture(AdmissionKind::Weighted, liveMembers);
    fixture.fill();
    fixture.admit("a", "urgent", 1s);
    fixture.admit("a", "unnamed", 1s);
    const LimitReport report = fixture.policy->report();
    REQUIRE(report.tenants.size() == 1);
    CHECK(report.tenants[0].tenant == "club");
    CHECK(report.tenants[0].ratePerSecond == 40);
    CHECK(report.tenants[0].localRatePerSecond == localRate);
    CHECK(report.tenants[0].localBurst == localBurst);
    REQUIRE(report.classes.size() == 2);
    CHECK(report.classes[0].className == DefaultClassName);
    CHECK(report.classes[0].queued == 1);
    CHECK(report.classes[1].className == "urgent");
    CHECK(report.classes[1].weight == 8);
    CHECK(report.classes[1].queued == 1);
    CHECK(report.running == report.concurrency);
}

// Guards against a decision that is delivered on the wrong worker or not at all.
TEST_CASE("an admission client posts requests and decisions")
{
    Fixture fixture;
    std::deque<std::function<void()>> home;
    std::deque<std::function<void()>> self;
    AdmissionClient client(
            *fixture.policy, [&](auto task) { home.push_back(std::move(task)); },
            [&](auto task) { self.push_back(std::move(task)); });
    Decisions decisions;
    client.admit({"a", "x", fixture.timers.now() + 1s},
                 [&](AdmissionDecision decision) { decisions.push_back(decision); });
    CHECK(fixture.policy->report().running == 0);
    home.front()();
    CHECK(fixture.policy->report().running == 1);
    CHECK(decisions.empty());
    self.front()();
    CHECK(decisions == Decisions{Admitted});
    client.finish(5ms, false);
    home.back()();
    CHECK(fixture.policy->report().running == 0);
}

namespace {

/// Searchers of one service: a number of slots with one queue.
struct ServerModel
{
    std::uint32_t slots = 20;
    /// Requests beyond this queue length are shed.
    std::size_t queueBound = SIZE_MAX;
};

struct OverloadResult
{
    double answeredPerSecond = 0;
    double urgentServed = 0;
    std::uint64_t dispatchedLate = 0;
};

/// Simulates 30 s of Poisson arrivals after 10 s of warm-up. Requests have a deadline of 300 ms,
/// and a tenth of them are urgent. Service takes 10 to 30 ms, so that capacity is slots / 20 ms.
/// @param load arrivals relative to the capacity
OverloadResult measureOverload(AdmissionKind kind, ServerModel model, double load)
{
    constexpr Duration WarmUp = 10s;
    constexpr Duration Measured = 30s;
    Fixture fixture(kind, 1);
    ManualTimerService &timers = fixture.timers;
    std::mt19937_64 random(3);
    const double arrivalsPerSecond = load * model.slots / 0.02;
    const TimePoint measuredFrom = timers.now() + WarmUp;
    const TimePoint end = measuredFrom + Measured;

    std::uint32_t busy = 0;
    std::deque<std::function<void()>> queue;
    std::uint64_t answered = 0;
    std::uint64_t urgentAnswered = 0;
    std::uint64_t urgentOffered = 0;
    OverloadResult result;

    const auto serve = [&](auto &self, std::function<void()> done) -> void {
        ++busy;
        const auto service =
                std::chrono::microseconds(std::uniform_int_distribution(10000, 30000)(random));
        timers.schedule(service, [&, done = std::move(done)] {
            --busy;
            if (!queue.empty()) {
                const auto next = std::move(queue.front());
                queue.pop_front();
                self(self, next);
            }
            done();
        });
    };
    const auto arrive = [&](auto &self) -> void {
        const TimePoint arrivedAt = timers.now();
        if (arrivedAt >= end)
            return;
        const bool isUrgent = std::uniform_int_distribution(0, 9)(random) == 0;
        const bool isMeasured = arrivedAt >= measuredFrom;
        urgentOffered += isUrgent && isMeasured;
        const TimePoint deadline = arrivedAt + 300ms;
        fixture.policy->admit(
                {"a", isUrgent ? "urgent" : "ordinary", deadline},
                [&, isUrgent, isMeasured, deadline](AdmissionDecision decision) {
                    if (decision != Admitted)
                        return;
                    const TimePoint admittedAt = timers.now();
                    result.dispatchedLate += admittedAt >= deadline;
                    if (busy >= model.slots && queue.size() >= model.queueBound) {
                        timers.schedule(1ms, [&] { fixture.policy->finish(1ms, true); });
                        return;
                    }
                    std::function<void()> done = [&, isUrgent, isMeasured, deadline, admittedAt] {
                        const TimePoint now = timers.now();
                        const bool inTime = isMeasured && now <= deadline;
                        answered += inTime;
                        urgentAnswered += inTime && isUrgent;
                        fixture.policy->finish(now - admittedAt, false);
                    };
                    if (busy < model.slots)
                        serve(serve, std::move(done));
                    else
                        queue.push_back(std::move(done));
                });
        timers.schedule(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
                                std::exponential_distribution(arrivalsPerSecond)(random))),
                        [&, self] { self(self); });
    };
    arrive(arrive);
    // The additional time is long enough for the queue that unlimited admission builds up.
    timers.advance(WarmUp + Measured + 100s);
    CHECK(fixture.policy->report().running == 0);
    result.answeredPerSecond =
            static_cast<double>(answered) / std::chrono::duration<double>(Measured).count();
    result.urgentServed = static_cast<double>(urgentAnswered) / static_cast<double>(urgentOffered);
    return result;
}

} // namespace

// Guards against throughput that collapses under overload because searchers work on requests whose
// deadline passes. Targets at twice the capacity: at least 90% of the answers at capacity, at least
// 99% of urgent requests answered, no request dispatched past its deadline.
TEST_CASE("overload does not lower throughput")
{
    const auto [failure, model, load] = GENERATE(table<const char *, ServerModel, double>({
            {"searchers queue without a bound", ServerModel{20, SIZE_MAX}, 2.0},
            {"searchers shed beyond a short queue", ServerModel{20, 10}, 2.0},
            {"large service", ServerModel{100, SIZE_MAX}, 2.0},
            {"load is ten times the capacity", ServerModel{20, SIZE_MAX}, 10.0},
    }));
    INFO(failure);
    const OverloadResult atCapacity = measureOverload(AdmissionKind::Weighted, model, 1.0);
    const OverloadResult overloaded = measureOverload(AdmissionKind::Weighted, model, load);
    INFO("at capacity " << atCapacity.answeredPerSecond << "/s, urgent "
                        << atCapacity.urgentServed);
    INFO("overloaded " << overloaded.answeredPerSecond << "/s, urgent " << overloaded.urgentServed);
    CHECK(atCapacity.answeredPerSecond >= 0.9 * model.slots / 0.02);
    CHECK(overloaded.answeredPerSecond >= 0.9 * atCapacity.answeredPerSecond);
    // At ten times the capacity, the urgent requests alone, a tenth of the load, take all of it.
    if (load <= 2.0)
        CHECK(overloaded.urgentServed >= 0.99);
    CHECK(overloaded.dispatchedLate == 0);
}

// Guards against a simulation that would pass without any limits: at the same load the baseline
// must answer most requests late.
TEST_CASE("the unlimited baseline answers late under overload")
{
    const OverloadResult result = measureOverload(AdmissionKind::Unlimited, {}, 2.0);
    CHECK(result.answeredPerSecond < 0.5 * 1000);
}

// Guards against eight daemons that together start with more than a second of queued work, and then
// measure its latency as that of searchers without a queue.
TEST_CASE("the initial concurrency limit follows the searchers' slots")
{
    const auto [failure, slots, members, expected] =
            GENERATE(table<const char *, std::uint32_t, std::uint32_t, std::uint32_t>({
                    {"an unknown number of slots lowers the limit", 0, 8, 16},
                    {"eight daemons start as if each were alone", 6, 8, 1},
                    {"a lone daemon starts too low", 6, 1, 12},
                    {"many slots raise the initial limit", 600, 8, 16},
            }));
    INFO(failure);
    ManualTimerService timers;
    const auto policy = makeAdmissionPolicy(AdmissionKind::Weighted, timers);
    policy->setParallelism(slots, members);
    CHECK(policy->report().concurrency == expected);
}
