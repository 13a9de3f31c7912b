#pragma once

#include <geraniumcart/timer_service.h>

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>

namespace geraniumcart {

/// Tokens for work beyond the first attempt. Each first attempt adds a share of a token; each
/// retry or hedge takes one. Shared by all workers.
class AttemptBudget
{
public:
    /// @param share tokens earned by one first attempt, 0 to 1
    /// @param reserve most tokens that can be saved up; also the initial amount
    AttemptBudget(double share, std::uint32_t reserve);

    void earn(std::uint32_t firstAttempts);
    bool tryTake();
    /// Tokens that are saved up.
    double left() const;

private:
    // Thousandths of a token, so that one atomic integer is enough.
    std::int64_t m_earnedPerAttempt;
    std::int64_t m_limit;
    std::atomic<std::int64_t> m_millitokens;
};

/// Decides when a sub-request counts as straggling. Shared by all workers; thread-safe.
class HedgingPolicy
{
public:
    virtual ~HedgingPolicy() = default;
    /// Feeds the latency of an answered sub-request.
    virtual void observe(Duration latency) = 0;
    /// Age at which a sub-request is hedged; nothing while hedging is off or unprepared.
    virtual std::optional<Duration> delay() const = 0;
};

enum class HedgingKind : std::uint8_t { Quantile, None };

/// Share of sub-requests that answer before they are hedged. The rest, and second hedges of those,
/// are 3.1% more load, which stays inside a budget of 5%.
inline constexpr double DefaultHedgedQuantile = 0.97;

/// @param quantile share of sub-requests that answer before they are hedged, 0 to 1
std::unique_ptr<HedgingPolicy> makeHedgingPolicy(HedgingKind kind,
                                                 double quantile = DefaultHedgedQuantile);

} // namespace geraniumcart
