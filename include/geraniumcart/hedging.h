#pragma once

#include <geraniumcart/timer_service.h>

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>

namespace geraniumcart {

/// Token bucket that bounds retries or hedges to a share of first attempts. Each first attempt adds
/// a fraction of a token; each retry or hedge takes one. Tokens may be added with time as well. In
/// any span of time at most the reserve, the share of the first attempts in that span and what the
/// span adds are taken. Shared by all workers; thread-safe.
class AttemptBudget
{
public:
    /// @param share tokens that one first attempt adds, 0 to 1
    /// @param reserve capacity in tokens
    /// @param initial initial amount. It is 0 where a limit holds over restarts of the process,
    /// since
    ///     the earlier process may have taken all that the limit allows.
    AttemptBudget(double share, double reserve, double initial);
    /// Creates a bucket that is full.
    AttemptBudget(double share, std::uint32_t reserve)
        : AttemptBudget(share, reserve, reserve)
    {
    }

    /// Adds the tokens for this many first attempts, up to the capacity.
    void addFirstAttempts(std::uint32_t firstAttempts);
    /// Takes one token. @return false if there is none
    bool tryTake();
    /// As tryTake(), but leaves a quarter of the reserve to retries: a retry makes up for an
    /// attempt that failed, while a hedge only makes an answer faster.
    bool tryTakeForHedge();
    /// Sets the tokens that may be taken in the time of @p window beyond the share of first
    /// attempts. Half of them are the capacity, or one if that is more; the others are added with
    /// time. A part of less than one token allows none. Tokens beyond the capacity are lost.
    void setPart(double part, Duration window);
    /// Adds the tokens for the time since the last call; the first call adds none.
    void refill(TimePoint now);
    /// Number of tokens that can be taken.
    double available() const;

private:
    void setReserve(double reserve);
    /// Takes one token if @p floor are left in addition.
    bool tryTake(std::int64_t floor);
    /// Removes tokens beyond the limit, at most @p most.
    void trim(std::int64_t balance, std::int64_t most);

    // Amounts are in thousandths of a token, so that one atomic integer is enough.
    const std::int64_t m_millitokensPerAttempt;
    std::atomic<std::int64_t> m_limit;
    std::atomic<std::int64_t> m_millitokensPerSecond{0};
    /// Time of the last refill(); 0 before the first.
    std::atomic<Duration::rep> m_refilledAt{0};
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
