#include <geraniumcart/answer_counters.h>

#include <algorithm>
#include <bit>

namespace geraniumcart {

void AnswerCounters::addGood(Duration latency, bool wasCold)
{
    m_good.fetch_add(1, std::memory_order_relaxed);
    if (!wasCold)
        addLatency(latency);
}

void AnswerCounters::addCancelled(Duration age, bool wasCold)
{
    // Most sub-requests that are cancelled were slow, so that a hedge answered first. If their age
    // were not counted, a slow version would appear as fast as the other versions.
    if (!wasCold)
        addLatency(age);
}

void AnswerCounters::addLatency(Duration latency)
{
    const auto units =
            static_cast<std::uint64_t>(std::max<Duration::rep>(0, latency / FirstBucket));
    const std::size_t bucket = std::min<std::size_t>(std::bit_width(units), Buckets - 1);
    m_buckets[bucket].fetch_add(1, std::memory_order_relaxed);
}

std::vector<std::uint64_t> AnswerCounters::latencyBuckets() const
{
    std::vector<std::uint64_t> buckets;
    for (const std::atomic<std::uint64_t> &bucket : m_buckets)
        buckets.push_back(bucket.load(std::memory_order_relaxed));
    return buckets;
}

} // namespace geraniumcart
