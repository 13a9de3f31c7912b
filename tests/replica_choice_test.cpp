#include "support/routing.h"

#include <catch2/catch.hpp>

#include <geraniumcart/replica_choice.h>

#include <functional>
#include <numeric>

using namespace geraniumcart;
using namespace geraniumcart::test;
using namespace std::chrono_literals;

namespace {

/// Range in which the share of one replica must be.
struct ShareBounds
{
    double lowest = 0;
    double highest = 1;
};

/// Measures the share of choices that each replica of one shard gets.
std::vector<double> measureShares(ReplicaChoice &choice, const ServiceRouting &routing,
                                  std::vector<std::uint32_t> excluded = {})
{
    constexpr int Choices = 20000;
    std::vector<std::uint32_t> candidates(routing.searchers.size());
    std::iota(candidates.begin(), candidates.end(), 0U);
    std::vector<double> shares(routing.searchers.size());
    for (int i = 0; i < Choices; ++i)
        if (const auto chosen = choice.choose(routing, candidates, excluded))
            shares[*chosen] += 1.0 / Choices;
    return shares;
}

constexpr ShareBounds Even{0.28, 0.39};
constexpr ShareBounds Half{0.42, 0.52};
constexpr ShareBounds None{0, 0};
constexpr ShareBounds Most{0.93, 1};
constexpr ShareBounds Few{0.001, 0.06};

void begin(UpstreamState &state, int count)
{
    for (int i = 0; i < count; ++i)
        state.begin();
}

} // namespace

// Guards against replicas that get too much or too little load because the choice ignores their
// state: draining, cold, failing, busy or slow. One shard has three replicas; the bounds are those
// of replicas 0, 1 and 2.
TEST_CASE("each replica gets the share of sub-requests that suits its state")
{
    using Prepare = std::function<void(std::vector<Searcher> &)>;
    const auto [failure, kind, prepare, bounds] =
            GENERATE(
                    table<const char *, ReplicaChoiceKind, Prepare, std::vector<ShareBounds>>({
                            {"equal replicas are not used evenly",
                             ReplicaChoiceKind::LeastLoaded,
                             [](auto &) {},
                             {Even, Even, Even}},
                            {"random choice is not even",
                             ReplicaChoiceKind::Random,
                             [](auto &) {},
                             {Even, Even, Even}},
                            {"draining replica gets new work",
                             ReplicaChoiceKind::LeastLoaded,
                             [](auto &s) { s[0].state->setDraining(true); },
                             {None, {0.45, 0.55}, {0.45, 0.55}}},
                            {"draining replica gets new work at random",
                             ReplicaChoiceKind::Random,
                             [](auto &s) { s[0].state->setDraining(true); },
                             {None, {0.45, 0.55}, {0.45, 0.55}}},
                            {"cold replica gets full load or never warms up",
                             ReplicaChoiceKind::LeastLoaded,
                             [](auto &s) { s[0].state->setCold(true); },
                             {{0.03, 0.07}, Half, Half}},
                            {"cold replica gets a second request at once",
                             ReplicaChoiceKind::LeastLoaded,
                             [](auto &s) {
                                 s[0].state->setCold(true);
                                 s[0].state->begin();
                             },
                             {None, {0.45, 0.55}, {0.45, 0.55}}},
                            {"nothing is sent when all replicas are cold",
                             ReplicaChoiceKind::LeastLoaded,
                             [](auto &s) {
                                 for (Searcher &searcher : s)
                                     searcher.state->setCold(true);
                             },
                             {Even, Even, Even}},
                            {"failing replica keeps its load, or its recovery is not detected",
                             ReplicaChoiceKind::LeastLoaded,
                             [](auto &s) {
                                 s[0].state->recordFailure();
                                 s[0].state->recordFailure();
                             },
                             {{0.005, 0.03}, {0.45, 0.52}, {0.45, 0.52}}},
                            {"busy replica gets new work",
                             ReplicaChoiceKind::LeastLoaded,
                             [](auto &s) { begin(*s[0].state, 3); },
                             {{0, 0.02}, {0.48, 0.52}, {0.48, 0.52}}},
                            {"slow replica keeps its load",
                             ReplicaChoiceKind::LeastLoaded,
                             [](auto &s) {
                                 s[0].state->recordLatency(80ms);
                                 s[1].state->recordLatency(5ms);
                                 s[2].state->recordLatency(5ms);
                             },
                             {Few, {0.45, 0.52}, {0.45, 0.52}}},
                            {"fast replica gets all sub-requests although it is busy",
                             ReplicaChoiceKind::LeastLoaded,
                             [](auto &s) {
                                 s[0].state->recordLatency(1ms);
                                 s[1].state->recordLatency(20ms);
                                 s[2].state->recordLatency(20ms);
                                 begin(*s[0].state, 4);
                             },
                             {{0, 0.02}, {0.48, 0.52}, {0.48, 0.52}}},
                            {"least busy of busy replicas is not chosen",
                             ReplicaChoiceKind::LeastLoaded,
                             [](auto &s) {
                                 begin(*s[0].state, 1);
                                 begin(*s[1].state, 8);
                                 begin(*s[2].state, 8);
                             },
                             {Most, {0, 0.04}, {0, 0.04}}},
                    }));
    INFO(failure);
    ServiceRouting routing = makeRouting(1, 3);
    prepare(routing.searchers);
    const auto choice = makeReplicaChoice(kind, 7);
    const std::vector<double> shares = measureShares(*choice, routing);
    for (std::size_t i = 0; i < bounds.size(); ++i) {
        INFO("replica " << i);
        CHECK(shares[i] >= bounds[i].lowest);
        CHECK(shares[i] <= bounds[i].highest);
    }
}

