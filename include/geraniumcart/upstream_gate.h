#pragma once

#include <geraniumcart/catalog.h>
#include <geraniumcart/timer_service.h>

#include <cstdint>
#include <optional>

namespace geraniumcart {

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

    enum class Verdict : std::uint8_t {
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

    /// Asks for one dispatch now. Dispatch takes a slot, and a cold token while cold.
    Verdict tryDispatch(TimePoint now);
    /// Gives the slot back.
    void finish() { --m_running; }

    /// Notes an answer's boot identity; a change makes the searcher cold.
    void observeBoot(std::uint64_t bootId, TimePoint now);
    /// Makes the searcher cold: it restarted, refused a connection, or slowed while shedding.
    void becomeCold(TimePoint now);
    /// Notes a successful answer; starts the warm-up clock at the first one.
    void observeAnswer(TimePoint now);

    bool isCold(TimePoint now) const;
    /// Earliest time at which a cold searcher may get its next request.
    TimePoint nextAllowed() const { return m_nextColdDispatch; }
    /// Most sub-requests in flight that this daemon may hold at the searcher.
    std::uint32_t slotShare() const;
    /// Most connections that this daemon may hold open to the searcher.
    std::uint32_t connectionShare() const;
    std::uint32_t running() const { return m_running; }

private:
    double coldRate(TimePoint now) const;

    SearcherLimits m_limits;
    Share m_share;
    std::uint32_t m_running = 0;
    std::optional<std::uint64_t> m_bootId;
    bool m_cold = true;
    std::optional<TimePoint> m_firstAnswer;
    TimePoint m_nextColdDispatch{};
};

} // namespace geraniumcart
