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

/// A policy and the verdicts that it gave, in order.
struct AdmissionBench
{
    explicit AdmissionBench(AdmissionKind kind = AdmissionKind::Weighted,
                            std::uint32_t liveMembers = 4)
        : policy(makeAdmissionPolicy(kind, timers))
    {
        policy->configure(testRules(), liveMembers);
    }

    void admit(const std::string &tenant, const std::string &className, Duration deadline)
    {
        policy->admit({tenant, className, timers.now() + deadline},
                      [this](AdmissionDecision verdict) { verdicts.push_back(verdict); });
    }
    void fill()
    {
        while (policy->report().running < policy->report().concurrency)
            admit("filler", "x", 10s);
        verdicts.clear();
    }
    void observe(Duration latency, int times = 1)
    {
        for (int i = 0; i < times; ++i) {
            admit("filler", "x", 10s);
            timers.advance(latency);
            policy->finish(latency, false);
        }
        verdicts.clear();
    }
    std::size_t admitted() const
    {
        return static_cast<std::size_t>(std::ranges::count(verdicts, AdmissionDecision::Admitted));
    }

    ManualTimerService timers;
    std::unique_ptr<AdmissionPolicy> policy;
    Decisions verdicts;
};

constexpr auto Admitted = AdmissionDecision::Admitted;
constexpr auto RateLimited = AdmissionDecision::RateLimited;
constexpr auto Overloaded = AdmissionDecision::Overloaded;
constexpr auto DeadlinePassed = AdmissionDecision::DeadlinePassed;

} // namespace

TEST_CASE("admission refuses what must not run")
{
    using Step = std::function<void(AdmissionBench &)>;
    const auto [failure, kind, step, expected] =
            GENERATE(table<const char *, AdmissionKind, Step, Decisions>({
                    {"late request is admitted", AdmissionKind::Weighted,
                     [](AdmissionBench &b) { b.admit("a", "x", 0ms); }, Decisions{DeadlinePassed}},
                    {"late request is admitted by the baseline", AdmissionKind::Unlimited,
                     [](AdmissionBench &b) { b.admit("a", "x", -1ms); },
                     Decisions{DeadlinePassed}},
                    {"burst is not divided by the live members", AdmissionKind::Weighted,
                     [](AdmissionBench &b) {
                         for (int i = 0; i < 3; ++i)
                             b.admit("club", "x", 1s);
                     },
                     Decisions{Admitted, Admitted, RateLimited}},
                    {"rate is not divided by the live members", AdmissionKind::Weighted,
                     [](AdmissionBench &b) {
                         for (int i = 0; i < 2; ++i)
                             b.admit("club", "x", 1s);
                         b.timers.advance(100ms);
                         for (int i = 0; i < 2; ++i)
                             b.admit("club", "x", 1s);
                     },
                     Decisions{Admitted, Admitted, Admitted, RateLimited}},
                    {"limit of one tenant hits another", AdmissionKind::Weighted,
                     [](AdmissionBench &b) {
                         for (int i = 0; i < 3; ++i)
                             b.admit("club", "x", 1s);
                         b.admit("other", "x", 1s);
                     },
                     Decisions{Admitted, Admitted, RateLimited, Admitted}},
                    {"new rules refill a tenant's bucket", AdmissionKind::Weighted,
                     [](AdmissionBench &b) {
                         for (int i = 0; i < 2; ++i)
                             b.admit("club", "x", 1s);
                         b.policy->configure(testRules(), 4);
                         b.admit("club", "x", 1s);
                     },
                     Decisions{Admitted, Admitted, RateLimited}},
                    {"limit stays in force after its rule went", AdmissionKind::Weighted,
                     [](AdmissionBench &b) {
                         for (int i = 0; i < 2; ++i)
                             b.admit("club", "x", 1s);
                         b.policy->configure({}, 4);
                         b.admit("club", "x", 1s);
                     },
                     Decisions{Admitted, Admitted, Admitted}},
                    {"request that cannot end in time is admitted", AdmissionKind::Weighted,
                     [](AdmissionBench &b) {
                         b.observe(50ms, 20);
                         b.admit("a", "x", 10ms);
                     },
                     Decisions{Overloaded}},
                    {"time of requests given up counts as service time", AdmissionKind::Weighted,
                     [](AdmissionBench &b) {
                         b.observe(50ms, 20);
                         b.observe(0ms, 40);
                         b.admit("a", "x", 10ms);
                     },
                     Decisions{Overloaded}},
                    {"request waits although its deadline passes in the queue",
                     AdmissionKind::Weighted,
                     [](AdmissionBench &b) {
                         b.observe(50ms, 20);
                         b.fill();
                         b.admit("a", "x", 52ms);
                     },
                     Decisions{Overloaded}},
                    {"waiting request is forgotten at its deadline", AdmissionKind::Weighted,
                     [](AdmissionBench &b) {
                         b.fill();
                         b.admit("a", "x", 60ms);
                         b.timers.advance(100ms);
                     },
                     Decisions{DeadlinePassed}},
                    {"freed place is not given to the queue", AdmissionKind::Weighted,
                     [](AdmissionBench &b) {
                         b.fill();
                         b.admit("a", "x", 1s);
                         b.policy->finish(5ms, false);
                     },
                     Decisions{Admitted}},
                    {"waiting request is lost when its class goes", AdmissionKind::Weighted,
                     [](AdmissionBench &b) {
                         b.fill();
                         b.admit("a", "urgent", 1s);
                         b.policy->configure({}, 4);
                         b.policy->finish(5ms, false);
                     },
                     Decisions{Admitted}},
            }));
    INFO(failure);
    AdmissionBench bench(kind);
    step(bench);
    CHECK(bench.verdicts == expected);
}

