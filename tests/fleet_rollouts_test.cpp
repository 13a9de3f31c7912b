#include "support/fake_fleet.h"

#include <catch2/catch.hpp>

#include <geraniumcart/fleet_rollouts.h>

#include <algorithm>
#include <random>

using namespace geraniumcart;
using namespace geraniumcart::test;
using namespace std::chrono_literals;

namespace {

constexpr Duration HeartbeatInterval = 400ms;
constexpr Duration StepLength = 50ms;
constexpr Duration OrderLength = 12s;
/// The contract's bounds: share and number of a bad version's requests, and the time after its 50th
/// bad answer in which it must be let go.
constexpr double ExposureShare = 0.1;
constexpr double ExposureSlack = 50;
constexpr std::uint64_t BadAnswersUntilBound = 50;
constexpr Duration RollbackTime = 5s;

struct Behaviour
{
    double failureRate = 0.002;
    Duration latency = 20ms;
};
using BehaviourOf = Behaviour (*)(Duration sinceOrder, double share);

/// Daemons that move a service to a new version under load, with a store that keeps the order.
class RolloutFleet
{
public:
    RolloutFleet(std::size_t size, double requestsPerSecond, BehaviourOf fresh)
        : m_requestsPerSecond(requestsPerSecond)
        , m_fresh(fresh)
    {
        for (std::size_t i = 0; i < size; ++i)
            m_daemons.push_back(std::make_unique<Daemon>(*this, i));
    }

    void order(const std::string &version)
    {
        m_order = {"desk", version, OrderLength, RolloutState::Ordered, std::nullopt, ++m_revision};
        m_orderedAt = m_timers.now();
        tell();
    }
    void restart(std::size_t index)
    {
        m_retired.push_back(std::move(m_daemons[index]));
        m_daemons[index] = std::make_unique<Daemon>(*this, index);
        m_daemons[index]->rollouts.onRollout(m_order);
    }
    void run(Duration length)
    {
        for (Duration spent{}; spent < length; spent += StepLength) {
            m_timers.advance(StepLength);
            exchangeHeartbeats();
            for (const auto &daemon : m_daemons)
                serve(*daemon);
        }
    }

    RolloutState state() const { return m_order.state; }
    std::optional<Duration> endedAfter() const { return m_endedAfter; }
    std::uint64_t requests() const { return m_requests; }
    std::uint64_t freshRequests() const { return m_freshRequests; }
    std::uint64_t lateFreshRequests() const { return m_lateFreshRequests; }

    bool isStoreAway = false;

private:
    struct Daemon
    {
        Daemon(RolloutFleet &fleet, std::size_t daemonIndex)
            : index(daemonIndex)
            , builder(fleet.m_timers, views, {0.2, 100})
            , rollouts("d" + std::to_string(index), fleet.m_nextIncarnation++, fleet.m_timers,
                       builder,
                       {[&fleet](const RolloutOrder &order) { fleet.record(order); },
                        [this] { return index < 3; }})
            , choice("z0", 7 + index)
        {
            RouteTable table;
            table.version = 1;
            table.routes = {plainRoute()};
            table.services["desk"] = {"desk", 26, 0};
            builder.onRoutes(table);
            for (const char *version : {"v1", "v2"})
                for (int i = 0; i < 4; ++i) {
                    SearcherRecord record =
                            searcher("desk", std::string(version) + "-" + std::to_string(i));
                    record.version = version;
                    builder.onSearcher(record);
                }
            fleet.m_timers.advance(Duration::zero());
        }

        const std::size_t index;
        ServingViewPublisher views;
        ServingViewBuilder builder;
        FleetRollouts rollouts;
        UpstreamChoice choice;
    };

