#pragma once

#include <geraniumcart/timer_service.h>

namespace geraniumcart {

/// Network round trip between callers and a daemon, unless the settings state another. Callers are
/// about 3 ms away.
inline constexpr std::chrono::milliseconds DefaultCallerRoundTrip{6};

/// Tells until when an answer from some of the shards may wait for the others, so that its caller
/// still has it within the latency objective. It answers a light load on small daemons: a caller
/// that comes rarely opens a connection for its request and queries the directory before that, and
/// a daemon with a small processor share needs milliseconds for the steps on either side of the
/// run. Each worker has its own instance.
class AnswerMargin
{
public:
    /// @param callerRoundTrip network round trip time between callers and the daemon
    explicit AnswerMargin(Duration callerRoundTrip)
        : m_callerRoundTrip(callerRoundTrip)
    {
    }

    /// Records the time from the end of a run until its answer was passed to the network.
    void recordEnd(Duration took);
    /// @param isFirstOnConnection true if the caller opened its connection for this request
    /// @return the time at which a run that has enough answers ends, no sooner than a third of the
    /// objective after the arrival of the request
    TimePoint latestEnd(TimePoint arrival, Duration objective, bool isFirstOnConnection) const;

private:
    const Duration m_callerRoundTrip;
    /// Smoothed time that this worker needs to pass an answer on. It starts at that of a daemon
    /// with an eighth of a core.
    Duration m_processing = std::chrono::milliseconds(4);
};

} // namespace geraniumcart
