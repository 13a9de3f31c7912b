#include <catch2/catch.hpp>

#include <geraniumcart/manual_timer_service.h>

#include <searcher_model.h>

#include <vector>

using namespace geraniumcart;
using namespace geraniumcart::tools;
using namespace std::chrono_literals;

namespace {

SearcherModelConfig plainConfig()
{
    SearcherModelConfig config;
    config.service = "corte";
    config.serviceTime = {5ms, 0, 0, 200ms};
    config.startsWarm = true;
    config.documents = {{1, 100}};
    config.queueLength = 2;
    return config;
}

SearcherCall search(const std::string &id)
{
    return {id, RequestKind::Search, 1, 100ms, {}};
}

} // namespace

// Guards against a miscount of violations of the cold rate limit, which would make a daemon look
// better or worse than it is. Requests start at a fixed interval, with or without answers.
TEST_CASE("starts above the rate that a cold searcher can handle are counted")
{
    // The limit is 20 requests per second and doubles each second after the first answer. One
    // request runs at a time.
    const auto [failure, gap, starts, answered, exceeded] =
            GENERATE(table<const char *, Duration, int, bool, std::uint64_t>({
                    {"counts requests sent at the rate limit", 50ms, 60, false, 0},
                    {"counts two requests slightly closer than the rate limit", 48ms, 2, false, 0},
                    {"does not count a burst", 1ms, 12, false, 10},
                    {"miscounts a steady rate above the limit", 25ms, 60, false, 29},
                    {"doubles the rate before the first answer", 45ms, 60, false, 5},
                    {"does not double the rate after the first answer", 45ms, 60, true, 0},
                    {"counts requests that start on a warm searcher", 1ms, 6000, true, 4105},
            }));
    INFO(failure);
    SearcherLimits limits;
    ColdStartTracker tracker(limits, {4, 0, 0ms, 0ms});
    TimePoint now{1h};
    tracker.becomeCold(now, true);
    std::uint64_t counted = 0;
    for (int i = 0; i < starts; ++i) {
        const ColdStartTracker::Start start = tracker.start(now);
        counted += start.isRateExceeded;
        CHECK_FALSE(start.isConcurrencyExceeded);
        tracker.finish(start.epoch);
        if (answered)
            tracker.recordAnswer(now);
        now += gap;
    }
    CHECK(counted == exceeded);
}

// Guards against violations counted against a daemon that could not know of the cold state: the
// searcher became cold with open connections and has not sent an answer since.
TEST_CASE("after an unannounced cold start, violations count once an answer reported it")
{
    const auto [failure, announced, answers, exceeded] =
            GENERATE(table<const char *, bool, bool, bool>({
                    {"does not count a burst after a restart", true, false, true},
                    {"counts before any answer", false, false, false},
                    {"does not count a burst after the answer", false, true, true},
            }));
    INFO(failure);
    ColdStartTracker tracker(SearcherLimits{}, {});
    TimePoint now{1h};
    tracker.becomeCold(now, announced);
    if (answers)
        tracker.recordBootIdSent(now);
    now += 30ms;
    bool hasRateExceeded = false;
    bool hasConcurrencyExceeded = false;
    for (int i = 0; i < 5; ++i) {
        const ColdStartTracker::Start start = tracker.start(now);
        hasRateExceeded = hasRateExceeded || start.isRateExceeded;
        hasConcurrencyExceeded = hasConcurrencyExceeded || start.isConcurrencyExceeded;
    }
    CHECK(hasRateExceeded == exceeded);
    CHECK(hasConcurrencyExceeded == exceeded);
}

// Guards against requests that arrive while all slots are in use and that run at once, get no
// answer or are not counted.
TEST_CASE("requests beyond the slots are queued, and refused once the queue is full")
{
    const auto [failure, arrivals, ran, refused, exceeded] =
            GENERATE(table<const char *, std::uint32_t, int, int, std::uint64_t>({
                    {"counts requests within the slots", 2, 2, 0, 0},
                    {"loses queued requests", 4, 4, 0, 2},
                    {"queues without bound", 7, 4, 3, 5},
            }));
    INFO(failure);
    ManualTimerService timers;
    SearcherModel model(plainConfig(), timers, 1);
    std::vector<SearcherOutcome> outcomes;
    for (std::uint32_t i = 0; i < arrivals; ++i)
        model.call(search(std::to_string(i)),
                   [&](const SearcherAnswer &answer) { outcomes.push_back(answer.outcome); });
    CHECK(model.report().inFlight == std::min(arrivals, 4U));
    timers.advance(20ms);
    CHECK(std::ranges::count(outcomes, SearcherOutcome::Ran) == ran);
    CHECK(std::ranges::count(outcomes, SearcherOutcome::NotRun) == refused);
    CHECK(model.counters().slotsExceeded == exceeded);
    CHECK(model.counters().shed == static_cast<std::uint64_t>(refused));
    CHECK(model.report().inFlight == 0);
}

