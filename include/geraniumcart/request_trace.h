#pragma once

#include <geraniumcart/timer_service.h>
#include <geraniumcart/upstream.h>

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace geraniumcart {

/// A decision made for a request, or an event during its processing.
enum class TraceStep : std::uint8_t {
    /// The first attempt was sent.
    Sent,
    /// A hedge was sent: an attempt in parallel to one that is slow to answer.
    Hedged,
    /// An attempt was sent after an earlier one had failed.
    Retried,
    /// The service's attempt budget did not allow a hedge or retry.
    BudgetExhausted,
    /// No searcher had capacity for the request.
    NoRoom,
    /// All searchers that may be used have been tried, or there are none.
    NoUpstream,
    /// The searcher refused the request without running it.
    Refused,
    /// A different searcher answered at the address.
    OtherInstance,
    /// The searcher answered with a failure status.
    FailureReply,
    /// This and the next three values: the exchange ended with the ExchangeFailure of the same
    /// name.
    NotSent,
    /// Also stands for ExchangeFailure::Cancelled.
    Lost,
    Malformed,
    /// Also recorded for each attempt that is still open at the deadline of the call.
    TimedOut,
    /// The latency objective was exceeded while shards had not answered.
    ObjectivePassed,
};
const char *toString(TraceStep step);

/// One step of a request, with the daemon's view of the searcher at that time.
struct TraceEntry
{
    /// Time since the request arrived.
    Duration at{};
    TraceStep step = TraceStep::Sent;
    std::string service;
    /// Empty if the step does not involve a particular searcher.
    std::string instanceId;
    /// This daemon's requests in flight at the searcher.
    std::uint32_t inFlight = 0;
    /// Smoothed latency of the searcher.
    Duration latency{};
    /// Time for which the searcher had requests in flight without answering any.
    Duration silence{};
};

/// Records the steps of one request, so that a request that ends badly can be logged in full. The
/// number of steps is bounded. Used by one worker only.
class RequestTrace
{
public:
    /// Maximum number of steps kept. A request over 90 shards, a third of which fail, has fewer.
    static constexpr std::size_t MaxEntries = 64;

    explicit RequestTrace(TimePoint arrival)
        : m_arrival(arrival)
    {
    }

    /// Appends a step, or only counts it once MaxEntries are stored.
    /// @param upstream searcher that the step involves; null if none
    void record(TimePoint now, TraceStep step, const std::string &service,
                const Upstream *upstream = nullptr);
    const std::vector<TraceEntry> &entries() const { return m_entries; }
    /// Records the time between the start of a service call and its first send.
    void recordQueueTime(Duration time) { m_queueTime = std::max(m_queueTime, time); }
    /// Longest time that any service call of the request waited for a searcher with capacity.
    Duration queueTime() const { return m_queueTime; }
    /// Number of steps that were not stored because MaxEntries had been reached.
    std::uint32_t omitted() const { return m_omitted; }

private:
    const TimePoint m_arrival;
    std::vector<TraceEntry> m_entries;
    std::uint32_t m_omitted = 0;
    Duration m_queueTime{};
};

/// Selects the requests that are logged in full: those that failed, were late or incomplete, and a
/// sample of the good ones, together up to a maximum rate. Used by one worker only.
class TraceLogPolicy
{
public:
    /// @param isGood true if the answer was complete, in time and successful
    bool shouldLog(TimePoint now, bool isGood);
    /// @return number of requests not logged because of the rate limit since the last call
    std::uint32_t takeSuppressed() { return std::exchange(m_suppressed, 0); }

private:
    TimePoint m_refilledAt{};
    double m_tokens = 0;
    std::uint32_t m_good = 0;
    std::uint32_t m_suppressed = 0;
};

} // namespace geraniumcart
