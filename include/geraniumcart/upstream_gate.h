#pragma once

#include <geraniumcart/catalog.h>
#include <geraniumcart/timer_service.h>

#include <cstdint>
#include <optional>

namespace geraniumcart {

/// Longest transit time of a request to the searcher that the cold bound allows for. Each window of
/// the bound is extended by it, so that a request that arrives late and the next one that arrives
/// promptly do not fall into one window at the searcher. Network and scheduling delays on one host
/// group stay below it. A longer delay shows as a late end of the request, and the next dispatch is
/// delayed by as much.
inline constexpr Duration ColdArrivalMargin = std::chrono::milliseconds(20);
/// Window in which requests are counted against a cold bound given in requests per second.
inline constexpr Duration ColdWindow = std::chrono::seconds(1);

/// Enforces this daemon's share of one searcher's slots, connections and cold request rate. Used on
/// the searcher's home worker only; holds no socket.
class UpstreamGate
{
public:
    /// How the searcher's capacity is shared between daemons.
    struct Share
    {
        /// Number of daemons that may send to this searcher: 1 for an owner, the number of live
        /// members if every daemon sends its own requests.
        std::uint32_t senders = 1;
        /// True while a second owner may exist because the last one was lost without a handover;
        /// halves the cold request rate.
        bool isQuarantined = false;
        bool operator==(const Share &) const = default;
    };

    /// Result of tryDispatch().
    enum class Decision : std::uint8_t {
        /// The request may be sent now.
        Dispatch,
        /// All usable slots are taken (a cold searcher has only one): retry after finish().
        WaitForSlot,
        /// The searcher is cold and the rate is used up: retry at nextAllowed().
        WaitForWarmUp,
    };

    explicit UpstreamGate(const SearcherLimits &limits)
        : m_limits(limits)
    {
    }

    void setLimits(const SearcherLimits &limits) { m_limits = limits; }
    void setShare(const Share &share) { m_share = share; }
    /// Adopts the warm state from a previous owner, which saw the searcher warm under @p bootId.
    /// The searcher counts as cold until an answer carries this boot identity, and as warm from
    /// then on; 0 adopts nothing.
    void adoptWarmState(std::uint64_t bootId) { m_warmBootId = bootId; }

    /// Requests one dispatch now. If the result is Dispatch, a slot is taken, and while the
    /// searcher is cold also one of the requests that the cold rate allows.
    Decision tryDispatch(TimePoint now);
    /// Releases the slot of a dispatched request.
    void finish(TimePoint now);

    /// Records an answer's boot identity; a change makes the searcher cold.
    /// @return true if it changed
    bool observeBoot(std::uint64_t bootId, TimePoint now);
    /// Marks the searcher as cold, because it restarted, refused a connection, or slowed down while
    /// shedding load.
    void becomeCold(TimePoint now);
    /// Records a successful answer. The first one since the searcher became cold starts its warm-up
    /// period.
    /// @param latency from dispatch to the last byte
    /// @return true if the searcher slowed down while shedding load, which makes it cold
    bool observeAnswer(TimePoint now, Duration latency);
    /// Records that the searcher shed a request.
    /// @return as for observeAnswer()
    bool observeShed(TimePoint now);

    bool isCold(TimePoint now) const;
    /// Boot identity of the latest answer; 0 before the first.
    std::uint64_t bootId() const { return m_bootId.value_or(0); }
    /// Time at which the searcher becomes warm; max() before its first answer.
    TimePoint coldUntil() const;
    /// Earliest time at which the searcher may get its next request; @p now if it is warm.
    TimePoint nextAllowed(TimePoint now) const;
    /// Maximum number of sub-requests that this daemon may have in flight to the searcher.
    std::uint32_t slotShare() const;
    /// Maximum number of connections that this daemon may keep open to the searcher.
    std::uint32_t connectionShare() const;
    std::uint32_t running() const { return m_running; }

private:
    /// Rate limit of dispatches to a cold searcher.
    struct Pace
    {
        /// Number of dispatches that each window allows.
        double dispatches = 1;
        Duration window{};
    };

    Pace coldPace(TimePoint now) const;
    bool becomeColdIfShedding(TimePoint now);

    SearcherLimits m_limits;
    Share m_share;
    std::uint32_t m_running = 0;
    std::optional<std::uint64_t> m_bootId;
    /// Boot identity under which the previous owner saw the searcher warm; 0 if none.
    std::uint64_t m_warmBootId = 0;
    /// Time of the first answer since the searcher became cold.
    std::optional<TimePoint> m_firstAnswer;
    /// Time of the last dispatch while cold, or at which the searcher became cold.
    std::optional<TimePoint> m_lastDispatch;
    std::optional<TimePoint> m_lastFinish;
    std::optional<TimePoint> m_lastShed;
    Duration m_usualLatency{};
    std::uint32_t m_slowAnswers = 0;
};

} // namespace geraniumcart
