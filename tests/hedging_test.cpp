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

TEST_CASE("an attempt budget gives no more than was earned")
{
    const auto [failure, share, reserve, earned, expected] =
            GENERATE(table<const char *, double, std::uint32_t, std::uint32_t, int>({
                    {"reserve is missing at the start", 0.05, 10, 0, 10},
                    {"savings grow past the reserve", 0.05, 10, 100000, 10},
                    {"share is not earned", 0.05, 0, 1000, 0},
                    {"nothing may be taken at share 0", 0, 0, 1000, 0},
            }));
    INFO(failure);
    AttemptBudget budget(share, reserve);
    budget.addFirstAttempts(earned);
    int taken = 0;
    while (budget.tryTake())
        ++taken;
    CHECK(taken == expected);
}

// Guards against tokens that appear or vanish when workers race.
TEST_CASE("an attempt budget is exact under threads")
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
    // What was not taken is still there, so nothing got lost either.
    std::uint32_t left = 0;
    while (budget.tryTake())
        ++left;
    CHECK(taken + left + 1 >= Reserve);
    CHECK(taken + left <= Reserve + 3 * Rounds / 20);
}

TEST_CASE("the hedging delay follows the live latency")
{
    const auto [failure, phases, lowest,
                highest] = GENERATE(table<const char *, std::vector<std::pair<int, Duration>>,
                                          std::optional<Duration>, std::optional<Duration>>({
            {"delay without enough latencies", {{64, 5ms}}, std::nullopt, std::nullopt},
            {"delay is not the quantile", {{1000, 5ms}}, 5ms, 6ms},
            {"rare stragglers set the delay", {{980, 5ms}, {20, 200ms}}, 5ms, 6ms},
            {"common slowness is hedged all the same", {{900, 5ms}, {100, 50ms}}, 50ms, 55ms},
            {"delay stays low after latency rose", {{50000, 5ms}, {10000, 40ms}}, 40ms, 44ms},
            {"delay stays high after latency fell", {{50000, 40ms}, {50000, 5ms}}, 5ms, 6ms},
            {"delay below the resolution of timers", {{1000, 10us}}, 1ms, 1ms},
            {"latency beyond the histogram", {{1000, 600s}}, 60s, 68s},
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

/// Latency of searches over 170 shards of three replicas, one after another.
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

// Guards the targets: p99 at most 97 ms, at least twice better than without hedging, extra load at
// most 5%, with 170 shards, a median service time of 5 ms and 1 answer in 100 taking 200 ms.
TEST_CASE("hedging holds the tail of wide searches inside its budget")
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
