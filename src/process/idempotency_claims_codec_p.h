#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace geraniumcart {

/// Progress of the request that holds a claim.
enum class ClaimPhase : std::uint8_t {
    /// The request may be in progress, or its end was not recorded.
    Running,
    /// The searcher ran the request and answered.
    Done,
    /// The request was not run, so the key may be claimed again.
    NotRun,
};

/// Value of a store object `claims/{tenant}/{key}`.
struct ClaimRecord
{
    /// Identifies the request that holds the claim.
    std::string nonce;
    /// Hash over service, route key and body; a repeated request must have the same one.
    std::string fingerprint;
    ClaimPhase phase = ClaimPhase::Running;
    /// The searcher's answer; empty unless the phase is Done.
    std::string body;
    bool operator==(const ClaimRecord &) const = default;
};

std::string formatClaim(const ClaimRecord &record);
/// @return nothing if @p json is not a valid claim
std::optional<ClaimRecord> parseClaim(std::string_view json);

/// Key of the store object of a claim. Tenant and key are percent-encoded, so that no two pairs
/// share an object.
std::string claimKey(std::string_view tenant, std::string_view key);

} // namespace geraniumcart
