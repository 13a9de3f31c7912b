#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <string>

namespace geraniumcart {

/// What a daemon keeps in the platform's store or reads there.
enum class StoredKind : std::uint8_t { Configuration, Searchers, ZonesOut, Rollouts };
inline constexpr std::size_t StoredKinds = 4;
const char *toString(StoredKind kind);

/// How a call to the store ended.
enum class StoreCallResult : std::uint8_t {
    Answered,
    /// The store answered that it does nothing now (429, 503) or an unknown status.
    Refused,
    /// The changes that a watch asked for are no longer kept.
    HistoryGone,
    /// The object had changed since, so that nothing was written.
    Conflict,
    /// An answer came that is not well-formed.
    Unreadable,
    /// The call may have been carried out.
    NoAnswer,
};
inline constexpr std::size_t StoreCallResults = 6;
const char *toString(StoreCallResult result);

/// Calls of this daemon to the store by kind and result; thread-safe.
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

private:
    std::array<std::array<std::atomic<std::uint64_t>, StoreCallResults>, StoredKinds> m_counts{};
};

} // namespace geraniumcart
