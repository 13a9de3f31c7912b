#pragma once

#include <geraniumcart/rollout.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace geraniumcart {

/// Record of how a rollout ended; value of the store object `status/move/{service}`.
struct RolloutRecord
{
    std::string service;
    std::string version;
    /// Due time of the rollout, from its rule.
    WallTime by{};
    RolloutPhase state = RolloutPhase::Done;
    std::string reason;
    /// Version of the rules object that the writer had. It orders records: a later rule may have an
    /// earlier due time, but versions of the rules object only increase.
    std::uint64_t rulesVersion = 0;
    bool operator==(const RolloutRecord &) const = default;
};

/// @return the record as JSON
std::string formatRolloutRecord(const RolloutRecord &record);
/// @return nothing if @p json is not the record of a completed or rolled back rollout
std::optional<RolloutRecord> parseRolloutRecord(std::string_view json);

} // namespace geraniumcart
