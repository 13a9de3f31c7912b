#include "support/routing.h"
#include "support/scripted_sender.h"

#include <catch2/catch.hpp>

#include <geraniumcart/manual_timer_service.h>
#include <geraniumcart/search.h>

#include <algorithm>
#include <random>
#include <thread>

using namespace geraniumcart;
using namespace geraniumcart::test;
using namespace std::chrono_literals;

// Guards against retries or hedges that exceed their share of first attempts, and against a budget
// that is empty at the start.
TEST_CASE("an attempt budget holds what first attempts added, up to its reserve")
{
    const auto [failure, share, reserve, earned, expected] =
            GENERATE(table<const char *, double, std::uint32_t, std::uint32_t, int>({
                    {"the reserve is empty at the start", 0.05, 10, 0, 10},
                    {"tokens exceed the reserve", 0.05, 10, 100000, 10},
                    {"tokens exceed a reserve of 0", 0.05, 0, 1000, 0},
                    {"share 0 adds tokens", 0, 0, 1000, 0},
            }));
    INFO(failure);
    AttemptBudget budget(share, reserve);
    budget.addFirstAttempts(earned);
    int taken = 0;
    while (budget.tryTake())
        ++taken;
    CHECK(taken == expected);
}

// Guards against tokens that are lost or counted twice when workers update the budget concurrently.
TEST_CASE("an attempt budget is exact under concurrent updates")
{
    constexpr std::uint32_t Reserve = 1000;
    constexpr std::uint32_t Rounds = 20000;
    AttemptBudget budget(0.05, Reserve);
    std::atomic<std::uint32_t> taken{0};
    std::vector<std::thread> threads;
    for (int i = 0; i < 3; ++i) {
        threads.emplace_back([&] {
            for (std::uint32_t round = 0; round < Rounds; ++round) {
                budget.addFirstAttempts(1);
                if (budget.tryTake())
                    ++taken;
            }
        });
    }
    for (std::thread &thread : threads)
        thread.join();
    CHECK(taken <= Reserve + 3 * Rounds / 20);
    // The remaining tokens make up the difference, so no token was lost.
    std::uint32_t left = 0;
    while (budget.tryTake())
        ++left;
    CHECK(taken + left + 1 >= Reserve);
    CHECK(taken + left <= Reserve + 3 * Rounds / 20);
}

// Guards against a delay that hedges too many sub-requests or none, because it follows stragglers,
// outdated latencies or too few samples.
TEST_CASE("the hedging delay follows the observed latency")
{
    const auto [failure, phases, lowest,
                highest] = GENERATE(table<const char *, std::vector<std::pair<int, Duration>>,
                                          std::optional<Duration>, std::optional<Duration>>({
            {"there is a delay after too few observations",
             {{64, 5ms}},
             std::nullopt,
             std::nullopt},
            {"delay is not the quantile", {{1000, 5ms}}, 5ms, 6ms},
            {"rare stragglers determine the delay", {{980, 5ms}, {20, 200ms}}, 5ms, 6ms},
            {"slow answers are hedged although they are frequent",
             {{900, 5ms}, {100, 50ms}},
             50ms,
             55ms},
            {"delay stays low after latency rose", {{50000, 5ms}, {10000, 40ms}}, 40ms, 44ms},
            {"delay stays high after latency fell", {{50000, 40ms}, {50000, 5ms}}, 5ms, 6ms},
            {"delay is below the resolution of timers", {{1000, 10us}}, 1ms, 1ms},
            {"latency is beyond the histogram", {{1000, 600s}}, 60s, 68s},
    }));
    INFO(failure);
    const auto policy = makeHedgingPolicy(HedgingKind::Quantile);
    for (const auto &[count, latency] : phases)
        for (int i = 0; i < count; ++i)
            policy->observe(latency);
    const std::optional<Duration> delay = policy->delay();
    REQUIRE(delay.has_value() == lowest.has_value());
    if (delay) {
        CHECK(*delay >= *lowest);
        CHECK(*delay <= *highest);
    }
}

