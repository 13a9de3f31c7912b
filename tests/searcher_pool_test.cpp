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
/// Shorter than the probe interval, so that a test can advance the clock over the warm-up period in
/// one step without a probe.
constexpr Duration WarmUp = 1s;

/// A pool with a clock that only the test advances, and with real connections.
class Fixture : public SearcherPoolListener
{
    struct Listener final : SubRequestListener
    {
        void onAnswer(SubRequestAnswer) override {}
        void onFailure(SubRequestId, SubRequestFailure) override {}
    };

public:
    explicit Fixture(const std::string &address, std::uint32_t slots = 2)
        : state(std::make_shared<UpstreamState>(address))
        , pool({io, timers, *this, counters, openAnswers}, state,
               {.slots = slots, .warmUp = WarmUp}, {})
    {
    }
    void onAnswered(PoolRequest request, SubRequestAnswer) override { end(request.id, "answered"); }
    void onFailed(PoolRequest request, SubRequestFailure failure) override
    {
        end(request.id, toString(failure));
    }

    /// Runs the io_context until @p condition holds.
    /// @return false if it does not hold within TestTimeout
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
    /// Waits for the end of a sub-request.
    /// @return "answered", "twice" for more than one end, "none" if it does not end within
    ///     TestTimeout, or the name of the failure
    std::string endOf(SubRequestId id)
    {
        runUntil([&] { return ends.contains(id); });
        return ends.contains(id) ? ends[id] : "none";
    }
    /// Makes the searcher warm and opens all connections.
    /// @return false if the searcher is not warm or has another number of connections
    bool warmUp(const TinySearcher &searcher, std::uint64_t connections = 3)
    {
        const bool answered = endOf(submit(1s)) == "answered";
        const bool open = runUntil([&] { return counters.infoAnswers >= connections; });
        timers.advance(WarmUp);
        return answered && open && searcher.connections == static_cast<int>(connections) &&
               !state->isCold();
    }
    /// Advances the clock in steps that leave the searcher time to answer each probe.
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
    OpenAnswers openAnswers;
    std::map<SubRequestId, std::string> ends;
    SubRequestId lastId = 1000;
    std::shared_ptr<UpstreamState> state;
    SearcherPool pool;

private:
    void end(SubRequestId id, const char *outcome)
    {
        // The map would otherwise hide a second end.
        ends[id] = ends.contains(id) ? "twice" : outcome;
    }
};

