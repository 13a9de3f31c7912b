#pragma once

#include <geraniumcart/timer_service.h>
#include <geraniumcart/upstream.h>

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace geraniumcart {

/// What was decided for a request, or what happened to it on its way.
enum class TraceStep : std::uint8_t {
    Sent,
    Hedged,
    Retried,
    /// A hedge or retry that the service's budget did not allow.
    BudgetExhausted,
    /// No searcher had room.
    NoRoom,
    /// No searcher is left that may be tried.
    NoUpstream,
    /// The searcher refused the request without running it.
    Refused,
    /// Another searcher answered at the address.
    OtherInstance,
    /// The searcher answered with a failure.
    FailureReply,
    NotSent,
    Lost,
    Malformed,
    TimedOut,
    /// The latency objective passed while answers were missing.
    ObjectivePassed,
};
const char *toString(TraceStep step);

/// One step and what the daemon knew of the searcher then.
struct TraceEntry
{
    /// Time since the request arrived.
    Duration at{};
    TraceStep step = TraceStep::Sent;
    std::string service;
    /// Empty where no searcher is concerned.
    std::string instanceId;
    std::uint32_t inFlight = 0;
    /// Smoothed latency of the searcher.
    Duration latency{};
    /// For how long it had left requests unanswered.
    Duration silence{};
};

/// The steps of one request, for the log of those that end badly. Bounded; belongs to one worker.
class RequestTrace
{
public:
    /// Steps kept; a request over 90 shards of which a third fails has fewer.
    static constexpr std::size_t MaxEntries = 64;

    explicit RequestTrace(TimePoint arrival)
        : m_arrival(arrival)
    {
    }

    void note(TimePoint now, TraceStep step, const std::string &service,
              const Upstream *upstream = nullptr);
    const std::vector<TraceEntry> &entries() const { return m_entries; }
    /// A part of the request was sent for the first time, this long after it was ready to be.
    void noteQueueTime(Duration time) { m_queueTime = std::max(m_queueTime, time); }
    /// Longest wait of a part for a searcher with room.
    Duration queueTime() const { return m_queueTime; }
    /// Steps that found no room.
    std::uint32_t omitted() const { return m_omitted; }

private:
    const TimePoint m_arrival;
    std::vector<TraceEntry> m_entries;
    std::uint32_t m_omitted = 0;
    Duration m_queueTime{};
};

/// Chooses which requests are logged in full: all that ended badly, late or partial, and a sample
/// of the others, within a rate. Belongs to one worker.
class TraceLogPolicy
{
public:
    /// @param isGood whole, in time and successful
    bool shouldLog(TimePoint now, bool isGood);
    /// Requests that the rate left out since the last call.
    std::uint32_t takeSuppressed() { return std::exchange(m_suppressed, 0); }

private:
    TimePoint m_refilledAt{};
    double m_tokens = 0;
    std::uint32_t m_good = 0;
    std::uint32_t m_suppressed = 0;
};

} // namespace geraniumcart
