#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace geraniumcart {

/// Size of one record in a searcher's answer, in bytes. A shorter remainder is no record.
inline constexpr std::size_t RecordBytes = 16;

/// Merges the answers of several shards. Records compare byte by byte; equal ones all count.
/// @param parts bodies with records in any order
/// @param limit most records in the result
/// @return the greatest records, greatest first
std::string mergeGreatestRecords(std::span<const std::string_view> parts, std::uint32_t limit);

} // namespace geraniumcart
