#pragma once

#include <geraniumcart/catalog.h>
#include <geraniumcart/member.h>

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace geraniumcart {

/// Assigns each searcher to the daemon that dispatches requests to it. The result depends only on
/// the arguments, so that daemons with the same view agree without exchanging messages.
/// @param searchers one service's searchers
/// @param members members that may be owners: alive or suspect, in zones that are in service
/// @return for each searcher an index into @p members; empty if there are no members
std::vector<std::uint32_t> assignOwners(std::span<const SearcherEntry> searchers,
                                        std::span<const Member> members);

} // namespace geraniumcart