// Guards against an estimate that was high once and then refuses everything for good.
TEST_CASE("admission recovers when the service becomes fast again")
{
    AdmissionBench bench;
    bench.observe(500ms, 40);
    std::uint32_t admitted = 0;
    for (int i = 0; i < 2000; ++i) {
        bench.verdicts.clear();
        bench.admit("a", "x", 50ms);
        bench.timers.advance(5ms);
        if (bench.verdicts == Decisions{Admitted}) {
            ++admitted;
            bench.policy->finish(5ms, false);
        }
    }
    CHECK(bench.verdicts == Decisions{Admitted});
    CHECK(admitted > 500);
}

TEST_CASE("reported limits are those in force")
{
    const auto [failure, liveMembers, localRate, localBurst] =
            GENERATE(table<const char *, std::uint32_t, double, double>({
                    {"one daemon reports a part", 1, 40, 8},
                    {"share is not divided", 4, 10, 2},
                    {"burst below one refuses everything", 40, 1, 1},
                    {"no member known", 0, 40, 8},
            }));
    INFO(failure);
    AdmissionBench bench(AdmissionKind::Weighted, liveMembers);
    bench.fill();
    bench.admit("a", "urgent", 1s);
    bench.admit("a", "unnamed", 1s);
    const LimitReport report = bench.policy->report();
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

// Guards against a verdict that is given on the wrong worker or not at all.
TEST_CASE("an admission client posts both ways")
{
    AdmissionBench bench;
    std::deque<std::function<void()>> home;
    std::deque<std::function<void()>> self;
    AdmissionClient client(
            *bench.policy, [&](auto task) { home.push_back(std::move(task)); },
            [&](auto task) { self.push_back(std::move(task)); });
    Decisions verdicts;
    client.admit({"a", "x", bench.timers.now() + 1s},
                 [&](AdmissionDecision verdict) { verdicts.push_back(verdict); });
    CHECK(bench.policy->report().running == 0);
    home.front()();
    CHECK(bench.policy->report().running == 1);
    CHECK(verdicts.empty());
    self.front()();
    CHECK(verdicts == Decisions{Admitted});
    client.finish(5ms, false);
    home.back()();
    CHECK(bench.policy->report().running == 0);
}

namespace {

/// Searchers of one service: a number of slots with a queue before them.
struct ServerModel
{
    std::uint32_t slots = 20;
    /// Longer queues are shed at once.
    std::size_t queueBound = SIZE_MAX;
};

struct OverloadResult
{
    double answeredPerSecond = 0;
    double urgentServed = 0;
    std::uint64_t dispatchedLate = 0;
};

/// Poisson arrivals with a deadline of 300 ms, a tenth of them urgent, for 30 s after 10 s of
/// warm-up. Service takes 10 to 30 ms, so that capacity is slots / 20 ms.
OverloadResult measureOverload(AdmissionKind kind, ServerModel model, double load)
{
    constexpr Duration WarmUp = 10s;
    constexpr Duration Measured = 30s;
    AdmissionBench bench(kind, 1);
    ManualTimerService &timers = bench.timers;
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
        bench.policy->admit({"a", isUrgent ? "urgent" : "ordinary", deadline},
                            [&, isUrgent, isMeasured, deadline](AdmissionDecision verdict) {
                                if (verdict != Admitted)
                                    return;
                                const TimePoint admittedAt = timers.now();
                                result.dispatchedLate += admittedAt >= deadline;
                                if (busy >= model.slots && queue.size() >= model.queueBound) {
                                    timers.schedule(1ms, [&] { bench.policy->finish(1ms, true); });
                                    return;
                                }
                                std::function<void()> done = [&, isUrgent, isMeasured, deadline,
                                                              admittedAt] {
                                    const TimePoint now = timers.now();
                                    const bool inTime = isMeasured && now <= deadline;
                                    answered += inTime;
                                    urgentAnswered += inTime && isUrgent;
                                    bench.policy->finish(now - admittedAt, false);
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
    // Long enough for the queue that unlimited admission leaves.
    timers.advance(WarmUp + Measured + 100s);
    CHECK(bench.policy->report().running == 0);
    result.answeredPerSecond =
            static_cast<double>(answered) / std::chrono::duration<double>(Measured).count();
    result.urgentServed = static_cast<double>(urgentAnswered) / static_cast<double>(urgentOffered);
    return result;
}

} // namespace

// Guards the targets at twice the capacity: answered work at least 90% of that at capacity, urgent
// service at least 99%, nothing past its deadline dispatched.
TEST_CASE("overload does not lower the answered work")
{
    const auto [failure, model, load] = GENERATE(table<const char *, ServerModel, double>({
            {"searchers queue without bound", ServerModel{20, SIZE_MAX}, 2.0},
            {"searchers shed above a short queue", ServerModel{20, 10}, 2.0},
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
    // Ten times the load brings as much urgent work as the whole capacity.
    if (load <= 2.0)
        CHECK(overloaded.urgentServed >= 0.99);
    CHECK(overloaded.dispatchedLate == 0);
}

// Shows that the tables above measure the policy: without limits the same load is answered late.
TEST_CASE("the unlimited baseline answers late under overload")
{
    const OverloadResult result = measureOverload(AdmissionKind::Unlimited, {}, 2.0);
    CHECK(result.answeredPerSecond < 0.5 * 1000);
}

// Guards against eight daemons that together start with more than a second of queued work, and then
// take its latency for that of searchers without a queue.
TEST_CASE("the first bound follows what searchers run at once")
{
    const auto [failure, slots, members, expected] =
            GENERATE(table<const char *, std::uint32_t, std::uint32_t, std::uint32_t>({
                    {"unknown slots lower the bound", 0, 8, 16},
                    {"eight daemons start as if each were alone", 6, 8, 1},
                    {"a lone daemon starts too low", 6, 1, 12},
                    {"many slots lift the first bound", 600, 8, 16},
            }));
    INFO(failure);
    ManualTimerService timers;
    const auto policy = makeAdmissionPolicy(AdmissionKind::Weighted, timers);
    policy->setParallelism(slots, members);
    CHECK(policy->report().concurrency == expected);
}
