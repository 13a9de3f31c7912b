#include <geraniumcart/fleet_roles.h>

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>

namespace geraniumcart {

namespace {

/// Minimum number of watchers: two may fail at the same time without interrupting updates.
constexpr std::size_t MinWatchers = 3;
/// Number of members per watcher in fleets that need more than MinWatchers.
constexpr std::size_t MembersPerWatcher = 32;
/// Number of watchers that send changes to one member, so that updates continue if one of them
/// fails.
constexpr std::size_t SourcesPerMember = 2;
/// Number of members that a daemon without a watcher sends changes to.
constexpr std::size_t Neighbors = 4;

std::uint64_t hashOf(const std::string &text, std::uint64_t seed = 0)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

} // namespace

std::vector<std::string> pickWatchers(std::span<const Member> members)
{
    std::map<std::string, std::vector<const Member *>> byZone;
    std::size_t count = 0;
    for (const Member &member : members) {
        if (member.state != MemberState::Alive)
            continue;
        byZone[member.zone].push_back(&member);
        ++count;
    }
    for (auto &[zone, present] : byZone)
        std::sort(present.begin(), present.end(), [](const Member *a, const Member *b) {
            return std::pair(hashOf(a->name), a->name) < std::pair(hashOf(b->name), b->name);
        });
    const std::size_t wanted = std::min(
            count, std::max(MinWatchers, (count + MembersPerWatcher - 1) / MembersPerWatcher));
    std::vector<std::string> watchers;
    for (std::size_t round = 0; watchers.size() < wanted; ++round)
        for (const auto &[zone, present] : byZone)
            if (round < present.size() && watchers.size() < wanted)
                watchers.push_back(present[round]->name);
    return watchers;
}

std::vector<std::string> pickSources(const std::string &member,
                                     std::span<const std::string> watchers)
{
    std::vector<std::string> sources;
    std::copy_if(watchers.begin(), watchers.end(), std::back_inserter(sources),
                 [&member](const std::string &watcher) { return watcher != member; });
    const std::uint64_t seed = hashOf(member);
    std::sort(sources.begin(), sources.end(), [seed](const std::string &a, const std::string &b) {
        return std::pair(hashOf(a, seed), a) < std::pair(hashOf(b, seed), b);
    });
    sources.resize(std::min(sources.size(), SourcesPerMember));
    return sources;
}

std::vector<std::string> pickNeighbors(const std::string &self, std::span<const Member> members)
{
    std::vector<const Member *> order;
    for (const Member &member : members)
        if (isPresent(member.state) || member.name == self)
            order.push_back(&member);
    std::sort(order.begin(), order.end(), [](const Member *a, const Member *b) {
        return std::pair(hashOf(a->name), a->name) < std::pair(hashOf(b->name), b->name);
    });
    const auto own = std::find_if(order.begin(), order.end(),
                                  [&self](const Member *member) { return member->name == self; });
    if (own == order.end())
        return {};
    std::rotate(order.begin(), own, order.end());
    std::vector<std::string> neighbors;
    for (std::size_t i = 1; i < order.size() && i <= Neighbors; ++i)
        neighbors.push_back(order[order.size() - i]->peerAddress);
    return neighbors;
}

} // namespace geraniumcart
