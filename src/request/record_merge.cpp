#include <geraniumcart/record_merge.h>

#include <algorithm>
#include <vector>

namespace geraniumcart {

std::string mergeGreatestRecords(std::span<const std::string_view> parts, std::uint32_t limit)
{
    std::vector<std::string_view> records;
    for (const std::string_view part : parts)
        for (std::size_t at = 0; at + RecordBytes <= part.size(); at += RecordBytes)
            records.push_back(part.substr(at, RecordBytes));
    const std::size_t count = std::min<std::size_t>(limit, records.size());
    // std::string_view compares by char_traits<char>, which orders bytes as unsigned.
    std::partial_sort(records.begin(), records.begin() + static_cast<std::ptrdiff_t>(count),
                      records.end(), std::greater<>());
    std::string merged;
    merged.reserve(count * RecordBytes);
    for (std::size_t i = 0; i < count; ++i)
        merged += records[i];
    return merged;
}

} // namespace geraniumcart