// Guards against bookings that ran twice, on one searcher or on several, and are not counted. A
// booking repeats if its request id or its key occurs again.
TEST_CASE("bookings that ran twice are counted")
{
    struct Run
    {
        int searcher;
        const char *id;
        const char *key;
    };
    const auto [failure, runs, repeatedIds, repeatedKeys] =
            GENERATE(table<const char *, std::vector<Run>, std::uint64_t, std::uint64_t>({
                    {"counts single runs", {{0, "1", "a"}, {1, "2", "b"}}, 0, 0},
                    {"misses a repeated id", {{0, "1", "a"}, {0, "1", "a"}}, 1, 1},
                    {"misses a key on two searchers", {{0, "1", "a"}, {1, "2", "a"}}, 0, 1},
                    {"misses a third run", {{0, "1", "a"}, {1, "1", "a"}, {1, "2", "a"}}, 1, 2},
                    {"counts bookings without a key as the same booking",
                     {{0, "1", ""}, {1, "2", ""}},
                     0,
                     0},
            }));
    INFO(failure);
    BookingRunCounts counts[2];
    for (const Run &run : runs)
        counts[run.searcher].recordRun(run.id, run.key);
    counts[0].merge(counts[1]);
    CHECK(counts[0].repeatedIds() == repeatedIds);
    CHECK(counts[0].repeatedKeys() == repeatedKeys);
}

// Guards against an answer that says "not run" for a request that ran, or the reverse, when a
// request is refused or a fault applies.
TEST_CASE("the outcome in the answer agrees with whether the request ran")
{
    using Prepare = std::function<void(SearcherModel &)>;
    const auto [failure, prepare, call, outcome, runs] =
            GENERATE(
                    table<const char *, Prepare, SearcherCall, SearcherOutcome, std::uint64_t>(
                            {
                                    {"refuses a plain request", [](SearcherModel &) {}, search("1"),
                                     SearcherOutcome::Ran, 1},
                                    {"runs past the deadline",
                                     [](SearcherModel &) {},
                                     {"1", RequestKind::Search, 1, 0ms, {}},
                                     SearcherOutcome::NotRun,
                                     0},
                                    {"runs on an index version that is not served",
                                     [](SearcherModel &) {},
                                     {"1", RequestKind::Search, 7, 100ms, {}},
                                     SearcherOutcome::NotRun,
                                     0},
                                    {"reports a failed request as not run",
                                     [](SearcherModel &model) {
                                         model.faults().failProbability = 1;
                                     },
                                     search("1"), SearcherOutcome::Failed, 1},
                                    {"runs a request on whose arrival it closes the connection",
                                     [](SearcherModel &model) {
                                         model.faults().closesAfterRead = true;
                                     },
                                     search("1"), SearcherOutcome::Closed, 0},
                                    {"reports a request whose answer is lost as not run",
                                     [](SearcherModel &model) {
                                         model.faults().closesBeforeAnswer = true;
                                     },
                                     search("1"), SearcherOutcome::Closed, 1},
                                    {"applies a fault of one route to the other",
                                     [](SearcherModel &model) {
                                         model.faults().failProbability = 1;
                                         model.faults().route = RequestKind::Book;
                                     },
                                     search("1"), SearcherOutcome::Ran, 1},
                                    {"applies a fault that needs load to an idle searcher",
                                     [](SearcherModel &model) {
                                         model.faults().failProbability = 1;
                                         model.faults().aboveInFlight = 1;
                                     },
                                     search("1"), SearcherOutcome::Ran, 1},
                            }));
    INFO(failure);
    ManualTimerService timers;
    SearcherModel model(plainConfig(), timers, 1);
    prepare(model);
    std::vector<SearcherOutcome> outcomes;
    model.call(call, [&](const SearcherAnswer &answer) { outcomes.push_back(answer.outcome); });
    timers.advance(10ms);
    CHECK(outcomes == std::vector{outcome});
    CHECK(model.counters().searchesStarted == runs);
}

// Guards against a cancelled request that keeps its slot, so that the next queued request does not
// start, and against cancelling a booking that already runs.
TEST_CASE("cancellation releases the slot of a running search but not of a running booking")
{
    const auto [failure, kind, position, honoured, started] =
            GENERATE(table<const char *, RequestKind, int, bool, std::uint64_t>({
                    {"leaves a cancelled search running", RequestKind::Search, 0, true, 3},
                    {"starts a search cancelled in the queue", RequestKind::Search, 2, true, 2},
                    {"cancels a booking that has started", RequestKind::Book, 0, false, 3},
                    {"starts a booking cancelled in the queue", RequestKind::Book, 2, true, 2},
            }));
    INFO(failure);
    ManualTimerService timers;
    SearcherModel model(plainConfig(), timers, 1);
    int answers = 0;
    for (int i = 0; i < 3; ++i)
        model.call({std::to_string(i), kind, 1, 100ms, {}},
                   [&](const SearcherAnswer &) { ++answers; });
    CHECK(model.cancel(std::to_string(position)) == honoured);
    CHECK(model.counters().cancelsHonoured == static_cast<std::uint64_t>(honoured));
    timers.advance(20ms);
    CHECK(model.counters().searchesStarted + model.counters().bookingsRun == started);
    CHECK(answers == 3);
    CHECK(model.report().inFlight == 0);
}
