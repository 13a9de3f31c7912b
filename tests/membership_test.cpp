#include "support/fake_peer_network.h"

#include <catch2/catch.hpp>

#include <functional>

using namespace geraniumcart;
using namespace geraniumcart::test;
using namespace std::chrono_literals;

namespace {

/// Fault of member 3 or its links, and the state in which member 5 must see it afterwards.
struct Row
{
    const char *failure;
    std::function<void(FakeCell &)> fault;
    std::chrono::milliseconds wait;
    /// State of member 3 as member 5 sees it after the fault and the wait.
    MemberState expected;
};

} // namespace

// Guards against members that disagree for long about a member that stopped, left, restarted, lost
// a link, or was separated from them by a network partition.
TEST_CASE("members converge on the state of a member after a fault")
{
    const auto row = GENERATE(values<Row>({
            {"a healthy member is suspected", [](FakeCell &) {}, 10s, MemberState::Alive},
            {"a frozen member is not declared dead",
             [](FakeCell &cell) { cell.setFrozen(3, true); }, 4s, MemberState::Dead},
            {"a member is declared dead because of one cut link",
             [](FakeCell &cell) { cell.cut(3, 5); }, 10s, MemberState::Alive},
            {"a frozen member that resumes stays dead",
             [](FakeCell &cell) {
                 cell.setFrozen(3, true);
                 cell.advance(5s);
                 cell.setFrozen(3, false);
             },
             5s, MemberState::Alive},
            {"a member that leaves still counts as alive",
             [](FakeCell &cell) { cell.node(3).membership->announceLeaving(); }, 1s,
             MemberState::Leaving},
            {"outdated gossip brings back a member that left",
             [](FakeCell &cell) {
                 cell.node(3).membership->announceLeft();
                 cell.advance(10ms);
                 cell.setFrozen(3, true);
             },
             5s, MemberState::Left},
            {"a restarted member is mistaken for its dead predecessor",
             [](FakeCell &cell) {
                 cell.setFrozen(3, true);
                 cell.advance(5s);
                 cell.setFrozen(3, false);
                 cell.restart(3);
             },
             3s, MemberState::Alive},
            {"two sides that declared each other dead do not reconnect",
             [](FakeCell &cell) {
                 for (int a : {0, 3, 4})
                     for (int b : {1, 2, 5, 6, 7})
                         cell.cut(a, b);
                 cell.advance(120s);
                 cell.healAll();
             },
             5s, MemberState::Alive},
    }));
    INFO(row.failure);

    FakeCell cell(8);
    cell.advance(2s);
    REQUIRE(cell.stateOf(5, 3) == MemberState::Alive);
    row.fault(cell);
    cell.advance(row.wait);
    CHECK(toString(cell.stateOf(5, 3)) == std::string(toString(row.expected)));
}

// Guards against heartbeat traffic of a member that grows with the number of members.
TEST_CASE("the heartbeat rate of one member stays constant as the cell grows")
{
    const auto [failure, size] = GENERATE(table<const char *, int>({
            {"eight members", 8},
            {"a full cell", 32},
            {"a fleet of the size of four full cells", 128},
    }));
    INFO(failure);

    FakeCell cell(size);
    cell.advance(5s);
    const std::uint64_t before = cell.node(2).messagesSent;
    cell.advance(10s);
    // A member sends five probes a second and answers about five; the bound is twice the sum.
    CHECK(cell.node(2).messagesSent - before <= 200);
    CHECK(cell.node(2).membership->aliveCount() == static_cast<std::uint32_t>(size));
}

// Guards against N squared messages when the members of a large fleet start together, and against a
// change that does not reach all members because each notifies only a bounded number at once.
TEST_CASE("members that change together notify a bounded number each and reach all members")
{
    const auto [failure, size] = GENERATE(table<const char *, int>({
            {"a change does not reach a small fleet", 8},
            {"a hundred members each notify all other members", 100},
    }));
    INFO(failure);

    FakeCell cell(size);
    cell.advance(5s);
    const std::uint64_t before = cell.node(2).messagesSent;
    for (int i = 0; i < size; ++i)
        cell.node(i).membership->announceAddress("10.0.0.1:" + std::to_string(i + 1));
    cell.advance(100ms);
    // 24 notifications, about as many answers, and the usual probes.
    CHECK(cell.node(2).messagesSent - before <= 80);
    cell.advance(10s);
    for (const Member &member : cell.node(2).membership->members())
        CHECK_FALSE(member.address.empty());
}

// Guards against heartbeats that repeat what all members already know, and against changes that
// then do not reach all members.
TEST_CASE("heartbeats of an unchanged cell are small and changes still reach all members")
{
    const auto [failure, size] = GENERATE(table<const char *, int>({
            {"a small cell repeats its whole member list", 8},
            {"a large cell fills its messages to the limit", 100},
    }));
    INFO(failure);

    FakeCell cell(size);
    cell.advance(20s);
    const std::uint64_t messages = cell.node(2).messagesSent;
    const std::uint64_t members = cell.node(2).membersSent;
    cell.advance(10s);
    // Each message carries the sender and two other members in rotation.
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
