#pragma once

#include <geraniumcart/timer_service.h>

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>

namespace geraniumcart {

/// Token bucket that bounds retries or hedges to a share of first attempts. Each first attempt adds
/// a fraction of a token; each retry or hedge takes one. Shared by all workers; thread-safe.
class AttemptBudget
{
public:
    /// @param share tokens that one first attempt adds, 0 to 1
    /// @param reserve capacity in tokens; also the initial amount
    AttemptBudget(double share, std::uint32_t reserve);

    /// Adds the tokens for this many first attempts, up to the capacity.
    void addFirstAttempts(std::uint32_t firstAttempts);
    /// Takes one token. @return false if there is none
    bool tryTake();
    /// Number of tokens that can be taken.
    double available() const;

private:
    // Amounts are in thousandths of a token, so that one atomic integer is enough.
    std::int64_t m_millitokensPerAttempt;
    std::int64_t m_limit;
    std::atomic<std::int64_t> m_millitokens;
};

/// Decides after which time a sub-request without an answer is hedged: sent to a second searcher as
/// well. Shared by all workers; thread-safe.
class HedgingPolicy
{
public:
    virtual ~HedgingPolicy() = default;
    /// Records the latency of an answered sub-request.
    virtual void observe(Duration latency) = 0;
    /// Age at which a sub-request is hedged; nothing if hedging is off or too few latencies were
    /// observed yet.
    virtual std::optional<Duration> delay() const = 0;
};

enum class HedgingKind : std::uint8_t { Quantile, None };

/// Share of sub-requests that are answered before they would be hedged. The hedges of the rest, and
/// second hedges of those, add 3.1% load, which stays inside a budget of 5%.
inline constexpr double DefaultHedgedQuantile = 0.97;

/// Creates a policy: Quantile hedges at a quantile of recent latencies, None never hedges.
/// @param quantile share of sub-requests that are answered before they would be hedged, 0 to 1
std::unique_ptr<HedgingPolicy> makeHedgingPolicy(HedgingKind kind,
                                                 double quantile = DefaultHedgedQuantile);

} // namespace geraniumcart
