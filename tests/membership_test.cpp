#include "support/fake_peer_network.h"

#include <catch2/catch.hpp>

#include <functional>

using namespace geraniumcart;
using namespace geraniumcart::test;
using namespace std::chrono_literals;

namespace {

struct FaultCase
{
    const char *failure;
    std::function<void(FakeCell &)> fault;
    std::chrono::milliseconds wait;
    /// State of member 3 as member 5 sees it afterwards.
    MemberState expected;
};

} // namespace

TEST_CASE("members converge on the state of a member under fault")
{
    const auto fault = GENERATE(values<FaultCase>({
            {"a healthy member is suspected", [](FakeCell &) {}, 10s, MemberState::Alive},
            {"a frozen member keeps its place", [](FakeCell &cell) { cell.setFrozen(3, true); }, 4s,
             MemberState::Dead},
            {"one cut link costs a member its place", [](FakeCell &cell) { cell.cut(3, 5); }, 10s,
             MemberState::Alive},
            {"a frozen member that resumes stays dead",
             [](FakeCell &cell) {
                 cell.setFrozen(3, true);
                 cell.advance(5s);
                 cell.setFrozen(3, false);
             },
             5s, MemberState::Alive},
            {"a member that leaves is listed",
             [](FakeCell &cell) { cell.node(3).membership->announceLeaving(); }, 1s,
             MemberState::Leaving},
            {"a member that left comes back by old news",
             [](FakeCell &cell) {
                 cell.node(3).membership->announceLeft();
                 cell.advance(10ms);
                 cell.setFrozen(3, true);
             },
             5s, MemberState::Left},
            {"a restarted member is taken for its dead predecessor",
             [](FakeCell &cell) {
                 cell.setFrozen(3, true);
                 cell.advance(5s);
                 cell.setFrozen(3, false);
                 cell.restart(3);
             },
             3s, MemberState::Alive},
            {"two sides that declared each other dead never meet again",
             [](FakeCell &cell) {
                 for (int a : {0, 3, 4})
                     for (int b : {1, 2, 5, 6, 7})
                         cell.cut(a, b);
                 cell.advance(120s);
                 cell.healAll();
             },
             5s, MemberState::Alive},
    }));
    INFO(fault.failure);

    FakeCell cell(8);
    cell.advance(2s);
    REQUIRE(cell.stateOf(5, 3) == MemberState::Alive);
    fault.fault(cell);
    cell.advance(fault.wait);
    CHECK(toString(cell.stateOf(5, 3)) == std::string(toString(fault.expected)));
}

// Guards against traffic of one member that grows with the number of members.
TEST_CASE("heartbeats of one member stay constant as the cell grows")
{
    const auto [failure, size] = GENERATE(table<const char *, int>({
            {"eight members", 8},
            {"a full cell", 32},
            {"four cells in one", 128},
    }));
    INFO(failure);

    FakeCell cell(size);
    cell.advance(5s);
    const std::uint64_t before = cell.node(2).messagesSent;
    cell.advance(10s);
    // Five probes a second sent, about five answered; twice that is the bound.
    CHECK(cell.node(2).messagesSent - before <= 200);
    CHECK(cell.node(2).membership->aliveCount() == static_cast<std::uint32_t>(size));
}

// Guards against a start of a large fleet in which every member tells every other one at once, and
// against a change that then does not reach all.
TEST_CASE("members that change together tell a bounded number each and reach all")
{
    const auto [failure, size] = GENERATE(table<const char *, int>({
            {"a small fleet is not told", 8},
            {"a hundred members tell all others", 100},
    }));
    INFO(failure);

    FakeCell cell(size);
    cell.advance(5s);
    const std::uint64_t before = cell.node(2).messagesSent;
    for (int i = 0; i < size; ++i)
        cell.node(i).membership->announceAddress("10.0.0.1:" + std::to_string(i + 1));
    cell.advance(100ms);
    // 24 told, about as many answered, and the usual probes.
    CHECK(cell.node(2).messagesSent - before <= 80);
    cell.advance(10s);
    for (const Member &member : cell.node(2).membership->members())
        CHECK_FALSE(member.address.empty());
}

// Guards against heartbeats that tell again and again what all members know.
TEST_CASE("heartbeats of a settled cell carry little and news still reaches all")
{
    const auto [failure, size] = GENERATE(table<const char *, int>({
            {"a small cell repeats all it knows", 8},
            {"a large cell fills its messages", 100},
    }));
    INFO(failure);

    FakeCell cell(size);
    cell.advance(20s);
    const std::uint64_t messages = cell.node(2).messagesSent;
    const std::uint64_t members = cell.node(2).membersSent;
    cell.advance(10s);
    // Itself and two others in turns.
    CHECK(cell.node(2).membersSent - members <= 3 * (cell.node(2).messagesSent - messages));
    cell.setFrozen(3, true);
    cell.advance(8s);
    for (int i = 4; i < size; ++i)
        CHECK(cell.stateOf(i, 3) == MemberState::Dead);
    cell.restart(3);
    cell.setFrozen(3, false);
    cell.advance(3s);
    for (int i = 4; i < size; ++i)
        CHECK(cell.stateOf(i, 3) == MemberState::Alive);
    for (int i = 0; i < size; ++i) {
        INFO("member " << i << " is " << toString(cell.stateOf(3, i)));
        CHECK((i == 3 || cell.stateOf(3, i) == MemberState::Alive));
    }
}
