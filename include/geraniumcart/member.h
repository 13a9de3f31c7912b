#pragma once

#include <cstdint>
#include <string>

namespace geraniumcart {

enum class MemberState : std::uint8_t {
    Alive,
    Suspect,
    /// Announced its planned stop; serves until callers' lists have run out.
    Leaving,
    Left,
    Dead,
};
const char *toString(MemberState state);
/// True while the member answers its peers.
bool isPresent(MemberState state);

/// A daemon as its peers know it.
struct Member
{
    std::string name;
    std::string zone;
    /// Where callers connect.
    std::string address;
    /// Where peers connect.
    std::string peerAddress;
    /// Grows when the member restarts or refutes a suspicion.
    std::uint64_t incarnation = 0;
    MemberState state = MemberState::Alive;
    /// Processor share in thousandths of a core; 0 where the member does not say.
    std::uint32_t weight = 0;
    /// The member has more to do than its processor share allows.
    bool isBusy = false;
    bool operator==(const Member &) const = default;
};

} // namespace geraniumcart
