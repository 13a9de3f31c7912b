#include <catch2/catch.hpp>

#include "connection/searcher_pool_p.h"
#include "tiny_searcher.h"

#include <geraniumcart/config.h>
#include <geraniumcart/manual_timer_service.h>

#include <boost/asio/io_context.hpp>

#include <map>
#include <string>
#include <vector>

using namespace geraniumcart;
using namespace std::chrono_literals;

namespace {

constexpr auto TestTimeout = 10s;
/// Shorter than the interval of probes, so that a warm-up can pass in one step.
constexpr Duration WarmUp = 1s;

/// A pool with a clock that only the test moves; its connections are real.
class PoolFixture : public SearcherPoolListener
{
    struct Listener final : SubRequestListener
    {
        void onAnswer(SubRequestAnswer) override {}
        void onFailure(SubRequestId, SubRequestFailure) override {}
    };

public:
    explicit PoolFixture(const std::string &address, std::uint32_t slots = 2)
        : state(std::make_shared<UpstreamState>(address))
        , pool({io, timers, *this, counters}, state, {.slots = slots, .warmUp = WarmUp}, {})
    {
    }
    void onAnswered(PoolRequest request, SubRequestAnswer) override { end(request.id, "answered"); }
    void onFailed(PoolRequest request, SubRequestFailure failure) override
    {
        end(request.id, toString(failure));
    }

    template <typename Condition>
    bool runUntil(Condition condition)
    {
        const auto end = std::chrono::steady_clock::now() + TestTimeout;
        while (!condition()) {
            if (std::chrono::steady_clock::now() > end)
                return false;
            io.restart();
            io.run_for(1ms);
        }
        return true;
    }
    SubRequestId submit(Duration remaining, RequestKind kind = RequestKind::Search)
    {
        pool.submit({++lastId, kind, state, 4, 5, timers.now() + remaining,
                     std::make_shared<const std::string>("{}"), std::make_shared<Listener>(), 0});
        return lastId;
    }
    /// The end of a sub-request, once it has come.
    std::string endOf(SubRequestId id)
    {
        runUntil([&] { return ends.contains(id); });
        return ends.contains(id) ? ends[id] : "none";
    }
    /// Makes the searcher warm, with all connections open.
    bool warmUp(const TinySearcher &searcher, std::uint64_t connections = 3)
    {
        const bool answered = endOf(submit(1s)) == "answered";
        const bool open = runUntil([&] { return counters.infoAnswers >= connections; });
        timers.advance(WarmUp);
        return answered && open && searcher.connections == static_cast<int>(connections) &&
               !state->isCold();
    }
    /// Moves the clock in steps that leave the searcher time to answer each probe.
    void elapse(Duration time)
    {
        while (time > 0ms) {
            const Duration step = std::min<Duration>(time, 50ms);
            timers.advance(step);
            time -= step;
            runUntil([&] { return counters.infoAnswers == counters.infoRequests; });
        }
    }

