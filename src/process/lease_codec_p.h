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
    /// Tells the writes of one incarnation apart, so that a lost answer can be resolved.
    std::uint64_t renewal = 0;
    bool operator==(const LeaseRecord &) const = default;
};

std::string formatLease(const LeaseRecord &record);
/// @return nothing where @p json is not a lease.
std::optional<LeaseRecord> parseLease(std::string_view json);

} // namespace geraniumcart