    void tell()
    {
        if (!isStoreAway)
            for (const auto &daemon : m_daemons)
                daemon->rollouts.onRollout(m_order);
    }
    void record(const RolloutOrder &order)
    {
        // A conditional write: only the first one on a revision takes effect.
        if (isStoreAway || order.revision != m_order.revision)
            return;
        const bool hasEnded = order.state != RolloutState::InService;
        if (hasEnded)
            m_endedAfter = m_timers.now() - m_orderedAt;
        m_order = order;
        m_order.revision = ++m_revision;
        m_timers.schedule(300ms, [this] { tell(); });
    }
    void exchangeHeartbeats()
    {
        if (m_timers.now() - m_lastHeartbeat < HeartbeatInterval)
            return;
        m_lastHeartbeat = m_timers.now();
        for (const auto &daemon : m_daemons) {
            const auto &peer = m_daemons[m_random() % m_daemons.size()];
            Gossip ping;
            daemon->rollouts.fill(ping);
            peer->rollouts.take("", ping);
            Gossip ack;
            peer->rollouts.fill(ack);
            daemon->rollouts.take("", ack);
        }
    }
    void serve(Daemon &daemon)
    {
        const double expected = m_requestsPerSecond / static_cast<double>(m_daemons.size()) *
                                std::chrono::duration<double>(StepLength).count();
        for (int left = std::poisson_distribution<int>(expected)(m_random); left > 0; --left) {
            const ServingViewPin view = daemon.views.pin();
            const ServiceUpstreams &service = *view->find("desk");
            const auto upstream = daemon.choice.choose(service, m_timers.now(),
                                                       [](const Upstream &) { return true; });
            REQUIRE(upstream);
            answer(*upstream, service.division);
        }
    }
    void answer(const Upstream &upstream, const VersionDivision &division)
    {
        const bool isFresh = upstream.version() == "v2";
        ++m_requests;
        m_freshRequests += isFresh ? 1 : 0;
        const Behaviour behaviour =
                isFresh ? m_fresh(m_timers.now() - m_orderedAt, division.share) : Behaviour();
        const bool isBad = std::uniform_real_distribution<>()(m_random) < behaviour.failureRate;
        if (isFresh && m_boundSince && m_timers.now() - *m_boundSince > RollbackTime)
            ++m_lateFreshRequests;
        const bool isCountedBad = isFresh && (isBad || behaviour.latency > 40ms);
        if (isCountedBad && ++m_badAnswers == BadAnswersUntilBound)
            m_boundSince = m_timers.now();
        const auto &evidence = isFresh ? division.versionCounters : division.otherCounters;
        if (!evidence)
            return;
        if (isBad)
            evidence->routes[0].addBad();
        else
            evidence->routes[0].addGood(behaviour.latency, false);
    }

    ManualTimerService m_timers;
    const double m_requestsPerSecond;
    const BehaviourOf m_fresh;
    std::mt19937 m_random{5};
    std::uint64_t m_nextIncarnation = 1;
    std::uint64_t m_revision = 0;
    RolloutOrder m_order;
    TimePoint m_orderedAt{};
    TimePoint m_lastHeartbeat{};
    std::optional<Duration> m_endedAfter;
    std::optional<TimePoint> m_boundSince;
    std::uint64_t m_requests = 0;
    std::uint64_t m_freshRequests = 0;
    std::uint64_t m_lateFreshRequests = 0;
    std::uint64_t m_badAnswers = 0;
    std::vector<std::unique_ptr<Daemon>> m_daemons;
    /// Daemons that were restarted: their timers may still be due.
    std::vector<std::unique_ptr<Daemon>> m_retired;
};

Behaviour isGood(Duration, double)
{
    return {};
}
Behaviour failsAtOnce(Duration, double)
{
    return {0.3, 20ms};
}
Behaviour failsLate(Duration sinceOrder, double)
{
    return {sinceOrder > 7s ? 0.4 : 0.002, 20ms};
}
Behaviour failsUnderLoad(Duration, double share)
{
    return {share > 0.3 ? 0.4 : 0.002, 20ms};
}
Behaviour isSlow(Duration, double)
{
    return {0.002, 80ms};
}

} // namespace

