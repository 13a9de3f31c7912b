#pragma once

#include <geraniumcart/member.h>
#include <geraniumcart/snapshot.h>

#include <span>
#include <vector>

namespace geraniumcart {

/// Picks the daemons that callers are sent to: those with the largest processor shares, as long as
/// enough of them are there and they are spread over availability zones; all that can serve
/// otherwise. Answers the light load of a large fleet: a request over many shards is served faster
/// by a large daemon, and few daemons keep their connections to searchers in use. A few busy
/// daemons are left out; a crowd that makes many of them busy is answered by sending callers to
/// all. Each daemon that callers use holds a connection to every searcher, so that their number is
/// bounded by what searchers take; a large fleet lists its largest daemons, spread over zones.
/// @param mostListed daemons whose connections the searchers can hold
std::vector<EntryAddress> selectEntries(std::span<const Member> members, std::size_t mostListed);

/// True if the member at @p index would be listed if it were ready to serve callers. One that would
/// not be needs no connections ahead of need.
bool wouldBeListed(std::span<const Member> members, std::size_t index, std::size_t mostListed);

} // namespace geraniumcart
