#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <geraniumcart/manual_timer_service.h>
#include <geraniumcart/upstream_gate.h>
#include <geraniumcart/upstream_state.h>

#include <algorithm>
#include <cmath>
#include <vector>

using namespace geraniumcart;
using namespace std::chrono_literals;

using Decision = UpstreamGate::Decision;

// Guards against daemons that together exceed a searcher's slots or connections, and against shares
// that are rounded down to zero.
TEST_CASE("slots and connections are divided among senders")
{
    const auto [failure, slots, connections, senders, slotShare, connectionShare] =
            GENERATE(table<const char *, std::uint32_t, std::uint32_t, std::uint32_t, std::uint32_t,
                           std::uint32_t>({
                    {"an owner gets a part only", 2, 25, 1, 2, 25},
                    {"a share is rounded up", 3, 25, 8, 1, 3},
                    {"a share is rounded down to zero", 2, 25, 40, 1, 1},
                    {"capacity is divided by zero senders", 2, 25, 0, 2, 25},
            }));
    INFO(failure);
    UpstreamGate gate({.slots = slots, .connections = connections});
    gate.setShare({.senders = senders});
    CHECK(gate.slotShare() == slotShare);
    CHECK(gate.connectionShare() == connectionShare);
}

// Guards against a cold searcher that receives requests faster than its share of the cold bound,
// or that stays limited once it is warm.
TEST_CASE("the cold rate follows the catalog")
{
    const auto [failure, bound, senders, quarantined, sinceFirstAnswer, perSecond] = GENERATE(
            table<const char *, double, std::uint32_t, bool, std::chrono::milliseconds, int>({
                    {"rate starts above the bound", 20, 1, false, 0ms, 20},
                    {"rate is not divided among senders", 20, 8, false, 0ms, 2},
                    {"rate is not halved for a possible second owner", 20, 1, true, 0ms, 10},
                    {"rate does not double", 20, 1, false, 2000ms, 80},
                    {"rate doubles early", 20, 1, false, 999ms, 20},
                    {"a rate below one request a second sends nothing", 1, 4, false, 0ms, 1},
            }));
    INFO(failure);
    ManualTimerService timers;
    UpstreamGate gate({.coldRequestsPerSecond = bound});
    gate.setShare({.senders = senders, .isQuarantined = quarantined});
    if (sinceFirstAnswer > 0ms) {
        gate.observeAnswer(timers.now(), 5ms);
        timers.advance(sinceFirstAnswer);
    }
    // If the rate is below one a second, the window is the interval of one request.
    const Duration window = bound < senders ? 1s * senders / static_cast<int>(bound) : 1s;
    const TimePoint end = timers.now() + std::min(window, Duration(4s));
    int dispatched = 0;
    for (; timers.now() < end; timers.advance(1ms)) {
        if (!gate.isCold(timers.now()) || gate.tryDispatch(timers.now()) != Decision::Dispatch)
            continue;
        ++dispatched;
        gate.finish(timers.now());
    }
    // Because of ColdArrivalMargin there may be one request less in a window.
    CHECK(dispatched <= perSecond * (sinceFirstAnswer > 0ms ? 2 : 1));
    CHECK(dispatched >= std::max(1, perSecond - 1 - perSecond / 20));
}

