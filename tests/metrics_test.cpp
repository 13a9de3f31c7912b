#include <catch2/catch.hpp>

#include <geraniumcart/invariants.h>
#include <geraniumcart/metrics.h>

#include <sstream>
#include <thread>

using namespace geraniumcart;
using namespace std::chrono_literals;

// Guards against wrong quantiles or coverage: slow requests that are averaged away, partial answers
// that count as complete, and values outside the range of the histograms.
TEST_CASE("summaries contain quantiles and coverage of each tenant and class")
{
    using Sample = std::pair<Duration, double>;
    const auto [failure, samples, p50, p99,
                coverage] = GENERATE(table<const char *, std::vector<Sample>, Duration, Duration,
                                           double>({
            {"single request", {{10ms, 1.0}}, 10ms, 10ms, 1.0},
            {"partial answers count as complete", {{10ms, 1.0}, {10ms, 0.5}}, 10ms, 10ms, 0.75},
            {"slow request is averaged away",
             {{10ms, 1.0}, {10ms, 1.0}, {400ms, 1.0}},
             10ms,
             400ms,
             1.0},
            {"latency beyond the axis", {{500s, 1.0}}, 100s, 100s, 1.0},
            {"negative latency or coverage above one", {{-1ms, 1.5}}, 100us, 100us, 1.0},
    }));
    INFO(failure);
    Stats stats;
    for (const auto &[latency, share] : samples)
        stats.recordRequest("club", "urgent", latency, share);
    const std::vector<SeriesSummary> summaries = stats.summaries();
    REQUIRE(summaries.size() == 1);
    CHECK(summaries[0].tenant == "club");
    CHECK(summaries[0].className == "urgent");
    CHECK(summaries[0].count == samples.size());
    // A bin is 12% wide.
    const auto isNear = [](Duration value, Duration expected) {
        return value >= expected * 88 / 100 && value <= expected * 113 / 100;
    };
    CHECK(isNear(summaries[0].p50, p50));
    CHECK(isNear(summaries[0].p99, p99));
    CHECK(summaries[0].meanCoverage == Approx(coverage));
}

// Guards against requests that are lost or counted twice when threads add a series at the same time
// or share a set of histograms.
TEST_CASE("the requests of all threads are counted once")
{
    const auto [failure, threadCount, tenants] = GENERATE(table<const char *, int, int>({
            {"threads share a series", 4, 1},
            {"threads race to add series", 4, 50},
            {"more threads than sets of histograms", 70, 3},
    }));
    INFO(failure);
    constexpr int Requests = 1000;
    Stats stats;
    std::vector<std::thread> threads;
    for (int t = 0; t < threadCount; ++t) {
        threads.emplace_back([&stats, tenants = tenants] {
            for (int i = 0; i < Requests; ++i)
                stats.recordRequest("t" + std::to_string(i % tenants), "c", 5ms, 1.0);
        });
    }
    // Reads while the other threads record; this must neither crash nor count anything twice.
    const auto early = stats.summaries();
    CHECK(early.size() <= static_cast<std::size_t>(tenants));
    for (std::thread &thread : threads)
        thread.join();
    std::uint64_t total = 0;
    const auto summaries = stats.summaries();
    for (const SeriesSummary &summary : summaries)
        total += summary.count;
    CHECK(summaries.size() == static_cast<std::size_t>(tenants));
    CHECK(total == static_cast<std::uint64_t>(threadCount) * Requests);
}

// Guards against memory and metrics text that grow with the number of names that callers send.
TEST_CASE("the number of series is bounded")
{
    Stats stats;
    constexpr std::uint64_t Names = 4 * MaxStatsSeries;
    for (std::uint64_t i = 0; i < Names; ++i)
        stats.recordRequest("t" + std::to_string(i), "c", 5ms, 1.0);
    stats.recordRequest("other", "other", 5ms, 1.0);
    const auto summaries = stats.summaries();
    CHECK(summaries.size() <= MaxStatsSeries + 1);
    CHECK(summaries.size() > MaxStatsSeries / 2);
    std::uint64_t total = 0;
    std::uint64_t others = 0;
    for (const SeriesSummary &summary : summaries) {
        total += summary.count;
        others += summary.tenant == "other";
    }
    CHECK(total == Names + 1);
    CHECK(others == 1);
}

// Guards against metrics text that a Prometheus server cannot parse, or that misses a sample.
TEST_CASE("the Prometheus text follows the format")
{
    const auto [failure, line] = GENERATE(table<const char *, const char *>({
            {"a counter is missing", "geraniumcart_hedges_total 3"},
            {"a counter has no type", "# TYPE geraniumcart_hedges_total counter"},
            {"a histogram has no type", "# TYPE geraniumcart_request_duration_seconds histogram"},
            {"a count is missing or a label is not escaped",
             "geraniumcart_request_duration_seconds_count{tenant=\"a\\\"b\\\\\\n\",class=\"c\"} 2"},
            {"a sum is missing",
             "geraniumcart_request_duration_seconds_sum{tenant=\"a\\\"b\\\\\\n\",class=\"c\"} 0.5"},
            {"the last bucket is not the total",
             "geraniumcart_request_duration_seconds_bucket{tenant="
             "\"a\\\"b\\\\\\n\",class=\"c\",le=\"+Inf\"} 2"},
            {"the coverage is missing",
             "geraniumcart_request_coverage_sum{tenant=\"a\\\"b\\\\\\n\",class=\"c\"} 1.5"},
    }));
    INFO(failure);
    Stats stats;
    stats.add(Counter::Hedges, 3);
    stats.recordRequest("a\"b\\\n", "c", 100ms, 1.0);
    stats.recordRequest("a\"b\\\n", "c", 400ms, 0.5);
    const std::string text = stats.prometheusText();
    CHECK(text.find(std::string(line) + "\n") != std::string::npos);
    // The counts are per process, and other tests violate invariants on purpose.
    CHECK(text.find("geraniumcart_invariant_violations_total{invariant=\"atMostOnce\"} " +
                    std::to_string(invariantViolations(Invariant::AtMostOnce)) + "\n") !=
          std::string::npos);

    // The bucket values of a series never decrease, and every sample ends with a value.
    std::istringstream lines(text);
    double last = 0;
    for (std::string sample; std::getline(lines, sample);) {
        if (sample.starts_with('#'))
            continue;
        const double value = std::stod(sample.substr(sample.rfind(' ') + 1));
        if (sample.find("_bucket{") == std::string::npos) {
            last = 0;
            continue;
        }
        CHECK(value >= last);
        last = value;
    }
}
