#include <geraniumcart/entry_selection.h>

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace geraniumcart {

namespace {

/// With fewer large daemons than this, they are not preferred: a zone with a third of them may
/// fail.
constexpr std::size_t MinLarge = 6;
/// A daemon is large if its processor share is at least the largest share divided by this.
constexpr std::uint32_t LargeDivisor = 2;
/// With large daemons in fewer zones than this, they are not preferred.
constexpr std::size_t MinZones = 2;
/// At least this many daemons are listed, so that callers have another one while one restarts and
/// one has failed.
constexpr std::size_t MinListed = 3;

/// At most this many daemons are listed while no load is known. They carry most loads for the
/// seconds until it is, and do not all open connections to all searchers at the start of a large
/// fleet.
constexpr std::size_t MaxListedWithoutLoad = 12;

/// If more than one in this many of the preferred daemons are busy, the load is too high for them
/// and all daemons are listed. A smaller part is busy for reasons that are local to those daemons.
constexpr std::size_t OverloadDivisor = 3;

/// Requests to searchers per second and core that a daemon carries with short queues: a tenth of
/// what it can send.
constexpr double RequestsPerCore = 2000;
/// Processor share of a daemon that did not report it, in thousandths of a core.
constexpr std::uint32_t AssumedWeight = 1000;
/// A daemon that sends each searcher fewer requests per second than this finds its connection
/// closed: searchers close one that has been idle for some seconds.
constexpr double MinRequestsPerConnection = 1;

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

/// @return the members in rounds over the zones, the largest of each zone first. Members of equal
/// size are ordered by the hashes of their names, so that the order of the remaining members does
/// not change when other members join or leave.
Members rankedOf(const Members &members)
{
    std::map<std::string, Members> byZone;
    for (const Member *member : members)
        byZone[member->zone].push_back(member);
    const auto rank = [](const Member *member) {
        return std::pair(member->weight, XXH3_64bits(member->name.data(), member->name.size()));
    };
    for (auto &[zone, present] : byZone)
        std::sort(present.begin(), present.end(),
                  [&rank](const Member *a, const Member *b) { return rank(a) > rank(b); });
    Members ranked;
    for (std::size_t round = 0; ranked.size() < members.size(); ++round)
        for (const auto &[zone, present] : byZone)
            if (round < present.size())
                ranked.push_back(present[round]);
    return ranked;
}

/// @return requests per second that the member carries
double capacityOf(const Member &member)
{
    return RequestsPerCore * (member.weight == 0 ? AssumedWeight : member.weight) / 1000;
}

/// @return number of the first members of @p ranked that carry @p load also without the zone that
/// carries most of it; one more than there are members if all of them do not
std::size_t countForLoad(const Members &ranked, double load)
{
    std::map<std::string, double> byZone;
    double total = 0;
    for (std::size_t i = 0; i < ranked.size(); ++i) {
        total += capacityOf(*ranked[i]);
        byZone[ranked[i]->zone] += capacityOf(*ranked[i]);
        double lost = 0;
        for (const auto &[zone, capacity] : byZone)
            lost = std::max(lost, capacity);
        if ((byZone.size() > 1 ? total - lost : total) >= load)
            return i + 1;
    }
    return ranked.size() + 1;
}

/// @return number of members to list. It is larger than the number of @p ranked if these do not
/// carry @p load.
std::size_t plannedCount(const Members &ranked, double load, const ListingLimits &limits)
{
    if (load == 0)
        return std::min(ranked.size(), MaxListedWithoutLoad);
    const double inUse =
            limits.searchers == 0
                    ? static_cast<double>(ranked.size())
                    : load / (static_cast<double>(limits.searchers) * MinRequestsPerConnection);
    const std::size_t byUse =
            std::min(static_cast<std::size_t>(std::min(inUse, 1e6)), ranked.size());
    return std::max({MinListed, byUse, countForLoad(ranked, load)});
}

void shorten(Members &members, std::size_t maxCount)
{
    if (members.size() > maxCount)
        members.resize(maxCount);
}

std::vector<EntryAddress> addressesOf(const Members &members)
{
    std::vector<EntryAddress> entries;
    for (const Member *member : members)
        entries.push_back({member->address, member->zone, std::max(member->weight, 1U)});
    return entries;
}

} // namespace

bool wouldBeListed(std::span<const Member> members, std::size_t index, const ListingLimits &limits)
{
    std::vector<Member> ready(members.begin(), members.end());
    Member &candidate = ready[index];
    candidate.state = MemberState::Alive;
    candidate.isBusy = false;
    if (candidate.address.empty())
        candidate.address = candidate.peerAddress;
    const std::vector<EntryAddress> entries = selectEntries(ready, limits);
    return std::any_of(entries.begin(), entries.end(), [&candidate](const EntryAddress &entry) {
        return entry.address == candidate.address;
    });
}

std::vector<EntryAddress> selectEntries(std::span<const Member> members,
                                        const ListingLimits &limits)
{
    Members serving;
    double load = 0;
    for (const Member &member : members) {
        if (isPresent(member.state))
            load += member.load;
        if (member.state == MemberState::Alive && !member.address.empty())
            serving.push_back(&member);
    }
    const std::size_t maxCount = std::max(limits.maxListed, MinLarge);
    Members ranked = rankedOf(largeOf(serving));
    std::size_t count = plannedCount(ranked, load, limits);
    if (count > ranked.size() && ranked.size() < serving.size()) {
        ranked = rankedOf(serving);
        count = plannedCount(ranked, load, limits);
    }
    count = std::min({count, ranked.size(), maxCount});
    const auto isBusy = [](const Member *member) { return member->isBusy; };
    const auto busy = static_cast<std::size_t>(std::count_if(
            ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), isBusy));
    if (busy * OverloadDivisor > count)
        ranked = rankedOf(serving);
    else
        std::erase_if(ranked, isBusy);
    shorten(ranked, busy * OverloadDivisor > count ? maxCount : count);
    return addressesOf(ranked);
}

} // namespace geraniumcart