// Guards against a searcher that still gets full load after a restart, and against a warm searcher
// whose rate is limited without a reason.
TEST_CASE("a searcher becomes cold and warm again")
{
    enum class Event {
        None,
        SameBoot,
        OtherBoot,
        BecomeCold,
        ShedOnly,
        SlowOnly,
        OneSlow,
        SlowShed
    };
    const auto [failure, event, cold] = GENERATE(table<const char *, Event, bool>({
            {"searcher stays cold after its warm-up", Event::None, false},
            {"same boot identity counts as a restart", Event::SameBoot, false},
            {"restart is not detected", Event::OtherBoot, true},
            {"lost connection is ignored", Event::BecomeCold, true},
            {"shedding alone counts as cold", Event::ShedOnly, false},
            {"slowness alone counts as cold", Event::SlowOnly, false},
            {"one straggler while shedding counts as cold", Event::OneSlow, false},
            {"slowness while shedding is ignored", Event::SlowShed, true},
    }));
    INFO(failure);
    ManualTimerService timers;
    const auto now = [&timers] { return timers.now(); };
    UpstreamGate gate({.slots = 2, .warmUp = 5s});
    gate.observeBoot(7, now());
    REQUIRE(gate.isCold(now()));
    gate.observeAnswer(now(), 5ms);
    timers.advance(4999ms);
    CHECK(gate.isCold(now()));
    timers.advance(1ms);
    REQUIRE_FALSE(gate.isCold(now()));
    REQUIRE(gate.tryDispatch(now()) == Decision::Dispatch);

    switch (event) {
    case Event::None:
        break;
    case Event::SameBoot:
        CHECK_FALSE(gate.observeBoot(7, now()));
        break;
    case Event::OtherBoot:
        CHECK(gate.observeBoot(8, now()));
        break;
    case Event::BecomeCold:
        gate.becomeCold(now());
        break;
    case Event::ShedOnly:
        gate.observeShed(now());
        gate.observeAnswer(now(), 6ms);
        break;
    case Event::SlowOnly:
        gate.observeAnswer(now(), 200ms);
        gate.observeAnswer(now(), 200ms);
        break;
    case Event::OneSlow:
        gate.observeShed(now());
        gate.observeAnswer(now(), 200ms);
        gate.observeAnswer(now(), 5ms);
        break;
    case Event::SlowShed:
        gate.observeAnswer(now(), 200ms);
        gate.observeAnswer(now(), 200ms);
        gate.observeShed(now());
        break;
    }
    CHECK(gate.isCold(now()) == cold);
    // A cold searcher gets no second request while one is in flight; a warm one uses its second
    // slot.
    CHECK(gate.tryDispatch(now()) == (cold ? Decision::WaitForSlot : Decision::Dispatch));
    CHECK(gate.tryDispatch(now()) == Decision::WaitForSlot);
    gate.finish(now());
    CHECK(gate.tryDispatch(now()) == (cold ? Decision::WaitForWarmUp : Decision::Dispatch));
}

namespace {

/// Asserts that the arrivals at one start of a searcher stay within its cold bound.
/// @param bound requests per second, before the first doubling
void assertWithinBound(std::vector<TimePoint> arrivals, TimePoint firstAnswer,
                       std::uint32_t members, double bound, Duration doubling)
{
    std::sort(arrivals.begin(), arrivals.end());
    for (std::size_t i = 0; i < arrivals.size(); ++i) {
        const Duration warming =
                firstAnswer < arrivals[i] ? arrivals[i] - firstAnswer : Duration::zero();
        const double rate = bound * std::pow(2, warming / doubling);
        // If the rate is below one request a second for each sender, a window is longer and allows
        // one request of each.
        const double share = rate / members;
        const Duration window =
                share < 1 ? std::chrono::duration_cast<Duration>(1s / share) : Duration(1s);
        const double most = share < 1 ? members : rate;
        const auto from = std::upper_bound(arrivals.begin(), arrivals.end(), arrivals[i] - window);
        const auto count = arrivals.begin() + static_cast<std::ptrdiff_t>(i) + 1 - from;
        RC_ASSERT(static_cast<double>(count) <= most);
    }
}

} // namespace

