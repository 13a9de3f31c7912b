#pragma once

#include <cstdint>
#include <string>

namespace geraniumcart {

enum class MemberState : std::uint8_t {
    Alive,
    Suspect,
    /// Announced a planned stop. It still serves callers until their lists of daemons expire.
    Leaving,
    /// Completed its planned stop.
    Left,
    /// Did not refute a suspicion in time.
    Dead,
};
const char *toString(MemberState state);
/// True in the states in which the member is expected to answer its peers.
bool isPresent(MemberState state);

/// State of one daemon as it is exchanged between peers.
struct Member
{
    std::string name;
    std::string zone;
    /// IP:port to which callers connect; empty until it is announced.
    std::string address;
    /// IP:port to which peers connect.
    std::string peerAddress;
    /// Increases when the member restarts, refutes a suspicion or announces a change.
    std::uint64_t incarnation = 0;
    MemberState state = MemberState::Alive;
    /// Processor share in thousandths of a core; 0 if the member did not report it.
    std::uint32_t weight = 0;
    /// True while the member's load exceeds its processor share.
    bool isBusy = false;
    /// Requests per second that the member sends to searchers, about; 0 if it has sent none yet.
    std::uint32_t load = 0;
    bool operator==(const Member &) const = default;
};

} // namespace geraniumcart
