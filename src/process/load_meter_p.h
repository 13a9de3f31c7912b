#pragma once

#include <geraniumcart/timer_service.h>

#include <cstdint>
#include <optional>

namespace geraniumcart {

/// Measures how many requests per second this daemon sends to searchers, for the selection of the
/// daemons that callers use. The announced value changes only if the measured one differs a lot, so
/// that a steady load causes no messages to peers and does not change the selection.
class LoadMeter
{
public:
    /// @param total number of requests that have been sent since the start
    /// @param elapsed time since the last call
    /// @return the new value to announce, at least 1; nothing if it has not changed
    std::optional<std::uint32_t> update(std::uint64_t total, Duration elapsed);

private:
    std::uint64_t m_total = 0;
    /// Number of updates since the first request, up to SmoothingDivisor.
    std::uint32_t m_samples = 0;
    double m_rate = 0;
    std::uint32_t m_announced = 0;
};

} // namespace geraniumcart
