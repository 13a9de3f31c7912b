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

// Guards against cold starts that are miscounted, so that a daemon looks better or worse than it
// is.
TEST_CASE("the cold bound counts starts above the bearable rate")
{
    // 20 a second, doubling each second after the first answer; one start in flight at a time.
    const auto [failure, gap, starts, answered, exceeded] =
            GENERATE(table<const char *, Duration, int, bool, std::uint64_t>({
                    {"counts a paced sender", 50ms, 60, false, 0},
                    {"counts jitter of a paced sender", 48ms, 2, false, 0},
                    {"misses a burst", 1ms, 12, false, 10},
                    {"miscounts a steady excess", 25ms, 60, false, 29},
                    {"doubles before the first answer", 45ms, 60, false, 5},
                    {"ignores the doubling", 45ms, 60, true, 0},
                    {"counts starts of a warm searcher", 1ms, 6000, true, 4105},
            }));
    INFO(failure);
    SearcherLimits limits;
    ColdStartTracker account(limits, {4, 0, 0ms, 0ms});
    TimePoint now{1h};
    account.becomeCold(now, true);
    std::uint64_t counted = 0;
    for (int i = 0; i < starts; ++i) {
        const ColdStartTracker::Start start = account.start(now);
        counted += start.isRateExceeded;
        CHECK_FALSE(start.isConcurrencyExceeded);
        account.finish(start.epoch);
        if (answered)
            account.recordAnswer(now);
        now += gap;
    }
    CHECK(counted == exceeded);
}

// Guards against holding requests against a daemon that could not know of the cold state yet.
TEST_CASE("an unannounced cold state counts only after an answer told of it")
{
    const auto [failure, announced, answers, exceeded] =
            GENERATE(table<const char *, bool, bool, bool>({
                    {"misses a burst after a restart", true, false, true},
                    {"counts before any answer", false, false, false},
                    {"misses a burst after the answer", false, true, true},
            }));
    INFO(failure);
    ColdStartTracker account(SearcherLimits{}, {});
    TimePoint now{1h};
    account.becomeCold(now, announced);
    if (answers)
        account.recordBootIdSent(now);
    now += 30ms;
    bool hasRateExceeded = false;
    bool hasConcurrencyExceeded = false;
    for (int i = 0; i < 5; ++i) {
        const ColdStartTracker::Start start = account.start(now);
        hasRateExceeded = hasRateExceeded || start.isRateExceeded;
        hasConcurrencyExceeded = hasConcurrencyExceeded || start.isConcurrencyExceeded;
    }
    CHECK(hasRateExceeded == exceeded);
    CHECK(hasConcurrencyExceeded == exceeded);
}

// Guards against arrivals beyond the slots that run, vanish or go uncounted.
TEST_CASE("arrivals beyond the slots queue and are then refused")
{
    const auto [failure, arrivals, ran, refused, exceeded] =
            GENERATE(table<const char *, std::uint32_t, int, int, std::uint64_t>({
                    {"counts arrivals within the slots", 2, 2, 0, 0},
                    {"loses queued arrivals", 4, 4, 0, 2},
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

// Guards against bookings that ran twice and are not found, within one searcher or across several.
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
                    {"misses one id twice", {{0, "1", "a"}, {0, "1", "a"}}, 1, 1},
                    {"misses a key on two searchers", {{0, "1", "a"}, {1, "2", "a"}}, 0, 1},
                    {"misses a third run", {{0, "1", "a"}, {1, "1", "a"}, {1, "2", "a"}}, 1, 2},
                    {"takes bookings without a key for one", {{0, "1", ""}, {1, "2", ""}}, 0, 0},
            }));
    INFO(failure);
    BookingRunCounts ledgers[2];
    for (const Run &run : runs)
        ledgers[run.searcher].recordRun(run.id, run.key);
    ledgers[0].merge(ledgers[1]);
    CHECK(ledgers[0].repeatedIds() == repeatedIds);
    CHECK(ledgers[0].repeatedKeys() == repeatedKeys);
}

// Guards against a refusal that says "not run" for a request that ran, and runs that go unreported.
TEST_CASE("what an answer says agrees with what ran")
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
                                    {"runs on another index version",
                                     [](SearcherModel &) {},
                                     {"1", RequestKind::Search, 7, 100ms, {}},
                                     SearcherOutcome::NotRun,
                                     0},
                                    {"says not run after a failure",
                                     [](SearcherModel
                                                &model) { model.faults().failProbability = 1; },
                                     search("1"), SearcherOutcome::Failed, 1},
                                    {"runs what it closes on",
                                     [](SearcherModel
                                                &model) { model.faults().closesAfterRead = true; },
                                     search("1"), SearcherOutcome::Closed, 0},
                                    {"says not run after a lost answer",
                                     [](SearcherModel
                                                &model) { model.faults().closesBeforeAnswer = true; },
                                     search("1"), SearcherOutcome::Closed, 1},
                                    {"lets a route fault befall the other route",
                                     [](SearcherModel &model) {
                                         model.faults().failProbability = 1;
                                         model.faults().route = RequestKind::Book;
                                     },
                                     search("1"), SearcherOutcome::Ran, 1},
                                    {"lets a load fault befall an idle searcher",
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

// Guards against a cancelled request that keeps its slot, or a booking that is cancelled half way.
TEST_CASE("cancellation frees the slot of a search only")
{
    const auto [failure, kind, position, honoured, started] =
            GENERATE(table<const char *, RequestKind, int, bool, std::uint64_t>({
                    {"leaves a cancelled search running", RequestKind::Search, 0, true, 3},
                    {"starts a search cancelled in the queue", RequestKind::Search, 2, true, 2},
                    {"takes back a booking that has started", RequestKind::Book, 0, false, 3},
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
