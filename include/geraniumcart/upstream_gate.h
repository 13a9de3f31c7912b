#pragma once

#include <geraniumcart/catalog.h>
#include <geraniumcart/timer_service.h>

#include <cstdint>
#include <optional>

namespace geraniumcart {

/// Longest time for which a dispatch may be under way to the searcher without being noticed. A
/// window of the cold bound is stretched by it, so that a late arrival and a prompt one after it
/// do not fall into one window at the searcher. Network and scheduling delays on one host group
/// stay below it; a longer delay shows as a late end of the request and is added to the pace.
inline constexpr Duration ColdArrivalMargin = std::chrono::milliseconds(20);
/// Window over which a cold bound in requests a second is counted.
inline constexpr Duration ColdWindow = std::chrono::seconds(1);

/// Decides how much of one searcher's slots, connections and cold allowance this daemon may use.
/// Belongs to the searcher's home worker; holds no socket.
class UpstreamGate
{
public:
    struct Share
    {
        /// Daemons that may send to this searcher: 1 for an owner, the number of live members
        /// when every daemon sends for itself.
        std::uint32_t senders = 1;
        /// True while a second owner may exist after an unclean loss; halves the cold allowance.
        bool isQuarantined = false;
        bool operator==(const Share &) const = default;
    };

    enum class Decision : std::uint8_t {
        Dispatch,
        WaitForSlot,
        /// Cold: retry at nextAllowed().
        WaitForWarmUp,
    };

    explicit UpstreamGate(const SearcherLimits &limits)
        : m_limits(limits)
    {
    }

    void setLimits(const SearcherLimits &limits) { m_limits = limits; }
    void setShare(const Share &share) { m_share = share; }
    /// Takes over from an owner that saw the searcher warm under @p bootId. It counts as warm once
    /// this identity is met, and as cold until then; 0 takes nothing over.
    void takeOver(std::uint64_t bootId) { m_warmBootId = bootId; }

    /// Asks for one dispatch now. Dispatch takes a slot, and a cold token while cold.
    Decision tryDispatch(TimePoint now);
    /// Gives the slot back.
    void finish(TimePoint now);

    /// Notes an answer's boot identity; a change makes the searcher cold.
    /// @return true if it changed
    bool observeBoot(std::uint64_t bootId, TimePoint now);
    /// Makes the searcher cold: it restarted, refused a connection, or slowed while shedding.
    void becomeCold(TimePoint now);
    /// Notes a successful answer; starts the warm-up clock at the first one.
    /// @param latency from dispatch to the last byte
    /// @return true if the searcher slowed down while shedding load, which makes it cold
    bool observeAnswer(TimePoint now, Duration latency);
    /// Notes that the searcher shed a request.
    /// @return as observeAnswer()
    bool observeShed(TimePoint now);

    bool isCold(TimePoint now) const;
    /// Boot identity met last; 0 before the first.
    std::uint64_t bootId() const { return m_bootId.value_or(0); }
    /// When the searcher will be warm; max() before its first answer.
    TimePoint coldUntil() const;
    /// Earliest time at which a cold searcher may get its next request.
    TimePoint nextAllowed(TimePoint now) const;
    /// Most sub-requests in flight that this daemon may hold at the searcher.
    std::uint32_t slotShare() const;
    /// Most connections that this daemon may hold open to the searcher.
    std::uint32_t connectionShare() const;
    std::uint32_t running() const { return m_running; }

private:
    struct Pace
    {
        /// Dispatches allowed in each window.
        double dispatches = 1;
        Duration window{};
    };

    Pace coldPace(TimePoint now) const;
    bool becomeColdIfShedding(TimePoint now);

    SearcherLimits m_limits;
    Share m_share;
    std::uint32_t m_running = 0;
    std::optional<std::uint64_t> m_bootId;
    /// Identity under which the previous owner saw the searcher warm.
    std::uint64_t m_warmBootId = 0;
    /// First answer since the searcher became cold.
    std::optional<TimePoint> m_firstAnswer;
    /// Last dispatch while cold, or the time at which the searcher became cold.
    std::optional<TimePoint> m_lastDispatch;
    std::optional<TimePoint> m_lastFinish;
    std::optional<TimePoint> m_lastShed;
    Duration m_usualLatency{};
    std::uint32_t m_slowAnswers = 0;
};

} // namespace geraniumcart
