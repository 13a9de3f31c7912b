#include <catch2/catch.hpp>

#include <geraniumcart/manual_timer_service.h>
#include <geraniumcart/snapshot.h>

#include <atomic>
#include <thread>
#include <vector>

using namespace geraniumcart;
using namespace std::chrono_literals;

// Guards against a pinned snapshot that is freed or partly replaced while newer ones are published.
TEST_CASE("a pinned snapshot stays valid while newer ones are published")
{
    const auto [failure, readers, publications] = GENERATE(table<const char *, int, int>({
            {"reader races one publisher", 1, 2000},
            {"several readers race one publisher", 4, 500},
    }));
    INFO(failure);

    SnapshotPublisher publisher;
    std::atomic<bool> stop{false};
    std::atomic<int> inconsistent{0};
    std::vector<std::thread> threads;
    for (int i = 0; i < readers; ++i) {
        threads.emplace_back([&] {
            std::uint64_t last = 0;
            while (!stop) {
                const SnapshotPin pin = publisher.pin();
                if (pin->generation != pin->rulesVersion || pin->generation < last)
                    ++inconsistent;
                last = pin->generation;
            }
        });
    }
    for (int i = 1; i <= publications; ++i) {
        RoutingSnapshot snapshot;
        snapshot.generation = static_cast<std::uint64_t>(i);
        snapshot.rulesVersion = snapshot.generation;
        publisher.publish(std::move(snapshot));
    }
    stop = true;
    for (std::thread &thread : threads)
        thread.join();
    CHECK(inconsistent == 0);
    CHECK(publisher.pin()->generation == static_cast<std::uint64_t>(publications));
}

// Guards against timers that fire early, twice, out of order or after cancel.
TEST_CASE("manual timers fire once, in order")
{
    const auto [failure, step, expected] =
            GENERATE(table<const char *, std::chrono::milliseconds, std::vector<int>>({
                    {"fires early", 9ms, {}},
                    {"misses a due timer", 10ms, {1}},
                    {"fires out of order or after cancel", 100ms, {1, 3}},
            }));
    INFO(failure);

    ManualTimerService timers;
    std::vector<int> fired;
    timers.schedule(30ms, [&] { fired.push_back(3); });
    timers.schedule(10ms, [&] { fired.push_back(1); });
    timers.cancel(timers.schedule(20ms, [&] { fired.push_back(2); }));
    timers.advance(step);
    CHECK(fired == expected);
}
