#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace geraniumcart {

/// Size of one record in a searcher's answer, in bytes. A shorter remainder at the end is ignored.
inline constexpr std::size_t RecordBytes = 16;

/// Merges the answers of several shards. Records are compared byte by byte as unsigned values;
/// equal records are all kept.
/// @param parts bodies of the answers, with records in any order
/// @param limit maximum number of records in the result
/// @return the greatest records in descending order
std::string mergeGreatestRecords(std::span<const std::string_view> parts, std::uint32_t limit);

} // namespace geraniumcart
