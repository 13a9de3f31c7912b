#include "process/load_meter_p.h"

#include <algorithm>
#include <cmath>

namespace geraniumcart {

namespace {

/// Weight of one sample in the smoothed rate is 1 / SmoothingDivisor. A daemon of a large fleet
/// gets a request over many shards every few seconds, so that single seconds say little.
constexpr std::uint32_t SmoothingDivisor = 8;
/// Number of samples before the first value is announced.
constexpr std::uint32_t MinSamples = 2;
/// The announced value changes when the measured one is more than this many times larger or
/// smaller.
constexpr double Hysteresis = 1.8;

} // namespace

std::optional<std::uint32_t> LoadMeter::update(std::uint64_t total, Duration elapsed)
{
    const double seconds = std::chrono::duration<double>(elapsed).count();
    const auto sent = static_cast<double>(total - m_total);
    m_total = total;
    if (total == 0 || seconds <= 0)
        return std::nullopt;
    m_samples = std::min(m_samples + 1, SmoothingDivisor);
    m_rate += (sent / seconds - m_rate) / m_samples;
    const auto rate = static_cast<std::uint32_t>(std::lround(std::max(m_rate, 1.0)));
    if (m_samples < MinSamples ||
        (rate <= m_announced * Hysteresis && rate * Hysteresis >= m_announced))
        return std::nullopt;
    m_announced = rate;
    return rate;
}

} // namespace geraniumcart
