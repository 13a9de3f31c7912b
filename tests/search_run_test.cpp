#include "support/property.h"
#include "support/routing.h"
#include "support/scripted_sender.h"

#include <catch2/catch.hpp>

#include <geraniumcart/manual_timer_service.h>
#include <geraniumcart/search.h>

#include <algorithm>

using namespace geraniumcart;
using namespace geraniumcart::test;
using namespace std::chrono_literals;

namespace {

/// Hedges sub-requests at a fixed age, or never without a delay.
class FixedHedging final : public HedgingPolicy
{
public:
    explicit FixedHedging(std::optional<Duration> delay)
        : m_delay(delay)
    {
    }
    void observe(Duration) override {}
    std::optional<Duration> delay() const override { return m_delay; }

private:
    std::optional<Duration> m_delay;
};

/// The dependencies of a search run, and the outcomes that it reported.
struct Fixture
{
    Fixture(ScriptedSender::Script script, std::unique_ptr<HedgingPolicy> policy)
        : hedging(std::move(policy))
        , sender(timers, std::move(script))
    {
    }

    std::shared_ptr<SearchRun> start(ServiceRouting routing, Duration deadline = 100ms,
                                     double minCoverage = 0)
    {
        SearchQuery query{"s", timers.now() + deadline, std::make_shared<const std::string>("{}"),
                          minCoverage};
        auto run = SearchRun::create(
                {timers, sender, *choice, *hedging, hedgeBudget, retryBudget, &stats},
                pinOf(std::move(routing)), std::move(query), [this](SearchOutcome outcome) {
                    finishedAt.push_back(timers.now());
                    outcomes.push_back(std::move(outcome));
                });
        run->start();
        return run;
    }

    ManualTimerService timers;
    Stats stats;
    std::unique_ptr<ReplicaChoice> choice = makeReplicaChoice(ReplicaChoiceKind::LeastLoaded, 1);
    std::unique_ptr<HedgingPolicy> hedging;
    AttemptBudget hedgeBudget{0.05, 10};
    AttemptBudget retryBudget{0.2, 10};
    ScriptedSender sender;
    std::vector<SearchOutcome> outcomes;
    std::vector<TimePoint> finishedAt;
};

/// Expected outcome of a search.
struct Expected
{
    SearchStatus status = SearchStatus::Answered;
    std::uint32_t answered = 0;
    std::uint32_t sent = 0;
    std::vector<MissingReason> missing;
    /// Time from the start to the outcome.
    Duration after{};
};

} // namespace

