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

/// Hedges at a fixed age.
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

/// Everything that a search run needs, with its outcomes.
struct SearchBench
{
    SearchBench(ScriptedSender::Script script, std::unique_ptr<HedgingPolicy> policy)
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

struct Expected
{
    SearchStatus status = SearchStatus::Answered;
    std::uint32_t answered = 0;
    std::uint32_t sent = 0;
    std::vector<MissingReason> missing;
    Duration after{};
};

} // namespace

TEST_CASE("a search ends with true coverage after each failure of a shard")
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
             [](std::uint32_t
                        n) { return n == 0 ? Reply{1ms, SubRequestFailure::ConnectionLost} : Reply{}; },
             1.0, Expected{SearchStatus::Answered, 4, 5, {}, 6ms}},
            {"retries go on without end",
             [](std::uint32_t) { return Reply{1ms, SubRequestFailure::Refused}; }, 0.0,
             Expected{SearchStatus::Answered, 3, 6, {MissingReason::NoCapacity}, 5ms}},
            {"partial answer passes below the wanted coverage",
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

    SearchBench bench(
            [script = script](const SubRequest &request, std::uint32_t attempt) {
                return request.shard == 2 ? script(attempt) : Reply{};
            },
            std::make_unique<FixedHedging>(20ms));
    const TimePoint startedAt = bench.timers.now();
    bench.start(makeRouting(4, 3), 100ms, minCoverage);
    CHECK(bench.outcomes.empty());
    bench.timers.advance(1s);

    REQUIRE(bench.outcomes.size() == 1);
    const SearchOutcome &outcome = bench.outcomes.front();
    CHECK(outcome.status == expected.status);
    CHECK(outcome.coverage.shardsAnswered == expected.answered);
    CHECK(outcome.coverage.shardsTotal == 4);
    CHECK(outcome.coverage.documentsSearched == expected.answered * DocumentsPerShard);
    CHECK(outcome.coverage.documentsTotal == 4 * DocumentsPerShard);
    CHECK(outcome.subRequests == expected.sent);
    CHECK(bench.sender.sent.size() == expected.sent);
    CHECK(bench.finishedAt.front() - startedAt == expected.after);
    std::vector<MissingReason> reasons;
    for (const MissingShard &missing : outcome.missing) {
        CHECK(missing.shard == 2);
        reasons.push_back(missing.reason);
    }
    CHECK(reasons == expected.missing);
    // No attempt outlives its run, and no replica is tried twice.
    CHECK(bench.sender.openCount() == 0);
    CHECK(bench.timers.pending() == 0);
    std::vector<const UpstreamState *> tried;
    for (const SubRequest &request : bench.sender.sent)
        tried.push_back(request.upstream.get());
    std::ranges::sort(tried);
    CHECK(std::ranges::adjacent_find(tried) == tried.end());
}

TEST_CASE("a search that cannot start says why and sends nothing")
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

    SearchBench bench([](const SubRequest &, std::uint32_t) { return Reply{}; },
                      std::make_unique<FixedHedging>(std::nullopt));
    ServiceRouting routing = makeRouting(4, 2);
    prepare(routing);
    bench.start(std::move(routing), deadline);
    CHECK(bench.outcomes.empty());
    bench.timers.advance(1s);
    REQUIRE(bench.outcomes.size() == 1);
    CHECK(bench.outcomes.front().status == status);
    CHECK(bench.outcomes.front().coverage.shardsAnswered == 0);
    CHECK(bench.outcomes.front().coverage.shardsTotal == answeredTotal);
    CHECK(bench.outcomes.front().missing.size() == answeredTotal);
    CHECK(bench.sender.sent.empty());
}

// Guards against work that goes on for a caller who has left.
TEST_CASE("an abandoned search cancels its sub-requests and reports nothing")
{
    SearchBench bench([](const SubRequest &, std::uint32_t) { return Reply{50ms}; },
                      std::make_unique<FixedHedging>(20ms));
    const auto run = bench.start(makeRouting(4, 2));
    bench.timers.advance(10ms);
    run->abandon();
    bench.timers.advance(1s);
    CHECK(bench.outcomes.empty());
    CHECK(bench.sender.cancelled.size() == 4);
    CHECK(bench.sender.sent.size() == 4);
    CHECK(bench.timers.pending() == 0);
}

// Guards against a storm of retries or hedges when most searchers fail or straggle at once.
TEST_CASE("retries and hedges stay inside their budgets")
{
    const auto [failure, reply, mostExtra] = GENERATE(table<const char *, Reply, std::size_t>({
            {"all refuse and are retried", Reply{1ms, SubRequestFailure::Refused}, 10 + 40},
            {"no capacity anywhere and all retried", Reply{1ms, SubRequestFailure::NoCapacity},
             10 + 40},
            {"all straggle and are hedged", Reply{90ms}, 10 + 10},
    }));
    INFO(failure);

    SearchBench bench([reply = reply](const SubRequest &, std::uint32_t) { return reply; },
                      std::make_unique<FixedHedging>(20ms));
    bench.start(makeRouting(200, 3));
    bench.timers.advance(1s);
    REQUIRE(bench.outcomes.size() == 1);
    CHECK(bench.sender.sent.size() <= 200 + mostExtra);
}

