#include <catch2/catch.hpp>

#include <load_answer.h>
#include <load_main.h>
#include <load_plan.h>
#include <load_report.h>

#include <algorithm>
#include <cmath>

using namespace geraniumcart;
using namespace geraniumcart::tools;
using namespace std::chrono_literals;

namespace {

/// @return @p count ms down to 1 ms, in steps of 1 ms
std::vector<Duration> descendingMilliseconds(int count)
{
    std::vector<Duration> values;
    for (int i = count; i >= 1; --i)
        values.push_back(i * 1ms);
    return values;
}

LoadRecord record(LoadOutcome outcome, std::uint32_t status, std::uint32_t classIndex = 0)
{
    LoadRecord made;
    made.latency = 10ms;
    made.outcome = outcome;
    made.status = status;
    made.classIndex = classIndex;
    made.coverage = outcome == LoadOutcome::Complete ? 1 : 0.5;
    made.shardsTotal = 4;
    return made;
}

LoadRecord booking(LoadOutcome outcome, const char *key)
{
    LoadRecord made = record(outcome, outcome == LoadOutcome::BookingDone ? 200 : 503);
    made.isBooking = true;
    made.bookingKey = key;
    return made;
}

} // namespace

// Guards against percentiles that are off by one rank, so that tail latencies are reported too low.
TEST_CASE("percentiles are computed by the nearest-rank method")
{
    const auto [failure, count, p50, p99, p999] =
            GENERATE(table<const char *, int, Duration, Duration, Duration>({
                    {"fails without values", 0, 0ms, 0ms, 0ms},
                    {"misses the only value", 1, 1ms, 1ms, 1ms},
                    {"rounds the rank down", 10, 5ms, 10ms, 10ms},
                    {"is off by one rank", 100, 50ms, 99ms, 100ms},
                    {"is off by one rank at p99.9", 1000, 500ms, 990ms, 999ms},
            }));
    INFO(failure);
    const LatencySummary summary = summarizeLatency(descendingMilliseconds(count));
    CHECK(summary.count == static_cast<std::uint64_t>(count));
    CHECK(summary.p50 == p50);
    CHECK(summary.p99 == p99);
    CHECK(summary.p999 == p999);
}

// Guards against failed requests that are counted as answered, counted twice or not counted.
TEST_CASE("the report counts each request under exactly one outcome")
{
    using Member = std::uint64_t LoadReport::*;
    const auto [failure, ended, member, isAnswered] =
            GENERATE(table<const char *, LoadRecord, Member, bool>({
                    {"does not count a complete answer", record(LoadOutcome::Complete, 200),
                     &LoadReport::complete, true},
                    {"counts a partial answer as complete", record(LoadOutcome::Partial, 200),
                     &LoadReport::partial, true},
                    {"counts a refusal as answered", record(LoadOutcome::Refused, 503),
                     &LoadReport::refused, false},
                    {"counts a truncated answer as answered", record(LoadOutcome::CutOff, 0),
                     &LoadReport::cutOff, false},
                    {"does not count a failed connection attempt",
                     record(LoadOutcome::ConnectFailed, 0), &LoadReport::connectFailed, false},
                    {"does not count a timeout", record(LoadOutcome::TimedOut, 0),
                     &LoadReport::timedOut, false},
                    {"counts a malformed answer as answered", record(LoadOutcome::Malformed, 200),
                     &LoadReport::malformed, false},
            }));
    INFO(failure);
    const LoadReport report = summarizeLoad(std::vector{ended}, {{"ordinary", 3, 1}});
    const auto sum = report.complete + report.partial + report.refused + report.cutOff +
                     report.connectFailed + report.timedOut + report.malformed;
    CHECK(report.*member == 1);
    CHECK(sum == 1);
    CHECK(report.answered == static_cast<std::uint64_t>(isAnswered));
    CHECK(report.offeredWeight == 3);
    CHECK(report.answeredWeight == (isAnswered ? 3 : 0));
}

