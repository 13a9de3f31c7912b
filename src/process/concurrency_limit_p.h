#pragma once

#include <geraniumcart/timer_service.h>

#include <cstdint>
#include <optional>

namespace geraniumcart {

/// Bound on concurrent requests that adapts to what the searchers bear. Latency well above that of
/// searchers without a queue, or shed requests, lower it; a bound that is reached without either
/// rises. From time to time the bound is lowered to learn the latency without a queue anew. These
/// probes follow the calendar clock, so that all daemons make them together and none takes the
/// queue of the others for the searchers' own latency. Belongs to one thread.
class ConcurrencyLimit
{
public:
    explicit ConcurrencyLimit(TimerService &timers);

    std::uint32_t limit() const;
    /// Sets how many queries the searchers run at once for this daemon; may be below 1. The first
    /// call replaces the first bound, and the least bound follows.
    void setParallelism(double queries);
    /// Notes that a request had to wait because the bound was reached.
    void noteReached() { m_wasReached = true; }
    /// Notes the end of a request. @p running counts the requests that were running until then.
    void observe(Duration latency, bool wasOverloaded, std::uint32_t running);

    /// Smoothed latency; zero before the first.
    Duration typicalLatency() const { return m_typical; }
    /// Latency that few requests exceed: the smoothed value and its mean deviation.
    Duration highLatency() const { return m_typical + m_deviation; }
    /// Latency that three of four requests exceed.
    Duration lowLatency() const { return m_low; }

private:
    struct Window
    {
        TimePoint startedAt{};
        Duration sum{};
        std::uint32_t served = 0;
        std::uint32_t overloaded = 0;
        std::uint32_t mostRunning = 0;

        std::uint32_t count() const { return served + overloaded; }
        std::optional<Duration> mean() const
        {
            return served == 0 ? std::nullopt : std::optional(sum / served);
        }
        double overloadedShare() const { return static_cast<double>(overloaded) / count(); }
    };

    void smooth(Duration latency);
    void startWindow(Duration settle);
    void endWindow();
    void endProbe();
    void adapt(std::optional<Duration> mean, double overloadedShare);
    bool mayDecreaseForSheds(double overloadedShare);
    void scale(double factor);
    std::int64_t probeNumber() const;

    TimerService &m_timers;
    double m_limit;
    double m_ceiling;
    double m_leastLimit;
    double m_parallelism = 0;
    Window m_window;
    bool m_wasReached = false;
    /// True until the bound was lowered for the first time; it rises faster until then.
    bool m_isFirstRise = true;
    bool m_isProbing = false;
    std::int64_t m_lastProbe;
    /// Latency of searchers without a queue.
    std::optional<Duration> m_baseline;
    Duration m_typical{};
    Duration m_deviation{};
    Duration m_low{};
    std::uint32_t m_shedDecreases = 0;
    double m_shareAtFirstDecrease = 0;
};

} // namespace geraniumcart
