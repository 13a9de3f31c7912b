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

/// With fewer large daemons than this, all daemons are listed: a zone with a third of the large
/// ones may fail.
constexpr std::size_t MinLarge = 6;
/// A daemon is large if its processor share is at least the largest share divided by this.
constexpr std::uint32_t LargeDivisor = 2;
/// With large daemons in fewer zones than this, all daemons are listed.
constexpr std::size_t MinZones = 2;

/// If more than one in this many of the preferred daemons are busy, the load is too high for them
/// and all daemons are listed. A smaller part is busy for reasons that are local to those daemons.
constexpr std::size_t OverloadDivisor = 3;

using Members = std::vector<const Member *>;

/// @return the large members, or all members if there are not enough large ones or zones
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

/// Selects at most @p maxCount members in rounds over the zones, the largest of each zone first.
/// Members of equal size are ordered by the hashes of their names, so that the selection of the
/// remaining members does not change when other members join or leave.
Members boundedTo(const Members &members, std::size_t maxCount)
{
    if (members.size() <= maxCount)
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
    for (std::size_t round = 0; bounded.size() < maxCount; ++round)
        for (const auto &[zone, present] : byZone)
            if (round < present.size() && bounded.size() < maxCount)
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

bool wouldBeListed(std::span<const Member> members, std::size_t index, std::size_t maxListed)
{
    std::vector<Member> ready(members.begin(), members.end());
    Member &candidate = ready[index];
    candidate.state = MemberState::Alive;
    candidate.isBusy = false;
    if (candidate.address.empty())
        candidate.address = candidate.peerAddress;
    const std::vector<EntryAddress> entries = selectEntries(ready, maxListed);
    return std::any_of(entries.begin(), entries.end(), [&candidate](const EntryAddress &entry) {
        return entry.address == candidate.address;
    });
}

std::vector<EntryAddress> selectEntries(std::span<const Member> members, std::size_t maxListed)
{
    Members serving;
    for (const Member &member : members)
        if (member.state == MemberState::Alive && !member.address.empty())
            serving.push_back(&member);
    const std::size_t maxCount = std::max(maxListed, MinLarge);
    const Members preferred = boundedTo(largeOf(serving), maxCount);
    Members idle;
    std::copy_if(preferred.begin(), preferred.end(), std::back_inserter(idle),
                 [](const Member *member) { return !member->isBusy; });
    const std::size_t busy = preferred.size() - idle.size();
    return addressesOf(busy * OverloadDivisor > preferred.size() ? boundedTo(serving, maxCount)
                                                                 : idle);
}

} // namespace geraniumcart
