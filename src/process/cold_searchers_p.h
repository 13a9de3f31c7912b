#pragma once

#include <geraniumcart/timer_service.h>

#include <cstdint>

namespace geraniumcart {

class Upstream;

/// Why requests to a searcher are limited to those that a cold one can handle.
enum class ColdCause : std::uint8_t {
    /// Its entry states that it is cold.
    Entry,
    /// Its answer to a health request states that it is cold.
    HealthAnswer,
    /// This daemon's last connection to it has ended, so that a restart would go unnoticed.
    NoConnection,
    /// A connection was opened that another start of it may have accepted.
    NewConnection,
    /// It got no requests while its zone or version was out of use, or while it was draining.
    OutOfUse,
    Count,
};
const char *toString(ColdCause cause);

/// Logs and counts that the requests to a searcher are limited from now on. Thread-safe.
void recordColdSearcher(const Upstream &upstream, ColdCause cause, TimePoint now);
/// @return how often that happened for this cause since the start of the process
std::uint64_t coldSearchers(ColdCause cause);

} // namespace geraniumcart