// Guards against a share of answered weight that ignores or swaps the weights of the classes.
TEST_CASE("the share of answered weight counts each class with its weight")
{
    const auto [failure, urgentOutcome, ordinaryOutcome,
                expected] = GENERATE(table<const char *, LoadOutcome, LoadOutcome, double>({
            {"does not count a partial answer", LoadOutcome::Complete, LoadOutcome::Partial, 1},
            {"counts all classes with the same weight", LoadOutcome::Complete, LoadOutcome::CutOff,
             8.0 / 9},
            {"swaps the weights of the classes", LoadOutcome::CutOff, LoadOutcome::Complete,
             1.0 / 9},
    }));
    INFO(failure);
    const auto statusOf = [](LoadOutcome outcome) {
        return outcome == LoadOutcome::CutOff ? 0U : 200U;
    };
    const std::vector<LoadRecord> records{record(urgentOutcome, statusOf(urgentOutcome), 0),
                                          record(ordinaryOutcome, statusOf(ordinaryOutcome), 1)};
    const LoadReport report = summarizeLoad(records, {{"urgent", 8, 0.5}, {"ordinary", 1, 0.5}});
    CHECK(report.answeredWeightShare() == Approx(expected));
}

// Guards against a wrong booking outcome that the comparison with the searchers' counts does not
// detect, and against a correct one that it reports.
TEST_CASE("booking outcomes are compared with the runs that the searchers counted")
{
    using Member = std::uint64_t BookingSummary::*;
    const auto [failure, outcome, runs, member] =
            GENERATE(table<const char *, LoadOutcome, std::uint32_t, Member>({
                    {"misses a second run", LoadOutcome::BookingDone, 2, &BookingSummary::ranTwice},
                    {"misses a second run without an outcome", LoadOutcome::CutOff, 2,
                     &BookingSummary::ranTwice},
                    {"misses a reported done that did not run", LoadOutcome::BookingDone, 0,
                     &BookingSummary::doneButNotRun},
                    {"misses a reported notRun that ran", LoadOutcome::BookingNotRun, 1,
                     &BookingSummary::notRunButRan},
                    {"reports a correct done", LoadOutcome::BookingDone, 1, nullptr},
                    {"reports a correct notRun", LoadOutcome::BookingNotRun, 0, nullptr},
                    {"reports a correct unknown", LoadOutcome::BookingUnknown, 0, nullptr},
            }));
    INFO(failure);
    BookingSummary summary;
    checkBookings(std::vector{booking(outcome, "a")}, {{"a", runs}}, summary);
    const auto faults = summary.ranTwice + summary.doneButNotRun + summary.notRunButRan;
    CHECK(faults == (member ? 1 : 0));
    if (member)
        CHECK(summary.*member == 1);
}

// Guards against a partial, malformed or failed answer that is recorded as a better outcome.
TEST_CASE("answers are parsed into their outcome and coverage")
{
    const auto [failure, isBooking, status, body, outcome, coverage] =
            GENERATE(table<const char *, bool, std::uint32_t, const char *, LoadOutcome, double>({
                    {"misreads a complete answer", false, 200,
                     R"({"coverage":{"shardsTotal":4,"documentsSearched":9,"documentsTotal":9,)"
                     R"("complete":true}})",
                     LoadOutcome::Complete, 1},
                    {"misreads a partial answer", false, 200,
                     R"({"coverage":{"shardsTotal":4,"documentsSearched":3,"documentsTotal":4,)"
                     R"("complete":false}})",
                     LoadOutcome::Partial, 0.75},
                    {"accepts an answer without coverage", false, 200, R"({"results":[]})",
                     LoadOutcome::Malformed, 0},
                    {"accepts truncated JSON", false, 200, R"({"coverage":)",
                     LoadOutcome::Malformed, 0},
                    {"misreads a refusal", false, 503, R"({"error":"overloaded","reason":"queue"})",
                     LoadOutcome::Refused, 0},
                    {"misreads done", true, 200, R"({"outcome":"done"})", LoadOutcome::BookingDone,
                     0},
                    {"misreads unknown", true, 502, R"({"outcome":"unknown"})",
                     LoadOutcome::BookingUnknown, 0},
                    {"misreads a refusal before dispatch", true, 429, R"({"outcome":"notRun"})",
                     LoadOutcome::BookingNotRun, 0},
                    {"accepts done with an error status", true, 502, R"({"outcome":"done"})",
                     LoadOutcome::Malformed, 0},
            }));
    INFO(failure);
    LoadRecord ended;
    ended.isBooking = isBooking;
    ended.status = status;
    readAnswer(body, ended);
    CHECK(ended.outcome == outcome);
    CHECK(ended.coverage == coverage);
}

