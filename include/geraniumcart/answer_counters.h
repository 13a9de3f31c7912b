#pragma once

#include <geraniumcart/timer_service.h>

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace geraniumcart {

/// Counts the answers of one back-end version on one route, over all workers of this daemon.
/// Thread-safe.
class AnswerCounters
{
public:
    /// Bucket i counts latencies below 2^i * FirstBucket that no lower bucket counts; the last one
    /// counts all longer latencies.
    static constexpr std::size_t Buckets = 16;
    static constexpr std::chrono::microseconds FirstBucket{250};

    /// Counts a good answer. The latency counts only if the searcher was warm, since cold searchers
    /// are slow with any version.
    void addGood(Duration latency, bool wasCold);
    /// Counts an answer in which the searcher reported a failure.
    void addBad() { m_bad.fetch_add(1, std::memory_order_relaxed); }
    /// Counts a request without a complete answer. The network may be the cause, so such requests
    /// are compared apart from bad answers.
    void addLost() { m_lost.fetch_add(1, std::memory_order_relaxed); }
    /// Counts the latency of a cancelled sub-request as @p age, since it would have taken longer.
    /// Ignored if the searcher was cold.
    void addCancelled(Duration age, bool wasCold);

    std::uint64_t good() const { return m_good.load(std::memory_order_relaxed); }
    std::uint64_t bad() const { return m_bad.load(std::memory_order_relaxed); }
    std::uint64_t lost() const { return m_lost.load(std::memory_order_relaxed); }
    std::vector<std::uint64_t> latencyBuckets() const;

private:
    void addLatency(Duration latency);

    std::atomic<std::uint64_t> m_good{0};
    std::atomic<std::uint64_t> m_bad{0};
    std::atomic<std::uint64_t> m_lost{0};
    std::array<std::atomic<std::uint64_t>, Buckets> m_buckets{};
};

/// Answer counts of one back-end version, indexed by route (see RequestKind).
struct VersionCounters
{
    std::array<AnswerCounters, 2> routes;
};

/// Counters of one service, keyed by back-end version.
using CountersByVersion = std::map<std::string, std::shared_ptr<VersionCounters>, std::less<>>;
/// Counters of one daemon, keyed by service.
using ServiceCounters = std::map<std::string, CountersByVersion, std::less<>>;

} // namespace geraniumcart
