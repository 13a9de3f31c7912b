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

// Guards against daemons that together exceed a searcher's slots or connections, or that round
// their share down to nothing.
TEST_CASE("slots and connections are divided by senders")
{
    const auto [failure, slots, connections, senders, slotShare, connectionShare] =
            GENERATE(table<const char *, std::uint32_t, std::uint32_t, std::uint32_t, std::uint32_t,
                           std::uint32_t>({
                    {"an owner gets less than everything", 2, 25, 1, 2, 25},
                    {"a share is rounded up", 3, 25, 8, 1, 3},
                    {"a share is rounded down to nothing", 2, 25, 40, 1, 1},
                    {"no sender divides by zero", 2, 25, 0, 2, 25},
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
                    {"starts above the bound", 20, 1, false, 0ms, 20},
                    {"ignores the other senders", 20, 8, false, 0ms, 2},
                    {"ignores the second owner", 20, 1, true, 0ms, 10},
                    {"does not double", 20, 1, false, 2000ms, 80},
                    {"doubles early", 20, 1, false, 999ms, 20},
                    {"stops below one a second", 1, 4, false, 0ms, 1},
            }));
    INFO(failure);
    ManualTimerService timers;
    UpstreamGate gate({.coldRequestsPerSecond = bound});
    gate.setShare({.senders = senders, .isQuarantined = quarantined});
    if (sinceFirstAnswer > 0ms) {
        gate.observeAnswer(timers.now(), 5ms);
        timers.advance(sinceFirstAnswer);
    }
    // Where the rate is below one a second, the window is as long as one request takes.
    const Duration window = bound < senders ? 1s * senders / static_cast<int>(bound) : 1s;
    const TimePoint end = timers.now() + std::min(window, Duration(4s));
    int dispatched = 0;
    for (; timers.now() < end; timers.advance(1ms)) {
        if (!gate.isCold(timers.now()) || gate.tryDispatch(timers.now()) != Decision::Dispatch)
            continue;
        ++dispatched;
        gate.finish(timers.now());
    }
    // The margin may cost one request of a window.
    CHECK(dispatched <= perSecond * (sinceFirstAnswer > 0ms ? 2 : 1));
    CHECK(dispatched >= std::max(1, perSecond - 1 - perSecond / 20));
}

// Guards against a warm searcher that restarted and still gets full load, and against one that is
// limited without a reason.
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
            {"stays cold after its warm-up", Event::None, false},
            {"same boot identity counts as a restart", Event::SameBoot, false},
            {"restart goes unnoticed", Event::OtherBoot, true},
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
    // A cold searcher gets nothing beside the request under way; a warm one uses its second slot.
    CHECK(gate.tryDispatch(now()) == (cold ? Decision::WaitForSlot : Decision::Dispatch));
    CHECK(gate.tryDispatch(now()) == Decision::WaitForSlot);
    gate.finish(now());
    CHECK(gate.tryDispatch(now()) == (cold ? Decision::WaitForWarmUp : Decision::Dispatch));
}

namespace {

/// Asserts that the arrivals of one run of a searcher kept its cold bound, in requests a second.
void assertWithinBound(std::vector<TimePoint> arrivals, TimePoint firstAnswer,
                       std::uint32_t members, double bound, Duration doubling)
{
    std::sort(arrivals.begin(), arrivals.end());
    for (std::size_t i = 0; i < arrivals.size(); ++i) {
        const Duration warming =
                firstAnswer < arrivals[i] ? arrivals[i] - firstAnswer : Duration::zero();
        const double rate = bound * std::pow(2, warming / doubling);
        // Below one request a second for each sender, a window holds one request of each.
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

// Guards against senders that together exceed the cold bound of a searcher (P3), whatever the
// delays on the way, with restarts at any moment.
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
        // Two owners at once send for all of themselves, each at half the bound.
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
                // A restart: connections are reset, so that each sender notices.
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
                // The request arrives late by anything up to its whole time under way.
                const Duration underWay = std::chrono::milliseconds(1 + step % 300);
                arrivals.push_back(now + underWay * (step % 7) / 6);
                sender.answerAt = now + underWay;
            }
            timers.advance(std::chrono::milliseconds(step % 60));
        }

        assertWithinBound(std::move(arrivals), firstAnswer, members, bound, limits.coldDoubling);
    });
    CHECK(holds);
}

// Guards against a latency that one sample sets, and a version range that contains nothing.
TEST_CASE("upstream state smooths latency and keeps the served range")
{
    UpstreamState state("127.0.0.1:1");
    CHECK_FALSE(state.served().contains(0));
    state.setServed({3, 5});
    const auto [failure, version, served] = GENERATE(table<const char *, std::uint64_t, bool>({
            {"below the range", 2, false},
            {"oldest is left out", 3, true},
            {"newest is left out", 5, true},
            {"above the range", 6, false},
    }));
    INFO(failure);
    CHECK(state.served().contains(version) == served);
    state.recordLatency(8ms);
    CHECK(state.latency() == Duration(8ms));
    state.recordLatency(16ms);
    CHECK(state.latency() == Duration(9ms));
}

// Guards against a new owner that treats a warm searcher as cold, which would cost a rolling
// restart its coverage, and against one that trusts old news of a searcher that restarted
// meanwhile.
TEST_CASE("warmth is taken over only for the same boot identity")
{
    const auto [failure, handedOver, met, expectCold] =
            GENERATE(table<const char *, std::uint64_t, std::uint64_t, bool>({
                    {"same identity counts as cold", 7, 7, false},
                    {"restarted searcher counts as warm", 7, 8, true},
                    {"unknown history counts as warm", 0, 7, true},
            }));
    INFO(failure);
    ManualTimerService timers;
    UpstreamGate gate{SearcherLimits()};
    gate.adoptWarmState(handedOver);
    CHECK(gate.isCold(timers.now()));
    gate.observeBoot(met, timers.now());
    CHECK(gate.isCold(timers.now()) == expectCold);
    gate.becomeCold(timers.now());
    gate.observeBoot(met, timers.now());
    CHECK(gate.isCold(timers.now()));
}
