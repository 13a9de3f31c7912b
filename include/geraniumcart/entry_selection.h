#pragma once

#include <geraniumcart/member.h>
#include <geraniumcart/snapshot.h>

#include <limits>
#include <span>
#include <vector>

namespace geraniumcart {

/// What the searchers admit and need.
struct ListingLimits
{
    /// Number of daemons whose connections the searchers can accept. Each daemon that callers use
    /// holds a connection to every searcher.
    std::size_t maxListed = std::numeric_limits<std::size_t>::max();
    /// Number of searchers that the routes in force use.
    std::size_t searchers = 0;
    bool operator==(const ListingLimits &) const = default;
};

/// Selects the daemons that callers are sent to. It answers a load that is light for the fleet: a
/// connection to a searcher that is used rarely has been closed before its next request, and a
/// daemon that gets few requests has a small part in the allowance for hedges. As many daemons are
/// listed as keep their connections in use, and at least as many as carry the load that all members
/// report, with room for the loss of an availability zone. Large daemons are preferred, since they
/// serve a request over many shards faster, and the selection is spread over zones. While no load
/// is known, a fixed number of daemons is listed. A few busy daemons are replaced by others; if
/// many are busy, callers are sent to all daemons.
std::vector<EntryAddress> selectEntries(std::span<const Member> members,
                                        const ListingLimits &limits);

/// @return true if the member at @p index would be listed if it were ready to serve callers. A
/// member that would not be listed does not need to open connections in advance.
bool wouldBeListed(std::span<const Member> members, std::size_t index, const ListingLimits &limits);

} // namespace geraniumcart
