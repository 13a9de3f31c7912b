#pragma once

#include <geraniumcart/timer_service.h>

#include <cstdint>
#include <optional>

namespace geraniumcart {

/// Limit on concurrent requests that adapts to the capacity of the searchers. It is lowered if
/// requests are shed, or if latency is well above the baseline, which is the latency of searchers
/// without a queue. It rises if it is reached and neither is the case. Periodically a probe lowers
/// the limit to measure the baseline again. Probes are scheduled by the wall clock, so that all
/// daemons make them at the same time and the baseline of one daemon does not include the queue
/// that other daemons cause. Not thread-safe.
class ConcurrencyLimit
{
public:
    explicit ConcurrencyLimit(TimerService &timers);

    /// Current limit; lower during a probe.
    std::uint32_t limit() const;
    /// Sets how many queries the searchers run at once for this daemon; may be below 1. Each call
    /// updates the minimum limit; the first call also sets the initial limit.
    void setParallelism(double queries);
    /// Records that a request had to wait because the limit was reached.
    void recordLimitReached() { m_wasLimitReached = true; }
    /// Records the end of a request.
    /// @param running number of running requests, including this one
    void observe(Duration latency, bool wasOverloaded, std::uint32_t running);

    /// Smoothed latency; zero before the first sample.
    Duration typicalLatency() const { return m_typical; }
    /// Latency that few requests exceed: the smoothed value plus its mean deviation.
    Duration highLatency() const { return m_typical + m_deviation; }
    /// First quartile: latency that three of four requests exceed.
    Duration lowLatency() const { return m_low; }

private:
    /// Requests observed in the current measurement window.
    struct Window
    {
        TimePoint startedAt{};
        Duration sum{};
        std::uint32_t served = 0;
        std::uint32_t overloaded = 0;
        std::uint32_t peakRunning = 0;

        std::uint32_t count() const { return served + overloaded; }
        std::optional<Duration> mean() const
        {
            return served == 0 ? std::nullopt : std::optional(sum / served);
        }
        double overloadedShare() const { return static_cast<double>(overloaded) / count(); }
    };

    void smooth(Duration latency);
    /// @param settlingTime delay before the window starts, in which the effect of the previous
    /// limit ends
    void startWindow(Duration settlingTime);
    void endWindow();
    void endProbe();
    /// Raises or lowers the limit at the end of a window.
    void adapt(std::optional<Duration> mean, double overloadedShare);
    bool mayDecreaseForSheds(double overloadedShare);
    /// Multiplies the limit by a factor below 1, and ends the slow start.
    void scale(double factor);
    /// Number of the current probe interval since the epoch of the wall clock.
    std::int64_t probeNumber() const;

    TimerService &m_timers;
    double m_limit;
    /// Upper bound of the limit after sheds.
    double m_ceiling;
    double m_minLimit;
    double m_parallelism = 0;
    Window m_window;
    /// True if the limit was reached in this window.
    bool m_wasLimitReached = false;
    /// True until latency rises or the limit is lowered for the first time; it rises faster until
    /// then.
    bool m_isSlowStart = true;
    bool m_isProbing = false;
    std::int64_t m_lastProbe;
    /// Latency of searchers without a queue, once measured.
    std::optional<Duration> m_baseline;
    Duration m_typical{};
    Duration m_deviation{};
    Duration m_low{};
    /// Decreases since the share of shed requests was last compared.
    std::uint32_t m_shedDecreases = 0;
    double m_shareAtLastCheck = 0;
};

} // namespace geraniumcart
