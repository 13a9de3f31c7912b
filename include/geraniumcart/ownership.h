#pragma once

#include <geraniumcart/catalog.h>
#include <geraniumcart/member.h>

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace geraniumcart {

/// Says which daemon dispatches to which searcher. A pure function of its input, so that daemons
/// with the same view agree without talking.
/// @param searchers one service's searchers
/// @param members members that may own: alive or suspect, in zones that are not out
/// @return for each searcher an index into @p members; empty when there are no members
std::vector<std::uint32_t> assignOwners(std::span<const SearcherEntry> searchers,
                                        std::span<const Member> members);

} // namespace geraniumcart