namespace {

/// Kinds of end that a sub-request may have in the property below.
enum class Fate : std::uint8_t {
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

Reply replyOf(Fate fate, std::uint8_t jitter)
{
    const Duration early = 1ms + jitter * 100us;
    switch (fate) {
    case Fate::Fast:
    case Fate::Count:
        return {early};
    case Fate::Slow:
        return {early * 4};
    case Fate::Duplicate:
        return {early, {}, {}, {}, 2};
    case Fate::CrossesCancel:
        return {early * 4, {}, {}, {}, 0, true};
    case Fate::Lost:
        return {10s, SubRequestFailure::TimedOut};
    case Fate::Refused:
        return {early, SubRequestFailure::Refused};
    case Fate::ConnectionLost:
        return {early, SubRequestFailure::ConnectionLost};
    case Fate::WrongVersion:
        return {early, {}, IndexVersion - 1};
    case Fate::WrongShard:
        return {early, {}, {}, 1000};
    }
    return {};
}

} // namespace

// Guards against false coverage, mixed or foreign answers and a repeated or missing outcome.
TEST_CASE("coverage is true and the outcome comes once under any mix of faults")
{
    const auto [failure, shards, replicas, hedgeDelay] =
            GENERATE(table<const char *, std::uint32_t, std::uint32_t, std::optional<Duration>>({
                    {"one replica, nothing to fall back to", 5, 1, std::nullopt},
                    {"hedges cross answers", 8, 3, Duration(5ms)},
                    {"retries cross hedges of many replicas", 3, 6, Duration(2ms)},
            }));
    INFO(failure);

    const bool success = holds(
            failure, 11, 300, [=, shards = shards, replicas = replicas, hedgeDelay = hedgeDelay] {
                const auto fates = *rc::gen::container<std::vector<std::uint8_t>>(
                        64, rc::gen::arbitrary<std::uint8_t>());
                const auto jitters = *rc::gen::container<std::vector<std::uint8_t>>(
                        64, rc::gen::arbitrary<std::uint8_t>());
                const auto deadline = std::chrono::milliseconds(*rc::gen::inRange(1, 120));
                const bool isAbandoned = *rc::gen::inRange(0, 8) == 0;
                std::size_t next = 0;
                SearchBench bench(
                        [&](const SubRequest &, std::uint32_t) {
                            const std::size_t i = next++ % fates.size();
                            return replyOf(
                                    static_cast<Fate>(fates[i] % static_cast<int>(Fate::Count)),
                                    jitters[i]);
                        },
                        std::make_unique<FixedHedging>(hedgeDelay));
                const TimePoint startedAt = bench.timers.now();
                const auto run = bench.start(makeRouting(shards, replicas), deadline);
                if (isAbandoned) {
                    bench.timers.advance(deadline / 2);
                    run->abandon();
                }
                const std::size_t outcomesAtAbandon = bench.outcomes.size();
                bench.timers.advance(30s);

                RC_ASSERT(bench.outcomes.size() == (isAbandoned ? outcomesAtAbandon : 1));
                RC_ASSERT(bench.timers.pending() == 0);
                for (const SearchOutcome &outcome : bench.outcomes) {
                    RC_ASSERT(outcome.indexVersion == IndexVersion);
                    RC_ASSERT(outcome.coverage.shardsTotal == shards);
                    RC_ASSERT(outcome.coverage.shardsAnswered == outcome.results.size());
                    RC_ASSERT(outcome.coverage.documentsSearched ==
                              outcome.results.size() * DocumentsPerShard);
                    RC_ASSERT(bench.finishedAt.front() < startedAt + deadline);
                    // Each shard appears once, as a result of its own or as missing.
                    std::vector<std::uint32_t> seen;
                    for (const MissingShard &missing : outcome.missing)
                        seen.push_back(missing.shard);
                    for (const std::string &body : outcome.results) {
                        const auto shard = static_cast<std::uint32_t>(std::stoul(body));
                        seen.push_back(shard);
                        RC_ASSERT(std::ranges::any_of(
                                bench.sender.delivered, [&](const auto &answer) {
                                    return answer.shard == shard &&
                                           answer.indexVersion == IndexVersion &&
                                           answer.at <= bench.finishedAt.front();
                                }));
                    }
                    std::ranges::sort(seen);
                    RC_ASSERT(seen.size() == shards);
                    RC_ASSERT(std::ranges::adjacent_find(seen) == seen.end());
                }
            });
    CHECK(success);
}
