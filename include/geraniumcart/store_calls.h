#pragma once

#include <geraniumcart/timer_service.h>

#include <array>
#include <atomic>
#include <cstdint>
#include <optional>
#include <string>

namespace geraniumcart {

/// Kind of data that a daemon reads from the platform's store or writes to it.
enum class StoredKind : std::uint8_t { Configuration, Searchers, ZonesOut, Rollouts };
inline constexpr std::size_t StoredKinds = 4;
const char *toString(StoredKind kind);

/// Result of a call to the store.
enum class StoreCallResult : std::uint8_t {
    Answered,
    /// The store answered that it cannot process the call now (429, 503), or with an unknown
    /// status.
    Refused,
    /// The store no longer retains the changes that a watch requested.
    HistoryGone,
    /// Nothing was written because the object had changed since it was read.
    Conflict,
    /// The answer is not well-formed.
    Unreadable,
    /// No answer arrived; the call may have taken effect.
    NoAnswer,
};
inline constexpr std::size_t StoreCallResults = 6;
const char *toString(StoreCallResult result);

/// Counts the calls of this daemon to the store by kind and result, and the objects in its answers
/// that cannot be used. Also holds when the store last answered for each kind. Thread-safe.
class StoreCallCounts
{
public:
    void add(StoredKind kind, StoreCallResult result)
    {
        m_counts[static_cast<std::size_t>(kind)][static_cast<std::size_t>(result)].fetch_add(
                1, std::memory_order_relaxed);
    }
    std::uint64_t value(StoredKind kind, StoreCallResult result) const
    {
        return m_counts[static_cast<std::size_t>(kind)][static_cast<std::size_t>(result)].load(
                std::memory_order_relaxed);
    }
    /// Counts an object that was left out because it is not readable or not valid.
    void addUnreadable(StoredKind kind)
    {
        m_unreadable[static_cast<std::size_t>(kind)].fetch_add(1, std::memory_order_relaxed);
    }
    std::uint64_t unreadable(StoredKind kind) const
    {
        return m_unreadable[static_cast<std::size_t>(kind)].load(std::memory_order_relaxed);
    }

    /// Records that the store has just answered a list or watch call for @p kind.
    void recordAnswer(StoredKind kind, TimePoint now)
    {
        m_lastAnswers[static_cast<std::size_t>(kind)].store(now.time_since_epoch().count(),
                                                            std::memory_order_relaxed);
    }
    /// @return time since the last answer to a list or watch call for @p kind; std::nullopt before
    /// the first
    std::optional<Duration> answerAge(StoredKind kind, TimePoint now) const
    {
        const Duration::rep last =
                m_lastAnswers[static_cast<std::size_t>(kind)].load(std::memory_order_relaxed);
        if (last == 0)
            return std::nullopt;
        return now - TimePoint(Duration(last));
    }

    /// Records the era that the store states in its answers for @p kind: a number that rises each
    /// time it has come back from an earlier copy of its data.
    void recordEra(StoredKind kind, std::uint64_t era)
    {
        m_eras[static_cast<std::size_t>(kind)].store(era, std::memory_order_relaxed);
    }
    /// @return the era last recorded for @p kind; std::nullopt if the store has stated none
    std::optional<std::uint64_t> era(StoredKind kind) const
    {
        const std::uint64_t era =
                m_eras[static_cast<std::size_t>(kind)].load(std::memory_order_relaxed);
        return era == 0 ? std::nullopt : std::optional(era);
    }

private:
    std::array<std::atomic<std::uint64_t>, StoredKinds> m_eras{};
    /// 0 before the first answer.
    std::array<std::atomic<Duration::rep>, StoredKinds> m_lastAnswers{};
    std::array<std::atomic<std::uint64_t>, StoredKinds> m_unreadable{};
    std::array<std::array<std::atomic<std::uint64_t>, StoreCallResults>, StoredKinds> m_counts{};
};

} // namespace geraniumcart
