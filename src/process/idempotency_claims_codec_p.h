#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace geraniumcart {

enum class ClaimPhase : std::uint8_t {
    /// Dispatch may be under way, or its end was not recorded.
    Running,
    Done,
    NotRun,
};

/// Value of a store object `claims/{tenant}/{key}`.
struct ClaimRecord
{
    /// Names the request that holds the claim.
    std::string nonce;
    /// Hash over service, route key and body; tells whether a repeat asks for the same.
    std::string fingerprint;
    ClaimPhase phase = ClaimPhase::Running;
    /// The searcher's answer when done.
    std::string body;
    bool operator==(const ClaimRecord &) const = default;
};

std::string formatClaim(const ClaimRecord &record);
/// @return nothing where @p json is not a claim.
std::optional<ClaimRecord> parseClaim(std::string_view json);

/// Key of a claim. Tenant and key are percent-encoded, so that no two pairs share an object.
std::string claimKey(std::string_view tenant, std::string_view key);

} // namespace geraniumcart
