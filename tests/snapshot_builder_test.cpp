#include <catch2/catch.hpp>

#include <geraniumcart/ownership.h>
#include <geraniumcart/snapshot_builder.h>

#include <functional>
#include <set>

using namespace geraniumcart;

namespace {

constexpr std::uint32_t Shards = 4;
constexpr std::uint32_t Replicas = 3;

std::string zoneOf(std::uint32_t replica)
{
    return "z" + std::to_string(replica);
}

std::string addressOf(std::uint32_t shard, std::uint32_t replica)
{
    return "127.0.0.1:" + std::to_string(5000 + shard * Replicas + replica);
}

Member memberOf(std::uint32_t index, MemberState state = MemberState::Alive)
{
    return {"d" + std::to_string(index),
            zoneOf(index % Replicas),
            "127.0.0.1:" + std::to_string(6000 + index),
            "127.0.0.1:" + std::to_string(7000 + index),
            1,
            state};
}

/// Routing inputs of a service with four shards of three replicas, in a fleet of six daemons.
struct Routing
{
    UpstreamRegistry registry;
    RoutingInputs inputs;

    Routing()
    {
        for (std::uint32_t shard = 0; shard < Shards; ++shard)
            for (std::uint32_t replica = 0; replica < Replicas; ++replica) {
                const std::string address = addressOf(shard, replica);
                inputs.hosts.searchers.push_back({address, "lend-front", zoneOf(replica), "h",
                                                  shard, "v41", HostState::Live});
                states.push_back(registry.obtain(address));
                states.back()->setServed({5, 6});
            }
        inputs.catalogs["lend-front"] = {
                "lend-front", {}, {{6, {10, 10, 10, 10}}, {5, {9, 9, 9, 9}}}};
        inputs.hasRules = inputs.hasHosts = true;
        inputs.selfName = "d0";
        inputs.selfZone = "z0";
        for (std::uint32_t i = 0; i < 6; ++i)
            inputs.members.push_back(memberOf(i));
    }

    UpstreamState &state(std::uint32_t shard, std::uint32_t replica)
    {
        return *states[shard * Replicas + replica];
    }

    std::vector<std::shared_ptr<UpstreamState>> states;
};

} // namespace

// Guards against requests to searchers that must not get work, and against an index version for
// which a shard has no replica.
TEST_CASE("a snapshot routes only to searchers that may get work")
{
    struct Row
    {
        const char *failure;
        std::function<void(Routing &)> change;
        std::uint64_t indexVersion;
        std::uint32_t covered;
        std::size_t replicasOfShard0;
    };
    const auto row = GENERATE(values<Row>({
            {"a healthy replica is left out", [](Routing &) {}, 6, 4, 3},
            {"a zone that is out gets work",
             [](Routing &routing) {
                 routing.inputs.rules.zones = {{"z1", {}}};
             },
             6, 4, 2},
            {"a draining searcher gets work",
             [](Routing &routing) { routing.state(0, 0).setDraining(true); }, 6, 4, 2},
            {"a leaving searcher gets work",
             [](Routing &routing) { routing.inputs.hosts.searchers[0].state = HostState::Leaving; },
             6, 4, 2},
            {"a searcher without the version gets work",
             [](Routing &routing) {
                 routing.state(0, 2).setServed({5, 5});
             },
             6, 4, 2},
            {"a version that some shard lacks is chosen",
             [](Routing &routing) {
                 for (std::uint32_t replica = 0; replica < Replicas; ++replica)
                     routing.state(1, replica).setServed({5, 5});
             },
             5, 4, 3},
            {"a shard without replicas counts as covered",
             [](Routing &routing) {
                 for (std::uint32_t replica = 0; replica < Replicas; ++replica)
                     routing.state(1, replica).setServed({});
             },
             6, 3, 3},
    }));
    INFO(row.failure);

    Routing routing;
    row.change(routing);
    const RoutingSnapshot snapshot = buildSnapshot(routing.inputs, routing.registry);
    const IndexView &view = *snapshot.services.at("lend-front")->view;
    CHECK(view.partitions.indexVersion == row.indexVersion);
    CHECK(view.coveredShards == row.covered);
    CHECK(view.replicas[0].size() == row.replicasOfShard0);
}

