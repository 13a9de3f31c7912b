#include <geraniumcart/upstream_state.h>

namespace geraniumcart {

namespace {

/// Weight of one sample in the smoothed latency is 1 / LatencySmoothing.
constexpr Duration::rep LatencySmoothing = 8;

} // namespace

void UpstreamState::recordLatency(Duration sample)
{
    // Concurrent writers may overwrite each other's sample, which matters little for a smoothed
    // value.
    const Duration::rep old = m_latency.load(std::memory_order_relaxed);
    const Duration::rep next =
            old == 0 ? sample.count() : old + (sample.count() - old) / LatencySmoothing;
    m_latency.store(next, std::memory_order_relaxed);
}

void UpstreamState::setServed(ServedVersions versions)
{
    // A reader between the two stores sees a mix of the old and the new range. That is safe, since
    // an answer states its own version: a request that was sent because of such a range ends as an
    // answer of the wrong version, and no search merges different versions.
    m_oldestVersion.store(versions.oldest, std::memory_order_release);
    m_newestVersion.store(versions.newest, std::memory_order_release);
}

} // namespace geraniumcart