    boost::asio::io_context io;
    ManualTimerService timers;
    UpstreamCounters counters;
    std::map<SubRequestId, std::string> ends;
    SubRequestId lastId = 1000;
    std::shared_ptr<UpstreamState> state;
    SearcherPool pool;

private:
    void end(SubRequestId id, const char *outcome)
    {
        // A second end would replace the first.
        ends[id] = ends.contains(id) ? "twice" : outcome;
    }
};

std::string closedAddress()
{
    boost::asio::io_context io;
    using Tcp = boost::asio::ip::tcp;
    const Tcp::acceptor acceptor(io, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

} // namespace

// Guards against a sub-request that was never sent and is reported otherwise, or that is sent
// although its deadline has passed or the searcher leaves (P7, P9).
TEST_CASE("a sub-request that is not sent ends as proven not run")
{
    enum class Obstacle { Refused, BadAddress, PastDeadline, NoSlot, Cold, Draining, Retired };
    const auto [failure, obstacle,
                expected] = GENERATE(table<const char *, Obstacle, const char *>({
            {"refused connection waits for the deadline", Obstacle::Refused, "connectFailed"},
            {"bad address waits for the deadline", Obstacle::BadAddress, "connectFailed"},
            {"dispatched past its deadline", Obstacle::PastDeadline, "noCapacity"},
            {"dispatched beyond the slots", Obstacle::NoSlot, "noCapacity"},
            {"dispatched above the cold rate", Obstacle::Cold, "noCapacity"},
            {"dispatched while draining", Obstacle::Draining, "notSent"},
            {"dispatched after removal", Obstacle::Retired, "notSent"},
    }));
    INFO(failure);
    TinySearcher searcher;
    PoolFixture fixture(obstacle == Obstacle::Refused      ? closedAddress()
                        : obstacle == Obstacle::BadAddress ? "searcher"
                                                           : searcher.address());
    int sent = 0;
    if (obstacle != Obstacle::Refused && obstacle != Obstacle::BadAddress) {
        REQUIRE(fixture.warmUp(searcher));
        sent = 1;
    }
    Duration remaining = 100ms;
    switch (obstacle) {
    case Obstacle::Refused:
    case Obstacle::BadAddress:
        break;
    case Obstacle::PastDeadline:
        remaining = 500us;
        break;
    case Obstacle::NoSlot:
        searcher.reaction = Reaction::Silent;
        fixture.submit(60s);
        fixture.submit(60s);
        sent += 2;
        break;
    case Obstacle::Cold:
        searcher.reaction = Reaction::ResetAfterRequest;
        CHECK(fixture.endOf(fixture.submit(60s)) == "connectionLost");
        CHECK(fixture.state->isCold());
        remaining = 20ms;
        ++sent;
        break;
    case Obstacle::Draining:
        searcher.reaction = Reaction::Draining;
        CHECK(fixture.endOf(fixture.submit(1s)) == "answered");
        ++sent;
        break;
    case Obstacle::Retired:
        fixture.pool.retire();
        break;
    }
    REQUIRE(fixture.runUntil([&] { return searcher.requests == sent; }));
    const SubRequestId id = fixture.submit(remaining);
    // A request that waits must stay unsent until its deadline, however often the loop runs.
    if (obstacle == Obstacle::NoSlot || obstacle == Obstacle::Cold) {
        fixture.io.restart();
        fixture.io.run_for(5ms);
        CHECK_FALSE(fixture.ends.contains(id));
        fixture.timers.advance(remaining);
    }
    CHECK(fixture.endOf(id) == expected);
    CHECK(searcher.requests == sent);
}

// Guards against a connection that stays silent and keeps its slot for good, and against one that
// is closed while its searcher is merely slow (D12).
TEST_CASE("a silent connection is closed and replaced")
{
    const auto [failure, kind, remaining, othersProgress, closedAfter,
                expected] = GENERATE(table<const char *, RequestKind, Duration, bool, Duration,
                                           const char *>({
            {"kept past its deadline", RequestKind::Book, 100ms, false, 100ms + SilenceBound,
             "timedOut"},
            {"kept while others progress", RequestKind::Search, 5s, true, 400ms, "connectionLost"},
            {"slow searcher counts as silent", RequestKind::Search, 2s, false, 2s + SilenceBound,
             "timedOut"},
            {"booking given up early", RequestKind::Book, 2s, true, 2s + SilenceBound, "timedOut"},
            {"kept for a far deadline", RequestKind::Book, 60s, false, 10s, "connectionLost"},
    }));
    INFO(failure);
    TinySearcher searcher(Reaction::Answer);
    PoolFixture fixture(searcher.address());
    REQUIRE(fixture.warmUp(searcher));
    searcher.reaction = Reaction::Silent;
    const SubRequestId id = fixture.submit(remaining, kind);
    REQUIRE(fixture.runUntil([&] { return searcher.requests == 2; }));
    searcher.reaction = Reaction::Answer;
    for (int i = 0; i < 10 && othersProgress; ++i)
        CHECK(fixture.endOf(fixture.submit(1s)) == "answered");

    fixture.elapse(closedAfter - 10ms);
    CHECK(fixture.counters.silentConnections == 0);
    fixture.timers.advance(10ms);
    CHECK(fixture.endOf(id) == expected);
    CHECK(fixture.counters.silentConnections == 1);
    CHECK(fixture.runUntil([&] { return searcher.connections == 4; }));
}

// Guards against a restart that goes unnoticed (P3), and a warm searcher that is limited because
// it closed an idle connection.
TEST_CASE("a restart makes the searcher cold before it gets work")
{
    enum class Event { ResetInFlight, ResetIdle, CloseIdle, CloseIdleOtherBoot };
    const auto [failure, event, cold] = GENERATE(table<const char *, Event, bool>({
            {"lost request ignored", Event::ResetInFlight, true},
            {"reset connections ignored", Event::ResetIdle, true},
            {"idle timeout counts as a restart", Event::CloseIdle, false},
            {"work sent to a new process at full rate", Event::CloseIdleOtherBoot, true},
    }));
    INFO(failure);
    TinySearcher searcher;
    PoolFixture fixture(searcher.address());
    REQUIRE(fixture.warmUp(searcher));
    if (event == Event::CloseIdleOtherBoot)
        searcher.bootId = 2;
    if (event == Event::ResetInFlight) {
        searcher.reaction = Reaction::ResetAfterRequest;
        CHECK(fixture.endOf(fixture.submit(1s)) == "connectionLost");
    } else {
        searcher.closeConnections(event == Event::ResetIdle);
    }
    // The pool reconnects by itself and asks each new connection for its boot identity first.
    const std::uint64_t connections = event == Event::ResetInFlight ? 4 : 6;
    REQUIRE(fixture.runUntil([&] { return fixture.counters.infoAnswers >= connections; }));
    fixture.timers.advance(1s);
    searcher.reaction = Reaction::Answer;
    searcher.delay = 20ms;
    searcher.maxRunning = 0;
    const SubRequestId first = fixture.submit(60s);
    const SubRequestId second = fixture.submit(60s);
    CHECK(fixture.endOf(first) == "answered");
    CHECK(fixture.state->isCold() == cold);
    fixture.timers.advance(1s);
    CHECK(fixture.endOf(second) == "answered");
    CHECK(searcher.maxRunning == (cold ? 1 : 2));
    CHECK(fixture.counters.coldStarts == (cold ? 1 : 0));
}

// Guards against a cancelled sub-request that keeps its caller waiting, of which the searcher is
// not told, or whose late answer is taken for another's.
TEST_CASE("cancel and deadline end a sub-request before its answer")
{
    enum class Cause { CancelInFlight, CancelWaiting, Deadline };
    const auto [failure, cause, expected, told, late] =
            GENERATE(table<const char *, Cause, const char *, int, std::uint64_t>({
                    {"searcher not told", Cause::CancelInFlight, "cancelled", 1, 1},
                    {"waiting request still sent", Cause::CancelWaiting, "cancelled", 0, 0},
                    {"late answer not counted", Cause::Deadline, "timedOut", 0, 1},
            }));
    INFO(failure);
    TinySearcher searcher;
    PoolFixture fixture(searcher.address(), 1);
    REQUIRE(fixture.warmUp(searcher, 2));
    searcher.delay = 50ms;
    const SubRequestId inFlight = fixture.submit(100ms);
    const SubRequestId waiting = fixture.submit(60s);
    const SubRequestId id = cause == Cause::CancelWaiting ? waiting : inFlight;
    if (cause == Cause::Deadline)
        fixture.timers.advance(100ms);
    else
        fixture.pool.cancel(id);
    // The end does not wait for the searcher.
    REQUIRE(fixture.ends.contains(id));
    CHECK(fixture.ends[id] == expected);
    CHECK(fixture.endOf(cause == Cause::CancelWaiting ? inFlight : waiting) == "answered");
    CHECK(fixture.ends[id] == expected);
    CHECK(searcher.cancels == told);
    CHECK(fixture.counters.lateAnswers == late);
    CHECK(searcher.requests == (cause == Cause::CancelWaiting ? 2 : 3));
    // The connection that answered late was kept.
    CHECK(searcher.connections == 2);
}

// Guards against a searcher without traffic whose draining or restart stays unknown, and against
// one that cannot be used because it does not answer GET /info.
TEST_CASE("an idle searcher is probed")
{
    const auto [failure, hasInfo, drains, expected] =
            GENERATE(table<const char *, bool, bool, const char *>({
                    {"idle searcher loses its connection", true, false, "answered"},
                    {"draining unknown without traffic", true, true, "notSent"},
                    {"unanswered probe blocks work", false, false, "answered"},
            }));
    INFO(failure);
    // Structured bindings cannot be captured by clang 14.
    const bool answersInfo = hasInfo;
    const bool draining = drains;
    TinySearcher searcher;
    searcher.answersInfo = answersInfo;
    PoolFixture fixture(searcher.address());
    REQUIRE(fixture.runUntil([&, answersInfo = answersInfo] {
        return (answersInfo ? fixture.counters.infoAnswers.load() : searcher.infoCalls.load()) == 3;
    }));
    searcher.isDraining = draining;
    if (answersInfo) {
        fixture.elapse(2s);
        CHECK(searcher.infoCalls == 4);
    } else {
        fixture.timers.advance(500ms);
    }
    REQUIRE(fixture.runUntil(
            [&, draining = draining] { return fixture.state->isDraining() == draining; }));
    if (!answersInfo)
        REQUIRE(fixture.runUntil([&] { return searcher.connections == 6; }));
    const SubRequestId id = fixture.submit(1s);
    fixture.timers.advance(100ms);
    CHECK(fixture.endOf(id) == expected);
    CHECK(fixture.state->served() == ServedVersions{3, 5});
}

// Guards against a request that may have been sent and counts as not sent, and the reverse (P7).
TEST_CASE("only a connection that accepted no byte proves that a request was not sent")
{
    const auto [failure, withReset, started] = GENERATE(table<const char *, bool, bool>({
            {"reset connection accepts a request", true, false},
            {"half closed connection counts as not sent", false, true},
    }));
    INFO(failure);
    struct Listener final : SearcherConnectionListener
    {
        void onOpen(SearcherConnection &) override { isOpen = true; }
        void onOpenFailed(SearcherConnection &, bool) override {}
        void onAnswer(SearcherConnection &, UpstreamAnswer &, bool) override {}
        void onLost(SearcherConnection &, ConnectionLoss) override { isLost = true; }
        bool isOpen = false;
        bool isLost = false;
    };
    using Tcp = boost::asio::ip::tcp;
    boost::asio::io_context io;
    Tcp::acceptor acceptor(io, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    Listener listener;
    const auto connection = std::make_shared<SearcherConnection>(io, "searcher", listener);
    connection->open(acceptor.local_endpoint());
    Tcp::socket peer = acceptor.accept();
    while (!listener.isOpen)
        io.run_one();
    if (withReset)
        peer.set_option(boost::asio::socket_base::linger(true, 0));
    peer.close();
    // The loop has not run since, as when the request comes first in a turn.
    CHECK(connection->start(UpstreamMessage()) == started);
    io.restart();
    io.run();
    // A request that was not accepted is not reported a second time.
    CHECK(listener.isLost == started);
}