// Guards against classes that are parsed wrongly, so that a run offers another mix than requested.
TEST_CASE("classes are parsed or refused with a reason")
{
    const auto [failure, text, expected, reason] =
            GENERATE(table<const char *, const char *, std::size_t, const char *>({
                    {"refuses a single class", "ordinary:1:1", 1, ""},
                    {"skips a class", "urgent:8:0.2,ordinary:1:0.8", 2, ""},
                    {"accepts a missing field", "urgent:8", 0, "name:weight:share"},
                    {"accepts a weight of zero", "urgent:0:1", 0, "name:weight:share"},
                    {"accepts trailing text", "urgent:8:1x", 0, "name:weight:share"},
                    {"accepts shares below 1", "urgent:8:0.2,ordinary:1:0.5", 0, "add up"},
                    {"accepts one class twice", "a:1:0.5,a:1:0.5", 0, "twice"},
            }));
    INFO(failure);
    std::string message;
    const auto classes = parseClasses(text, message);
    CHECK((classes ? classes->size() : 0) == expected);
    CHECK_THAT(message, Catch::Matchers::Contains(reason));
}

// Guards against arrivals that do not have the requested rate or mix, or differ between runs with
// the same seed.
TEST_CASE("arrivals follow the rate, the mix and the seed")
{
    const auto [failure, rate, bookings, urgent] =
            GENERATE(table<const char *, double, double, double>({
                    {"the rate is wrong", 1000, 0, 0.5},
                    {"the share of bookings is wrong", 50, 0.25, 0.5},
                    {"the share of a class is wrong", 200, 0, 0.1},
            }));
    INFO(failure);
    constexpr int Count = 20000;
    const ArrivalConfig config{
            rate, {{"urgent", 8, urgent}, {"ordinary", 1, 1 - urgent}}, 3, bookings};
    ArrivalProcess arrivals(config, 7);
    ArrivalProcess same(config, 7);
    int booked = 0;
    int urgentCount = 0;
    int differing = 0;
    PlannedRequest last;
    for (int i = 0; i < Count; ++i) {
        last = arrivals.next();
        differing += same.next().intendedStart != last.intendedStart;
        booked += last.isBooking;
        urgentCount += last.classIndex == 0;
    }
    CHECK(differing == 0);
    // The bounds are five standard deviations of each count.
    const auto bound = [](double share) { return 5 * std::sqrt(share * (1 - share) / Count); };
    CHECK(Count / std::chrono::duration<double>(last.intendedStart).count() ==
          Approx(rate).epsilon(5 / std::sqrt(Count)));
    CHECK(std::abs(booked / double(Count) - bookings) <= bound(bookings));
    CHECK(std::abs(urgentCount / double(Count) - urgent) <= bound(urgent));
}

// Guards against a run that starts with an invalid option, or a reason that does not name it.
TEST_CASE("invalid options of the load tool are refused with the name of the option")
{
    const auto [failure, flag, value, message] =
            GENERATE(table<const char *, const char *, const char *, const char *>({
                    {"accepts an invalid address", "--targets", "localhost", "IP:PORT"},
                    {"accepts both kinds of targets", "--entries", "127.0.0.1:2", "--entries"},
                    {"accepts a rate of zero", "--rate", "0", "--rate"},
                    {"accepts a share above 1", "--bookings", "1.5", "--bookings"},
                    {"accepts a deadline of zero", "--deadline", "0", "--deadline"},
                    {"accepts a malformed class", "--classes", "urgent", "--classes"},
                    {"accepts an unknown option", "--colour", "1", "colour"},
            }));
    INFO(failure);
    const char *const arguments[] = {"load",        "--service", "corte", "--targets",
                                     "127.0.0.1:1", flag,        value};
    std::string reason;
    CHECK_FALSE(parseLoadOptions(7, arguments, reason));
    CHECK_THAT(reason, Catch::Matchers::Contains(message));
}

// Guards against an option that is parsed as the value of the option before it.
TEST_CASE("the load tool refuses an option as the name of a service")
{
    const auto [failure, service, isAccepted] = GENERATE(table<const char *, const char *, bool>({
            {"the name of a service is refused", "lend-front", true},
            {"an option is accepted as the name of a service", "--rate", false},
            {"an empty name is accepted", "", false},
    }));
    INFO(failure);
    const char *const arguments[] = {"geraniumcart-load", "--entries", "127.0.0.1:1", "--service",
                                     service};
    std::string reason;
    CHECK(parseLoadOptions(5, arguments, reason).has_value() == isAccepted);
}