// Guards against false coverage, unlimited retries and a late outcome when the sub-requests to one
// shard fail, straggle or get a wrong answer.
TEST_CASE("a search reports its true coverage after each kind of failure of a shard")
{
    // Four shards of three replicas, hedged after 20 ms; the script concerns shard 2.
    const auto [failure, script, minCoverage,
                expected] = GENERATE(table<const char *, std::function<Reply(std::uint32_t)>,
                                           double, Expected>({
            {"no failure", [](std::uint32_t) { return Reply{}; }, 1.0,
             Expected{SearchStatus::Answered, 4, 4, {}, 5ms}},
            {"refusal is not retried",
             [](std::uint32_t n) {
                 return n == 0 ? Reply{1ms, SubRequestFailure::Refused} : Reply{};
             },
             1.0, Expected{SearchStatus::Answered, 4, 5, {}, 6ms}},
            {"lost connection is not retried",
             [](std::uint32_t n) {
                 return n == 0 ? Reply{1ms, SubRequestFailure::ConnectionLost} : Reply{};
             },
             1.0, Expected{SearchStatus::Answered, 4, 5, {}, 6ms}},
            {"retries are not limited",
             [](std::uint32_t) { return Reply{1ms, SubRequestFailure::Refused}; }, 0.0,
             Expected{SearchStatus::Answered, 3, 6, {MissingReason::NoCapacity}, 5ms}},
            {"partial answer is accepted below the minimum coverage",
             [](std::uint32_t) { return Reply{1ms, SubRequestFailure::Failed}; }, 0.8,
             Expected{SearchStatus::BelowMinCoverage, 3, 6, {MissingReason::Failed}, 5ms}},
            {"answer of another index version is merged",
             [](std::uint32_t) { return Reply{1ms, {}, IndexVersion + 1}; }, 0.0,
             Expected{SearchStatus::Answered, 3, 6, {MissingReason::WrongVersion}, 5ms}},
            {"answer of another shard is merged",
             [](std::uint32_t) { return Reply{1ms, {}, {}, 3}; }, 0.0,
             Expected{SearchStatus::Answered, 3, 6, {MissingReason::Failed}, 5ms}},
            {"straggler is not hedged",
             [](std::uint32_t n) { return n == 0 ? Reply{200ms} : Reply{}; }, 1.0,
             Expected{SearchStatus::Answered, 4, 5, {}, 25ms}},
            {"straggling hedge is not hedged again",
             [](std::uint32_t n) { return n < 2 ? Reply{200ms} : Reply{}; }, 1.0,
             Expected{SearchStatus::Answered, 4, 6, {}, 45ms}},
            {"outcome waits for the caller's deadline", [](std::uint32_t) { return Reply{200ms}; },
             0.0,
             Expected{SearchStatus::Answered,
                      3,
                      6,
                      {MissingReason::TimedOut},
                      100ms - SearchAnswerMargin}},
            {"duplicate answer counts twice",
             [](std::uint32_t) { return Reply{1ms, {}, {}, {}, 2}; }, 1.0,
             Expected{SearchStatus::Answered, 4, 4, {}, 5ms}},
    }));
    INFO(failure);

    Fixture fixture(
            [script = script](const SubRequest &request, std::uint32_t attempt) {
                return request.shard == 2 ? script(attempt) : Reply{};
            },
            std::make_unique<FixedHedging>(20ms));
    const TimePoint startedAt = fixture.timers.now();
    fixture.start(makeRouting(4, 3), 100ms, minCoverage);
    CHECK(fixture.outcomes.empty());
    fixture.timers.advance(1s);

    REQUIRE(fixture.outcomes.size() == 1);
    const SearchOutcome &outcome = fixture.outcomes.front();
    CHECK(outcome.status == expected.status);
    CHECK(outcome.coverage.shardsAnswered == expected.answered);
    CHECK(outcome.coverage.shardsTotal == 4);
    CHECK(outcome.coverage.documentsSearched == expected.answered * DocumentsPerShard);
    CHECK(outcome.coverage.documentsTotal == 4 * DocumentsPerShard);
    CHECK(outcome.subRequests == expected.sent);
    CHECK(fixture.sender.sent.size() == expected.sent);
    CHECK(fixture.finishedAt.front() - startedAt == expected.after);
    std::vector<MissingReason> reasons;
    for (const MissingShard &missing : outcome.missing) {
        CHECK(missing.shard == 2);
        reasons.push_back(missing.reason);
    }
    CHECK(reasons == expected.missing);
    // No attempt is open after the run has ended, and no replica is tried twice.
    CHECK(fixture.sender.openCount() == 0);
    CHECK(fixture.timers.pending() == 0);
    std::vector<const UpstreamState *> tried;
    for (const SubRequest &request : fixture.sender.sent)
        tried.push_back(request.upstream.get());
    std::ranges::sort(tried);
    CHECK(std::ranges::adjacent_find(tried) == tried.end());
}

