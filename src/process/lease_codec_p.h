#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace geraniumcart {

/// Value of a store object `leases/{duty}`.
struct LeaseRecord
{
    std::string holder;
    std::uint64_t incarnation = 0;
    std::chrono::milliseconds term{};
    /// Number of the write within the incarnation. It shows which write is stored after an answer
    /// was lost.
    std::uint64_t renewal = 0;
    bool operator==(const LeaseRecord &) const = default;
};

std::string formatLease(const LeaseRecord &record);
/// @return nothing if @p json is not a valid lease
std::optional<LeaseRecord> parseLease(std::string_view json);

} // namespace geraniumcart
