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

/// Counts of answers of one back-end version on one route, by all workers of this daemon.
class AnswerCounters
{
public:
    /// Bucket i counts latencies below 2^i * FirstBucket, the last one all above.
    static constexpr std::size_t Buckets = 16;
    static constexpr std::chrono::microseconds FirstBucket{250};

    /// An answer from a warm searcher. Cold ones are slow whatever their version.
    void addGood(Duration latency, bool wasCold);
    void addBad() { m_bad.fetch_add(1, std::memory_order_relaxed); }
    /// A sub-request that was given up: it would have taken longer than @p age.
    void addCancelled(Duration age, bool wasCold);

    std::uint64_t good() const { return m_good.load(std::memory_order_relaxed); }
    std::uint64_t bad() const { return m_bad.load(std::memory_order_relaxed); }
    std::vector<std::uint64_t> latencyBuckets() const;

private:
    void addLatency(Duration latency);

    std::atomic<std::uint64_t> m_good{0};
    std::atomic<std::uint64_t> m_bad{0};
    std::array<std::atomic<std::uint64_t>, Buckets> m_buckets{};
};

/// Evidence on one back-end version, by route (see RequestKind).
struct VersionCounters
{
    std::array<AnswerCounters, 2> routes;
};

/// Counters of one service by back-end version.
using CountersByVersion = std::map<std::string, std::shared_ptr<VersionCounters>, std::less<>>;
/// Counters of one daemon by service.
using ServiceCounters = std::map<std::string, CountersByVersion, std::less<>>;

} // namespace geraniumcart
