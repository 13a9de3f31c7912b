#pragma once

#include <geraniumcart/rollout.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace geraniumcart {

/// Value of a store object `status/move/{service}`: how a move ended.
struct RolloutRecord
{
    std::string service;
    std::string version;
    WallTime by{};
    RolloutPhase state = RolloutPhase::Done;
    std::string reason;
    /// Version of the rules object that the writer held. Set times may go back from one rule to the
    /// next, versions of the rules do not.
    std::uint64_t rulesVersion = 0;
    bool operator==(const RolloutRecord &) const = default;
};

std::string formatRolloutRecord(const RolloutRecord &record);
/// @return nothing where @p json is not the record of a finished move.
std::optional<RolloutRecord> parseRolloutRecord(std::string_view json);

} // namespace geraniumcart