// Guards against the loss of all replicas of a shard with one owner, and against daemons that
// assign different owners because their host lists are ordered differently.
TEST_CASE("replicas of a shard have different owners, the same on every daemon")
{
    struct Row
    {
        const char *failure;
        std::function<void(std::vector<Member> &)> change;
        std::size_t ownersOfShard;
    };
    const auto row = GENERATE(values<Row>({
            {"replicas of a shard share an owner", [](std::vector<Member> &) {}, 3},
            {"three replicas have one owner although there are two members",
             [](std::vector<Member> &members) { members.resize(2); }, 2},
            {"a single member owns nothing",
             [](std::vector<Member> &members) { members.resize(1); }, 1},
    }));
    INFO(row.failure);

    Routing routing;
    std::vector<Member> members = routing.inputs.members;
    row.change(members);
    std::vector<SearcherEntry> searchers = routing.inputs.hosts.searchers;
    const std::vector<std::uint32_t> owners = assignOwners(searchers, members);
    for (std::uint32_t shard = 0; shard < Shards; ++shard) {
        const auto first = owners.begin() + shard * Replicas;
        CHECK(std::set(first, first + Replicas).size() == row.ownersOfShard);
    }
    // The order of the host list differs between daemons that read it at different times.
    std::reverse(searchers.begin(), searchers.end());
    const std::vector<std::uint32_t> reversed = assignOwners(searchers, members);
    CHECK(std::equal(owners.begin(), owners.end(), reversed.rbegin()));
}

// Guards against the reassignment of searchers between the remaining members when one member
// leaves.
TEST_CASE("the loss of a member reassigns few searchers")
{
    const auto [failure, lostMember] = GENERATE(table<const char *, std::size_t>({
            {"the loss of the first member reassigns many searchers", 0},
            {"the loss of the last member reassigns many searchers", 5},
    }));
    INFO(failure);
    Routing routing;
    std::vector<Member> members = routing.inputs.members;
    const auto before = assignOwners(routing.inputs.hosts.searchers, members);
    std::vector<Member> remaining = members;
    remaining.erase(remaining.begin() + static_cast<std::ptrdiff_t>(lostMember));
    const auto after = assignOwners(routing.inputs.hosts.searchers, remaining);
    std::size_t moved = 0;
    for (std::size_t i = 0; i < before.size(); ++i)
        moved += before[i] != lostMember && members[before[i]].name != remaining[after[i]].name;
    // A reassigned replica may displace one other replica of its shard to the next owner.
    CHECK(moved <= before.size() / 4);
}

// Guards against callers or searchers that are assigned to daemons which cannot serve them, and
// against the reassignment of searchers when a member is only suspected.
TEST_CASE("entries and owners depend on the state of members and zones")
{
    struct Row
    {
        const char *failure;
        MemberState state;
        bool isZoneOut;
        bool isListed;
        bool ownsSearchers;
    };
    const auto row = GENERATE(values<Row>({
            {"an alive member is left out", MemberState::Alive, false, true, true},
            {"a suspected member is listed or loses its searchers", MemberState::Suspect, false,
             false, true},
            {"a leaving member is listed or owns", MemberState::Leaving, false, false, false},
            {"a dead member is listed or owns", MemberState::Dead, false, false, false},
            {"a member of a zone that is out is listed or owns", MemberState::Alive, true, false,
             false},
    }));
    INFO(row.failure);

    Routing routing;
    routing.inputs.members[4] = memberOf(4, row.state);
    if (row.isZoneOut)
        routing.inputs.rules.zones = {{"z1", {}}};
    const RoutingSnapshot snapshot = buildSnapshot(routing.inputs, routing.registry);
    const std::string address = memberOf(4).address;
    CHECK(std::any_of(snapshot.entries.begin(), snapshot.entries.end(),
                      [&](const EntryAddress &entry) { return entry.address == address; }) ==
          row.isListed);
    const auto &searchers = snapshot.services.at("lend-front")->searchers;
    CHECK(std::any_of(searchers.begin(), searchers.end(), [](const Searcher &searcher) {
              return searcher.owner == memberOf(4).peerAddress;
          }) == row.ownsSearchers);
}