// Guards against sub-requests that are sent for a late search, without a partition map or to
// draining searchers.
TEST_CASE("a search that cannot start reports the cause and sends nothing")
{
    const auto [failure, deadline, prepare, status, answeredTotal] =
            GENERATE(table<const char *, Duration, std::function<void(ServiceRouting &)>,
                           SearchStatus, std::uint32_t>({
                    {"late request is dispatched", Duration(0ms), [](ServiceRouting &) {},
                     SearchStatus::DeadlinePassed, 0},
                    {"request runs without a partition map", Duration(100ms),
                     [](ServiceRouting &routing) { routing.view.reset(); }, SearchStatus::NoIndex,
                     0},
                    {"request to draining searchers only is sent", Duration(100ms),
                     [](ServiceRouting &routing) {
                         for (Searcher &searcher : routing.searchers)
                             searcher.state->setDraining(true);
                     },
                     SearchStatus::Answered, 4},
            }));
    INFO(failure);

    Fixture fixture([](const SubRequest &, std::uint32_t) { return Reply{}; },
                    std::make_unique<FixedHedging>(std::nullopt));
    ServiceRouting routing = makeRouting(4, 2);
    prepare(routing);
    fixture.start(std::move(routing), deadline);
    CHECK(fixture.outcomes.empty());
    fixture.timers.advance(1s);
    REQUIRE(fixture.outcomes.size() == 1);
    CHECK(fixture.outcomes.front().status == status);
    CHECK(fixture.outcomes.front().coverage.shardsAnswered == 0);
    CHECK(fixture.outcomes.front().coverage.shardsTotal == answeredTotal);
    CHECK(fixture.outcomes.front().missing.size() == answeredTotal);
    CHECK(fixture.sender.sent.empty());
}

// Guards against searchers that keep working for a caller that has disconnected.
TEST_CASE("an abandoned search cancels its sub-requests and reports nothing")
{
    Fixture fixture([](const SubRequest &, std::uint32_t) { return Reply{50ms}; },
                    std::make_unique<FixedHedging>(20ms));
    const auto run = fixture.start(makeRouting(4, 2));
    fixture.timers.advance(10ms);
    run->abandon();
    fixture.timers.advance(1s);
    CHECK(fixture.outcomes.empty());
    CHECK(fixture.sender.cancelled.size() == 4);
    CHECK(fixture.sender.sent.size() == 4);
    CHECK(fixture.timers.pending() == 0);
}

// Guards against a flood of retries or hedges when most searchers fail or are slow at the same
// time.
TEST_CASE("retries and hedges stay within their budgets")
{
    const auto [failure, reply, maxExtra] = GENERATE(table<const char *, Reply, std::size_t>({
            {"all refused sub-requests are retried", Reply{1ms, SubRequestFailure::Refused},
             10 + 40},
            {"all sub-requests without capacity are retried",
             Reply{1ms, SubRequestFailure::NoCapacity}, 10 + 40},
            {"all stragglers are hedged", Reply{90ms}, 10 + 10},
    }));
    INFO(failure);

    Fixture fixture([reply = reply](const SubRequest &, std::uint32_t) { return reply; },
                    std::make_unique<FixedHedging>(20ms));
    fixture.start(makeRouting(200, 3));
    fixture.timers.advance(1s);
    REQUIRE(fixture.outcomes.size() == 1);
    CHECK(fixture.sender.sent.size() <= 200 + maxExtra);
}

namespace {

/// How a sub-request ends in the property test below.
enum class SimulatedEnd : std::uint8_t {
    Fast,
    Slow,
    Duplicate,
    CrossesCancel,
    Lost,
    Refused,
    ConnectionLost,
    WrongVersion,
    WrongShard,
    Count,
};

Reply replyOf(SimulatedEnd simulated, std::uint8_t jitter)
{
    const Duration early = 1ms + jitter * 100us;
    switch (simulated) {
    case SimulatedEnd::Fast:
    case SimulatedEnd::Count:
        return {early};
    case SimulatedEnd::Slow:
        return {early * 4};
    case SimulatedEnd::Duplicate:
        return {early, {}, {}, {}, 2};
    case SimulatedEnd::CrossesCancel:
        return {early * 4, {}, {}, {}, 0, true};
    case SimulatedEnd::Lost:
        return {10s, SubRequestFailure::TimedOut};
    case SimulatedEnd::Refused:
        return {early, SubRequestFailure::Refused};
    case SimulatedEnd::ConnectionLost:
        return {early, SubRequestFailure::ConnectionLost};
    case SimulatedEnd::WrongVersion:
        return {early, {}, IndexVersion - 1};
    case SimulatedEnd::WrongShard:
        return {early, {}, {}, 1000};
    }
    return {};
}

} // namespace

