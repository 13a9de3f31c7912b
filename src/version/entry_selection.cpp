#include <geraniumcart/entry_selection.h>

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <map>
#include <set>
#include <string>

namespace geraniumcart {

namespace {

/// Fewer large daemons than this are not enough: one zone with a third of them may be lost.
constexpr std::size_t MinLarge = 6;
/// Large daemons have at least this part of the largest processor share.
constexpr std::uint32_t LargeDivisor = 2;
/// Zones over which the large daemons must be spread.
constexpr std::size_t MinZones = 2;

/// While more than one in this many of the daemons that callers use are busy, the load is too much
/// for them; a smaller part is slow for reasons of its own.
constexpr std::size_t CrowdDivisor = 3;

using Members = std::vector<const Member *>;

Members largeOf(const Members &members)
{
    std::uint32_t largest = 0;
    for (const Member *member : members)
        largest = std::max(largest, member->weight);
    Members large;
    std::set<std::string> zones;
    for (const Member *member : members) {
        if (member->weight < largest / LargeDivisor)
            continue;
        large.push_back(member);
        zones.insert(member->zone);
    }
    return large.size() < MinLarge || zones.size() < MinZones ? members : large;
}

/// The first @p most of @p members in rounds over the zones, the largest of each zone first.
/// Members of equal size come in an order of their names' hashes, so that those that stay keep
/// their places when others come and go.
Members boundedTo(const Members &members, std::size_t most)
{
    if (members.size() <= most)
        return members;
    std::map<std::string, Members> byZone;
    for (const Member *member : members)
        byZone[member->zone].push_back(member);
    const auto rank = [](const Member *member) {
        return std::pair(member->weight, XXH3_64bits(member->name.data(), member->name.size()));
    };
    for (auto &[zone, present] : byZone)
        std::sort(present.begin(), present.end(),
                  [&rank](const Member *a, const Member *b) { return rank(a) > rank(b); });
    Members bounded;
    for (std::size_t round = 0; bounded.size() < most; ++round)
        for (const auto &[zone, present] : byZone)
            if (round < present.size() && bounded.size() < most)
                bounded.push_back(present[round]);
    return bounded;
}

std::vector<EntryAddress> addressesOf(const Members &members)
{
    std::vector<EntryAddress> entries;
    for (const Member *member : members)
        entries.push_back({member->address, member->zone, std::max(member->weight, 1U)});
    return entries;
}

} // namespace

bool wouldBeListed(std::span<const Member> members, std::size_t index, std::size_t mostListed)
{
    std::vector<Member> ready(members.begin(), members.end());
    Member &candidate = ready[index];
    candidate.state = MemberState::Alive;
    candidate.isBusy = false;
    if (candidate.address.empty())
        candidate.address = candidate.peerAddress;
    const std::vector<EntryAddress> entries = selectEntries(ready, mostListed);
    return std::any_of(entries.begin(), entries.end(), [&candidate](const EntryAddress &entry) {
        return entry.address == candidate.address;
    });
}

std::vector<EntryAddress> selectEntries(std::span<const Member> members, std::size_t mostListed)
{
    Members serving;
    for (const Member &member : members)
        if (member.state == MemberState::Alive && !member.address.empty())
            serving.push_back(&member);
    const std::size_t most = std::max(mostListed, MinLarge);
    const Members preferred = boundedTo(largeOf(serving), most);
    Members idle;
    std::copy_if(preferred.begin(), preferred.end(), std::back_inserter(idle),
                 [](const Member *member) { return !member->isBusy; });
    const std::size_t busy = preferred.size() - idle.size();
    return addressesOf(busy * CrowdDivisor > preferred.size() ? boundedTo(serving, most) : idle);
}

} // namespace geraniumcart
