#pragma once

#include <geraniumcart/member.h>
#include <geraniumcart/snapshot.h>

#include <span>
#include <vector>

namespace geraniumcart {

/// Selects the daemons that callers are sent to: the daemons with the largest processor shares if
/// there are enough of them and they are spread over availability zones, otherwise all daemons that
/// can serve. This is faster for a light load on a large fleet: a large daemon serves a request
/// over many shards faster, and a small number of daemons keeps its connections to searchers in
/// use. A few busy daemons are left out of the list; if many daemons are busy, callers are sent to
/// all. Each daemon that callers use holds a connection to every searcher, so the number of listed
/// daemons is limited by the connections that searchers accept; a large fleet lists its largest
/// daemons, spread over zones.
/// @param maxListed number of daemons whose connections the searchers can accept
std::vector<EntryAddress> selectEntries(std::span<const Member> members, std::size_t maxListed);

/// @return true if the member at @p index would be listed if it were ready to serve callers. A
/// member that would not be listed does not need to open connections in advance.
bool wouldBeListed(std::span<const Member> members, std::size_t index, std::size_t maxListed);

} // namespace geraniumcart
