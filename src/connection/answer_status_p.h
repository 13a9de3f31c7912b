#pragma once

#include <cstdint>

namespace geraniumcart {

/// What the status of an answer says, by RFC 9110, section 15.
enum class StatusKind : std::uint8_t {
    /// Another answer to the same request follows.
    Interim,
    Final,
    /// No answer has this status: it is not in 100 to 599, or it is 101, which answers only
    /// requests that ask for another protocol.
    None,
};

constexpr StatusKind statusKindOf(unsigned status)
{
    constexpr unsigned SwitchingProtocols = 101;
    if (status < 100 || status > 599 || status == SwitchingProtocols)
        return StatusKind::None;
    return status < 200 ? StatusKind::Interim : StatusKind::Final;
}

} // namespace geraniumcart