// Guards against false coverage, answers of another index version or shard in the results, and an
// outcome that is reported twice or not at all, under random mixes of late, lost, repeated and
// wrong answers.
TEST_CASE("a search reports one outcome with true coverage under any combination of faults")
{
    const auto [failure, shards, replicas, hedgeDelay] =
            GENERATE(table<const char *, std::uint32_t, std::uint32_t, std::optional<Duration>>({
                    {"one replica without a fallback", 5, 1, std::nullopt},
                    {"hedges cross answers", 8, 3, Duration(5ms)},
                    {"retries cross hedges of many replicas", 3, 6, Duration(2ms)},
            }));
    INFO(failure);

    const bool success = holds(
            failure, 11, 300, [=, shards = shards, replicas = replicas, hedgeDelay = hedgeDelay] {
                const auto ends = *rc::gen::container<std::vector<std::uint8_t>>(
                        64, rc::gen::arbitrary<std::uint8_t>());
                const auto jitters = *rc::gen::container<std::vector<std::uint8_t>>(
                        64, rc::gen::arbitrary<std::uint8_t>());
                const auto deadline = std::chrono::milliseconds(*rc::gen::inRange(1, 120));
                const bool isAbandoned = *rc::gen::inRange(0, 8) == 0;
                std::size_t next = 0;
                Fixture fixture(
                        [&](const SubRequest &, std::uint32_t) {
                            const std::size_t i = next++ % ends.size();
                            return replyOf(static_cast<SimulatedEnd>(
                                                   ends[i] % static_cast<int>(SimulatedEnd::Count)),
                                           jitters[i]);
                        },
                        std::make_unique<FixedHedging>(hedgeDelay));
                const TimePoint startedAt = fixture.timers.now();
                const auto run = fixture.start(makeRouting(shards, replicas), deadline);
                if (isAbandoned) {
                    fixture.timers.advance(deadline / 2);
                    run->abandon();
                }
                const std::size_t outcomesAtAbandon = fixture.outcomes.size();
                fixture.timers.advance(30s);

                RC_ASSERT(fixture.outcomes.size() == (isAbandoned ? outcomesAtAbandon : 1));
                RC_ASSERT(fixture.timers.pending() == 0);
                for (const SearchOutcome &outcome : fixture.outcomes) {
                    RC_ASSERT(outcome.indexVersion == IndexVersion);
                    RC_ASSERT(outcome.coverage.shardsTotal == shards);
                    RC_ASSERT(outcome.coverage.shardsAnswered == outcome.results.size());
                    RC_ASSERT(outcome.coverage.documentsSearched ==
                              outcome.results.size() * DocumentsPerShard);
                    RC_ASSERT(fixture.finishedAt.front() < startedAt + deadline);
                    // Each shard appears once, as a result of its own or as missing.
                    std::vector<std::uint32_t> seen;
                    for (const MissingShard &missing : outcome.missing)
                        seen.push_back(missing.shard);
                    for (const std::string &body : outcome.results) {
                        const auto shard = static_cast<std::uint32_t>(std::stoul(body));
                        seen.push_back(shard);
                        RC_ASSERT(std::ranges::any_of(
                                fixture.sender.delivered, [&](const auto &answer) {
                                    return answer.shard == shard &&
                                           answer.indexVersion == IndexVersion &&
                                           answer.at <= fixture.finishedAt.front();
                                }));
                    }
                    std::ranges::sort(seen);
                    RC_ASSERT(seen.size() == shards);
                    RC_ASSERT(std::ranges::adjacent_find(seen) == seen.end());
                }
            });
    CHECK(success);
}