// Guards against violations of guarantee P5: a back-end version gets its share of the sub-requests,
// also if its replicas are draining or idle. It exceeds its share only if no other version can
// serve, and never with share 0. Replicas 0 and 1 run the old version, replica 2 the new one.
TEST_CASE("back-end versions get their share of sub-requests")
{
    using Shares = std::vector<VersionShare>;
    using Prepare = std::function<void(std::vector<Searcher> &)>;
    const auto [failure, versionShares, excluded, prepare, newVersion, total] =
            GENERATE(table<const char *, Shares, std::vector<std::uint32_t>, Prepare, ShareBounds,
                           ShareBounds>({
                    {"new version gets more than its share",
                     Shares{{"old", 0.95}, {"new", 0.05}},
                     {},
                     [](auto &) {},
                     {0.045, 0.052},
                     {1, 1}},
                    {"share depends on the number of replicas",
                     Shares{{"old", 0.5}, {"new", 0.5}},
                     {},
                     [](auto &) {},
                     {0.49, 0.51},
                     {1, 1}},
                    {"stopped version gets work",
                     Shares{{"old", 1}, {"new", 0}},
                     {},
                     [](auto &) {},
                     {0, 0},
                     {1, 1}},
                    {"version without a share gets work",
                     Shares{{"old", 1}},
                     {},
                     [](auto &) {},
                     {0, 0},
                     {1, 1}},
                    {"shard is missing although another version may serve it",
                     Shares{{"old", 0.95}, {"new", 0.05}},
                     {0, 1},
                     [](auto &) {},
                     {1, 1},
                     {1, 1}},
                    {"stopped version serves when no other is left",
                     Shares{{"old", 1}, {"new", 0}},
                     {0, 1},
                     [](auto &) {},
                     {0, 0},
                     {0, 0}},
                    {"draining replica serves its version's share",
                     Shares{{"old", 0.95}, {"new", 0.05}},
                     {},
                     [](auto &s) { s[2].state->setDraining(true); },
                     {0, 0},
                     {1, 1}},
                    {"idle new version gets more than its share for its low load",
                     Shares{{"old", 0.95}, {"new", 0.05}},
                     {},
                     [](auto &s) {
                         begin(*s[0].state, 9);
                         begin(*s[1].state, 9);
                     },
                     {0.045, 0.052},
                     {1, 1}},
            }));
    const auto kind = GENERATE(ReplicaChoiceKind::LeastLoaded, ReplicaChoiceKind::Random);
    INFO(failure);
    ServiceRouting routing = makeRouting(1, 3);
    for (std::size_t i = 0; i < 3; ++i)
        routing.searchers[i].entry.backEndVersion = i < 2 ? "old" : "new";
    routing.versionShares = versionShares;
    prepare(routing.searchers);
    const auto choice = makeReplicaChoice(kind, 7);
    const std::vector<double> shares = measureShares(*choice, routing, excluded);
    CHECK(shares[2] >= newVersion.lowest - 1e-9);
    CHECK(shares[2] <= newVersion.highest + 1e-9);
    const double sum = shares[0] + shares[1] + shares[2];
    CHECK(sum >= total.lowest - 1e-9);
    CHECK(sum <= total.highest + 1e-9);
}

// Guards against a version that exceeds its share in total, because some attempts can be served
// only by it and are not deducted from its later picks.
TEST_CASE("fallbacks to a version count against its later picks")
{
    ServiceRouting routing = makeRouting(1, 2);
    routing.searchers[0].entry.backEndVersion = "old";
    routing.searchers[1].entry.backEndVersion = "new";
    routing.versionShares = {{"old", 0.95}, {"new", 0.05}};
    const auto choice = makeReplicaChoice(ReplicaChoiceKind::LeastLoaded, 7);
    const std::vector<std::uint32_t> candidates{0, 1};
    const std::vector<std::uint32_t> hedged{0};
    constexpr int Rounds = 20000;
    int newVersion = 0;
    int total = 0;
    for (int i = 0; i < Rounds; ++i) {
        newVersion += choice->choose(routing, candidates, {}) == 1U;
        ++total;
        // One attempt in 25 is a hedge of a sub-request to the old version, so that only the new
        // version can serve it.
        if (i % 25 != 0)
            continue;
        newVersion += choice->choose(routing, candidates, hedged) == 1U;
        ++total;
    }
    CHECK(newVersion <= 0.051 * total);
}