namespace {

struct TailResult
{
    Duration p99{};
    double extraLoad = 0;
};

using Service = std::function<Duration(std::mt19937_64 &)>;

/// Simulates consecutive searches over 170 shards with three replicas each.
TailResult measureTail(HedgingKind kind, const Service &service)
{
    constexpr std::uint32_t Shards = 170;
    constexpr int WarmUpQueries = 20;
    constexpr int Queries = 2000;
    std::mt19937_64 random(5);
    ManualTimerService timers;
    const auto choice = makeReplicaChoice(ReplicaChoiceKind::LeastLoaded, 1);
    const auto hedging = makeHedgingPolicy(kind);
    AttemptBudget hedgeBudget(0.05, 20);
    AttemptBudget retryBudget(0.2, 20);
    ScriptedSender sender(timers, [&](const SubRequest &, std::uint32_t) {
        const bool isStraggler = std::uniform_int_distribution(0, 99)(random) == 0;
        return Reply{isStraggler ? 200ms : service(random)};
    });
    const SnapshotPin pin = pinOf(makeRouting(Shards, 3));
    const auto body = std::make_shared<const std::string>("{}");
    std::vector<Duration> latencies;
    std::uint64_t sent = 0;
    for (int i = 0; i < WarmUpQueries + Queries; ++i) {
        const TimePoint startedAt = timers.now();
        const auto run =
                SearchRun::create({timers, sender, *choice, *hedging, hedgeBudget, retryBudget},
                                  pin, {"s", startedAt + 1s, body, 0}, [&](SearchOutcome outcome) {
                                      REQUIRE(outcome.coverage.isComplete());
                                      if (i < WarmUpQueries)
                                          return;
                                      latencies.push_back(timers.now() - startedAt);
                                      sent += outcome.subRequests;
                                  });
        run->start();
        timers.advance(1s);
        sender.sent.clear();
        sender.delivered.clear();
        sender.cancelled.clear();
    }
    std::ranges::sort(latencies);
    REQUIRE(latencies.size() == Queries);
    return {latencies[Queries * 99 / 100],
            static_cast<double>(sent) / (Shards * static_cast<double>(Queries)) - 1};
}

} // namespace

// Guards against a hedging policy that misses stragglers or adds too much load. Targets: p99 at
// most 97 ms and at most half of that without hedging, extra load at most 5%, with 170 shards, a
// median service time of 5 ms and 1 answer in 100 taking 200 ms.
TEST_CASE("hedging bounds the tail latency of wide searches within its budget")
{
    const auto [failure, service] = GENERATE(table<const char *, Service>({
            {"constant service", [](std::mt19937_64 &) -> Duration { return 5ms; }},
            {"log-normal service",
             [](std::mt19937_64 &random) {
                 return std::chrono::duration_cast<Duration>(
                         5ms * std::lognormal_distribution(0.0, 0.5)(random));
             }},
            {"exponential service",
             [](std::mt19937_64 &random) {
                 return std::chrono::duration_cast<Duration>(
                         5ms / std::log(2) * std::exponential_distribution(1.0)(random));
             }},
    }));
    INFO(failure);
    const TailResult hedged = measureTail(HedgingKind::Quantile, service);
    const TailResult plain = measureTail(HedgingKind::None, service);
    const auto inMs = [](Duration d) {
        return std::chrono::duration<double, std::milli>(d).count();
    };
    INFO("hedged p99 " << inMs(hedged.p99) << " ms, extra load " << hedged.extraLoad);
    INFO("plain p99 " << inMs(plain.p99) << " ms");
    CHECK(hedged.p99 <= 97ms);
    CHECK(hedged.extraLoad <= 0.05);
    CHECK(hedged.p99 * 2 <= plain.p99);
    CHECK(plain.extraLoad == 0);
}