TEST_CASE("a good version gets all traffic in time and a bad one is rolled back within its bounds")
{
    const auto [failure, fresh,
                expected] = GENERATE(table<const char *, BehaviourOf, RolloutState>({
            {"a good version is rolled back or late", isGood, RolloutState::Completed},
            {"a failing version stays in service", failsAtOnce, RolloutState::RolledBack},
            {"a version that fails late stays in service", failsLate, RolloutState::RolledBack},
            {"a version that fails under load stays in service", failsUnderLoad,
             RolloutState::RolledBack},
            {"a slow version stays in service", isSlow, RolloutState::RolledBack},
    }));
    const auto [size, requestsPerSecond] =
            GENERATE(table<std::size_t, double>({{7, 20}, {7, 100}, {60, 100}}));
    INFO(failure << ", " << size << " daemons, " << requestsPerSecond << " requests a second");
    RolloutFleet fleet(size, requestsPerSecond, fresh);
    fleet.order("v2");
    fleet.run(OrderLength);
    CHECK(fleet.state() == expected);
    REQUIRE(fleet.endedAfter());
    CHECK(*fleet.endedAfter() < OrderLength);
    if (expected != RolloutState::RolledBack)
        return;
    CHECK(static_cast<double>(fleet.freshRequests()) <=
          ExposureShare * static_cast<double>(fleet.requests()) + ExposureSlack);
    CHECK(fleet.lateFreshRequests() == 0);
}

// Guards against a wait for the store before a bad version is let go.
TEST_CASE("a bad version gets nothing more although the store is away")
{
    RolloutFleet fleet(7, 100, failsAtOnce);
    fleet.order("v2");
    fleet.isStoreAway = true;
    fleet.run(8s);
    const std::uint64_t fresh = fleet.freshRequests();
    fleet.run(2s);
    CHECK(fleet.freshRequests() == fresh);
    CHECK(fleet.state() == RolloutState::Ordered);
    fleet.isStoreAway = false;
    fleet.run(2s);
    CHECK(fleet.state() == RolloutState::RolledBack);
}

// Guards against a move that starts over, and is late, because a daemon forgot when it began.
TEST_CASE("restarts of daemons do not make a rollout late")
{
    RolloutFleet fleet(7, 100, isGood);
    fleet.order("v2");
    fleet.run(5s);
    for (std::size_t i = 0; i < 7; ++i)
        fleet.restart(i);
    fleet.run(OrderLength - 5s);
    CHECK(fleet.state() == RolloutState::Completed);
    CHECK(fleet.endedAfter() < OrderLength);
}

// Guards against searchers that a record of the past keeps out for good.
TEST_CASE("what a finished rollout leaves in force")
{
    const auto [failure, state, version,
                isServed] = GENERATE(table<const char *, RolloutState, const char *, bool>({
            {"the completed version gets nothing", RolloutState::Completed, "v2", true},
            {"old searchers get requests after the move", RolloutState::Completed, "v1", false},
            {"a version that was rolled back is used", RolloutState::RolledBack, "v2", false},
            {"the old version is not used again", RolloutState::RolledBack, "v1", true},
            {"a later version is kept out by an old record", RolloutState::RolledBack, "v3", true},
    }));
    INFO(failure);
    GatewayCell cell({plainRoute()});
    FleetRollouts rollouts("d0", 1, cell.timers, cell.builder,
                           {[](const RolloutOrder &) {}, [] { return false; }});
    for (const char *name : {"v1", "v2", "v3"}) {
        SearcherRecord record = searcher("desk", name);
        record.version = name;
        cell.add(record);
    }
    rollouts.onRollout({"desk", "v2", 12s, state, std::nullopt, 4});
    cell.advance(1s);
    const auto isUsed = [&cell](const std::string &of) {
        const ServingViewPin view = cell.views.pin();
        return std::ranges::any_of(view->find("desk")->upstreams, [&of](const auto &upstream) {
            return upstream->version() == of;
        });
    };
    CHECK(isUsed(version) == isServed);
    // Entries of the old searchers have lapsed by then, so that what is there is new.
    cell.advance(10s);
    CHECK(isUsed(version) == (isServed || state == RolloutState::Completed));
}
