#include <geraniumcart/answer_margin.h>

#include <algorithm>

namespace geraniumcart {

namespace {

/// Weight of one sample in the smoothed processing time is 1 / SmoothingDivisor.
constexpr int SmoothingDivisor = 8;
/// Longer samples are clamped to this, which bounds the effect of a single pause of the process.
constexpr std::chrono::milliseconds MaxProcessing{30};
/// The processing time is taken to be at least this long, for the network and the caller.
constexpr std::chrono::milliseconds MinProcessing{2};
/// Round trips of a caller that opens a connection: a connection to the directory, its answer, a
/// connection to this daemon, and the request with its answer.
constexpr int RoundTripsOfFirst = 4;
/// Steps of a daemon for such a caller: the answer of the directory, the new connection, and the
/// answer to the request.
constexpr int StepsOfFirst = 3;
/// Part of the latency objective that is kept as a reserve: the objective divided by this. A run
/// that ends a little earlier misses few shards more, while an answer that is late is of little use
/// to its caller.
constexpr int ReserveDivisor = 6;
/// Part of the latency objective that a run has at least: the objective divided by this.
constexpr int MinRunDivisor = 3;

} // namespace

void AnswerMargin::recordEnd(Duration took)
{
    const Duration sample = std::clamp<Duration>(took, Duration::zero(), MaxProcessing);
    m_processing += (sample - m_processing) / SmoothingDivisor;
}

TimePoint AnswerMargin::latestEnd(TimePoint arrival, Duration objective,
                                  bool isFirstOnConnection) const
{
    const Duration processing = std::max<Duration>(m_processing, MinProcessing);
    const Duration margin =
            isFirstOnConnection ? RoundTripsOfFirst * m_callerRoundTrip + StepsOfFirst * processing
                                : m_callerRoundTrip + processing;
    return arrival + std::max<Duration>(objective - margin - objective / ReserveDivisor,
                                        objective / MinRunDivisor);
}

} // namespace geraniumcart
