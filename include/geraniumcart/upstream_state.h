#pragma once

#include <geraniumcart/timer_service.h>

#include <atomic>
#include <cstdint>
#include <string>

namespace geraniumcart {

/// Inclusive range of index versions that a searcher serves. Empty if newest is 0.
struct ServedVersions
{
    std::uint64_t oldest = 0;
    std::uint64_t newest = 0;
    bool contains(std::uint64_t version) const
    {
        return newest != 0 && oldest <= version && version <= newest;
    }
    bool operator==(const ServedVersions &) const = default;
};

/// State of one searcher as known to this daemon. Outlives single snapshots: it is removed once no
/// snapshot or request refers to it. Thread-safe: every field that changes is atomic, since
/// requests on all workers read it while the searcher's home worker writes.
class UpstreamState
{
public:
    explicit UpstreamState(std::string address)
        : m_address(std::move(address))
    {
    }
    UpstreamState(const UpstreamState &) = delete;
    UpstreamState &operator=(const UpstreamState &) = delete;

    const std::string &address() const { return m_address; }

    /// Sub-requests of all workers that were submitted to this searcher's gate and have not ended.
    std::uint32_t inFlight() const { return m_inFlight.load(std::memory_order_relaxed); }
    void begin() { m_inFlight.fetch_add(1, std::memory_order_relaxed); }
    void end() { m_inFlight.fetch_sub(1, std::memory_order_relaxed); }

    /// Smoothed latency of answers; zero before the first answer.
    Duration latency() const { return Duration(m_latency.load(std::memory_order_relaxed)); }
    void recordLatency(Duration sample);

    /// Number of failures since the last answer.
    std::uint32_t failures() const { return m_failures.load(std::memory_order_relaxed); }
    void recordFailure() { m_failures.fetch_add(1, std::memory_order_relaxed); }
    void recordSuccess() { m_failures.store(0, std::memory_order_relaxed); }

    bool isCold() const { return m_cold.load(std::memory_order_relaxed); }
    void setCold(bool cold) { m_cold.store(cold, std::memory_order_relaxed); }

    /// Boot identity under which the searcher was last seen warm; 0 while it is cold. A new owner
    /// treats the searcher as warm if its answers carry the same identity.
    std::uint64_t warmBootId() const { return m_warmBootId.load(std::memory_order_relaxed); }
    void setWarmBootId(std::uint64_t bootId)
    {
        m_warmBootId.store(bootId, std::memory_order_relaxed);
        setCold(bootId == 0);
    }
    /// Resets the warm state and the served versions. Called when the searcher has had no requests
    /// for a while: it then counts as cold, and its index versions have to be queried again.
    void forget()
    {
        setWarmBootId(0);
        setServed({});
    }

    /// True after the searcher signalled that it is draining; it then receives no new work.
    bool isDraining() const { return m_draining.load(std::memory_order_relaxed); }
    void setDraining(bool draining) { m_draining.store(draining, std::memory_order_relaxed); }

    /// Index versions that the searcher serves, as last reported.
    ServedVersions served() const
    {
        return {m_oldestVersion.load(std::memory_order_acquire),
                m_newestVersion.load(std::memory_order_acquire)};
    }
    void setServed(ServedVersions versions);

private:
    std::string m_address;
    std::atomic<std::uint32_t> m_inFlight{0};
    std::atomic<std::uint32_t> m_failures{0};
    std::atomic<Duration::rep> m_latency{0};
    std::atomic<std::uint64_t> m_oldestVersion{0};
    std::atomic<std::uint64_t> m_newestVersion{0};
    // A searcher counts as cold until it has been seen warm.
    std::atomic<bool> m_cold{true};
    std::atomic<std::uint64_t> m_warmBootId{0};
    std::atomic<bool> m_draining{false};
};

} // namespace geraniumcart