/// Returns an address that refuses connections.
std::string closedAddress()
{
    boost::asio::io_context io;
    using Tcp = boost::asio::ip::tcp;
    const Tcp::acceptor acceptor(io, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

} // namespace

// Guards against a sub-request that was never sent but is reported as possibly run, and against one
// that is sent although its deadline has passed or its searcher drains or was removed. Each row
// prevents the sending in another way.
TEST_CASE("a sub-request that is not sent ends as proven not run")
{
    enum class Obstacle { Refused, BadAddress, PastDeadline, NoSlot, Cold, Draining, Retired };
    const auto [failure, obstacle,
                expected] = GENERATE(table<const char *, Obstacle, const char *>({
            {"a request waits on a refused connection until its deadline", Obstacle::Refused,
             "connectFailed"},
            {"a request waits on an invalid address until its deadline", Obstacle::BadAddress,
             "connectFailed"},
            {"a request is dispatched past its deadline", Obstacle::PastDeadline, "noCapacity"},
            {"a request is dispatched without a free slot", Obstacle::NoSlot, "noCapacity"},
            {"a request is dispatched above the cold rate", Obstacle::Cold, "noCapacity"},
            {"a request is dispatched to a draining searcher", Obstacle::Draining, "notSent"},
            {"a request is dispatched to a removed searcher", Obstacle::Retired, "notSent"},
    }));
    INFO(failure);
    TinySearcher searcher;
    Fixture fixture(obstacle == Obstacle::Refused      ? closedAddress()
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
    // A waiting request must stay unsent until its deadline, even while the io_context runs.
    if (obstacle == Obstacle::NoSlot || obstacle == Obstacle::Cold) {
        fixture.io.restart();
        fixture.io.run_for(5ms);
        CHECK_FALSE(fixture.ends.contains(id));
        fixture.timers.advance(remaining);
    }
    CHECK(fixture.endOf(id) == expected);
    CHECK(searcher.requests == sent);
}

// Guards against a connection on which no answer arrives and which occupies its slot forever, and
// against closing a connection whose searcher is only slow.
TEST_CASE("a silent connection is closed and replaced")
{
    const auto [failure, kind, remaining, othersProgress, closedAfter, expected] =
            GENERATE(table<const char *, RequestKind, Duration, bool, Duration, const char *>({
                    {"a silent connection is kept past its deadline", RequestKind::Book, 100ms,
                     false, 100ms + SilenceBound, "timedOut"},
                    {"a silent connection is kept while other connections make progress",
                     RequestKind::Search, 5s, true, 400ms, "connectionLost"},
                    {"a slow searcher counts as silent", RequestKind::Search, 2s, false,
                     2s + SilenceBound, "timedOut"},
                    {"the connection of a booking is closed early", RequestKind::Book, 2s, true,
                     2s + SilenceBound, "timedOut"},
                    {"a silent connection is kept until a distant deadline", RequestKind::Book, 60s,
                     false, 10s, "connectionLost"},
            }));
    INFO(failure);
    TinySearcher searcher(Reaction::Answer);
    Fixture fixture(searcher.address());
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

// Guards against a restart that is not detected, so that a cold searcher gets requests at the full
// rate, and against limiting a warm searcher because it closed an idle connection.
TEST_CASE("a restart makes the searcher cold before it gets requests")
{
    enum class Event { ResetInFlight, ResetIdle, CloseIdle, CloseIdleOtherBoot };
    const auto [failure, event, cold] = GENERATE(table<const char *, Event, bool>({
            {"a lost request is ignored", Event::ResetInFlight, true},
            {"reset connections are ignored", Event::ResetIdle, true},
            {"an idle timeout counts as a restart", Event::CloseIdle, false},
            {"requests are sent to a new process at the full rate", Event::CloseIdleOtherBoot,
             true},
    }));
    INFO(failure);
    TinySearcher searcher;
    Fixture fixture(searcher.address());
    REQUIRE(fixture.warmUp(searcher));
    if (event == Event::CloseIdleOtherBoot)
        searcher.bootId = 2;
    if (event == Event::ResetInFlight) {
        searcher.reaction = Reaction::ResetAfterRequest;
        CHECK(fixture.endOf(fixture.submit(1s)) == "connectionLost");
    } else {
        searcher.closeConnections(event == Event::ResetIdle);
    }
    // The pool reconnects without a request, and first requests the boot identity on each new
    // connection.
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

// Guards against a cancelled sub-request that ends only with its answer, of which the searcher is
// not notified, or whose late answer is accepted for another sub-request.
TEST_CASE("cancel and deadline end a sub-request before its answer")
{
    enum class Cause { CancelInFlight, CancelWaiting, Deadline };
    const auto [failure, cause, expected, expectedCancels,
                late] = GENERATE(table<const char *, Cause, const char *, int, std::uint64_t>({
            {"the searcher is not notified", Cause::CancelInFlight, "cancelled", 1, 1},
            {"a cancelled waiting request is sent", Cause::CancelWaiting, "cancelled", 0, 0},
            {"a late answer is not counted", Cause::Deadline, "timedOut", 0, 1},
    }));
    INFO(failure);
    TinySearcher searcher;
    Fixture fixture(searcher.address(), 1);
    REQUIRE(fixture.warmUp(searcher, 2));
    searcher.delay = 50ms;
    const SubRequestId inFlight = fixture.submit(100ms);
    const SubRequestId waiting = fixture.submit(60s);
    const SubRequestId id = cause == Cause::CancelWaiting ? waiting : inFlight;
    if (cause == Cause::Deadline)
        fixture.timers.advance(100ms);
    else
        fixture.pool.cancel(id);
    // The sub-request has ended before the searcher answers.
    REQUIRE(fixture.ends.contains(id));
    CHECK(fixture.ends[id] == expected);
    CHECK(fixture.endOf(cause == Cause::CancelWaiting ? inFlight : waiting) == "answered");
    CHECK(fixture.ends[id] == expected);
    CHECK(searcher.cancels == expectedCancels);
    CHECK(fixture.counters.lateAnswers == late);
    CHECK(searcher.requests == (cause == Cause::CancelWaiting ? 2 : 3));
    // The connection with the late answer was kept.
    CHECK(searcher.connections == 2);
}

// Guards against a searcher without traffic whose draining or restart stays undetected, and against
// one that gets no requests because it does not answer GET /info.
TEST_CASE("an idle searcher is probed")
{
    const auto [failure, hasInfo, drains, expected] =
            GENERATE(table<const char *, bool, bool, const char *>({
                    {"an idle searcher loses its connection", true, false, "answered"},
                    {"draining is not detected without traffic", true, true, "notSent"},
                    {"an unanswered probe blocks requests", false, false, "answered"},
            }));
    INFO(failure);
    // Structured bindings cannot be captured by clang 14.
    const bool answersInfo = hasInfo;
    const bool draining = drains;
    TinySearcher searcher;
    searcher.answersInfo = answersInfo;
    Fixture fixture(searcher.address());
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

// Guards against a request that counts as not sent although bytes of it may have been sent, and the
// reverse. The searcher closes or resets the connection just before the request is written.
TEST_CASE("only a connection that accepted no byte proves that a request was not sent")
{
    const auto [failure, withReset, started] = GENERATE(table<const char *, bool, bool>({
            {"a reset connection accepts a request", true, false},
            {"a request on a half-closed connection counts as not sent", false, true},
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
    OpenAnswers openAnswers;
    const auto connection =
            std::make_shared<SearcherConnection>(io, "searcher", openAnswers, listener);
    connection->open(acceptor.local_endpoint());
    Tcp::socket peer = acceptor.accept();
    while (!listener.isOpen)
        io.run_one();
    if (withReset)
        peer.set_option(boost::asio::socket_base::linger(true, 0));
    peer.close();
    // The io_context has not run since the close, as when a request is handled before the close is
    // read.
    CHECK(connection->start(UpstreamMessage()) == started);
    io.restart();
    io.run();
    // After start() has returned false, the failure is not reported again by onLost().
    CHECK(listener.isLost == started);
}
