#include <geraniumcart/entry_selection.h>

#include <algorithm>
#include <cstdint>
#include <iterator>
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

std::vector<EntryAddress> addressesOf(const Members &members)
{
    std::vector<EntryAddress> entries;
    for (const Member *member : members)
        entries.push_back({member->address, member->zone, std::max(member->weight, 1U)});
    return entries;
}

} // namespace

std::vector<EntryAddress> selectEntries(std::span<const Member> members)
{
    Members serving;
    for (const Member &member : members)
        if (member.state == MemberState::Alive && !member.address.empty())
            serving.push_back(&member);
    const Members preferred = largeOf(serving);
    Members idle;
    std::copy_if(preferred.begin(), preferred.end(), std::back_inserter(idle),
                 [](const Member *member) { return !member->isBusy; });
    const std::size_t busy = preferred.size() - idle.size();
    return addressesOf(busy * CrowdDivisor > preferred.size() ? serving : idle);
}

} // namespace geraniumcart