// Guards against senders that together exceed the cold bound of a searcher (guarantee P3) because
// of delays in transit or restarts of the searcher.
TEST_CASE("cold dispatches of all senders stay within the bound")
{
    struct Sender
    {
        UpstreamGate gate;
        std::optional<TimePoint> answerAt;
    };
    const bool holds = rc::check("arrivals in any window stay within the cold bound", [] {
        const auto senders = *rc::gen::inRange<std::uint32_t>(1, 6);
        const auto bound = *rc::gen::inRange(1, 40);
        const bool quarantined = *rc::gen::arbitrary<bool>();
        const auto steps = *rc::gen::container<std::vector<int>>(600, rc::gen::inRange(0, 1000));

        const SearcherLimits limits{.coldRequestsPerSecond = static_cast<double>(bound)};
        // In quarantine there are two owners, each of which sends at half the bound.
        const std::uint32_t members = quarantined ? 2 : senders;
        std::vector<Sender> all(members, Sender{UpstreamGate(limits), {}});
        for (Sender &sender : all)
            sender.gate.setShare({quarantined ? 1 : senders, quarantined});

        ManualTimerService timers;
        std::vector<TimePoint> arrivals;
        TimePoint firstAnswer = TimePoint::max();
        for (const int step : steps) {
            const TimePoint now = timers.now();
            if (step == 0) {
                // A restart resets the connections, so that each sender detects it.
                assertWithinBound(std::exchange(arrivals, {}), firstAnswer, members, bound,
                                  limits.coldDoubling);
                firstAnswer = TimePoint::max();
                for (Sender &sender : all) {
                    if (sender.answerAt)
                        sender.gate.finish(now);
                    sender.answerAt.reset();
                    sender.gate.becomeCold(now);
                }
            }
            for (Sender &sender : all) {
                if (sender.answerAt && *sender.answerAt <= now) {
                    sender.answerAt.reset();
                    sender.gate.finish(now);
                    sender.gate.observeAnswer(now, 5ms);
                    firstAnswer = std::min(firstAnswer, now);
                }
                if (!sender.gate.isCold(now) || sender.answerAt ||
                    sender.gate.tryDispatch(now) != Decision::Dispatch)
                    continue;
                // The request arrives at any time up to its end.
                const Duration transitTime = std::chrono::milliseconds(1 + step % 300);
                arrivals.push_back(now + transitTime * (step % 7) / 6);
                sender.answerAt = now + transitTime;
            }
            timers.advance(std::chrono::milliseconds(step % 60));
        }

        assertWithinBound(std::move(arrivals), firstAnswer, members, bound, limits.coldDoubling);
    });
    CHECK(holds);
}

// Guards against a smoothed latency that equals the last sample, and against version ranges without
// their bounds.
TEST_CASE("upstream state smooths latency and stores the served range")
{
    UpstreamState state("127.0.0.1:1");
    CHECK_FALSE(state.served().contains(0));
    state.setServed({3, 5});
    const auto [failure, version, served] = GENERATE(table<const char *, std::uint64_t, bool>({
            {"version below the range is contained", 2, false},
            {"oldest version is not contained", 3, true},
            {"newest version is not contained", 5, true},
            {"version above the range is contained", 6, false},
    }));
    INFO(failure);
    CHECK(state.served().contains(version) == served);
    state.recordLatency(8ms);
    CHECK(state.latency() == Duration(8ms));
    state.recordLatency(16ms);
    CHECK(state.latency() == Duration(9ms));
}

// Guards against a new owner that treats a warm searcher as cold, which would reduce coverage
// during a rolling restart, and against one that treats a searcher as warm although it has
// restarted.
TEST_CASE("the warm state is adopted only for the same boot identity")
{
    const auto [failure, adoptedBootId, observedBootId, expectCold] =
            GENERATE(table<const char *, std::uint64_t, std::uint64_t, bool>({
                    {"same identity counts as cold", 7, 7, false},
                    {"restarted searcher counts as warm", 7, 8, true},
                    {"unknown history counts as warm", 0, 7, true},
            }));
    INFO(failure);
    ManualTimerService timers;
    UpstreamGate gate{SearcherLimits()};
    gate.adoptWarmState(adoptedBootId);
    CHECK(gate.isCold(timers.now()));
    gate.observeBoot(observedBootId, timers.now());
    CHECK(gate.isCold(timers.now()) == expectCold);
    gate.becomeCold(timers.now());
    gate.observeBoot(observedBootId, timers.now());
    CHECK(gate.isCold(timers.now()));
}
