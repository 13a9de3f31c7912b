#pragma once

#include <geraniumcart/member.h>

#include <span>
#include <string>
#include <vector>

namespace geraniumcart {

/// @return the names of the members that watch the store themselves; the result is the same on
/// every daemon that sees the same members. Watchers are spread over the availability zones. Their
/// number grows with a small part of the fleet, so that the number of calls to the store grows much
/// more slowly than the fleet.
std::vector<std::string> pickWatchers(std::span<const Member> members);

/// @return the names of the watchers that send changes to @p member, in order of preference
std::vector<std::string> pickSources(const std::string &member,
                                     std::span<const std::string> watchers);

/// @return the peer addresses of the members to which @p self sends changes while it has no
/// watcher: those that precede it when all present members are ordered by a hash of their names.
/// Every member has successors in this order, so that a change reaches all members if it reaches
/// any.
std::vector<std::string> pickNeighbors(const std::string &self, std::span<const Member> members);

} // namespace geraniumcart
