#pragma once

#include <geraniumcart/peer_messages.h>

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace geraniumcart {

/// Why a frame was refused.
enum class FrameError : std::uint8_t {
    None,
    /// The frame is longer than MaxFrameBytes.
    TooLong,
    /// The FlatBuffers verifier rejected the bytes.
    Malformed,
    /// The frame carries no message, or one of a kind that this version does not know.
    UnknownKind,
    /// A field has a value outside its range.
    BadField,
};
/// @return the name that log events carry
const char *toString(FrameError error);

/// Value of the field `failure` of a sub-request that was answered.
inline constexpr std::uint8_t NoFailure = 255;

/// @return one frame, preceded by its length as four little-endian bytes
std::vector<std::uint8_t> encodePeerMessage(const PeerMessage &message);

/// Decodes one frame without its prefix. No field is read before the verifier has accepted the
/// frame.
/// @return the message, or std::nullopt with the cause in @p error
std::optional<PeerMessage> decodePeerMessage(std::span<const std::uint8_t> frame,
                                             FrameError &error);

/// @return the length that a prefix states, or std::nullopt if it is greater than MaxFrameBytes
std::optional<std::uint32_t> decodeFrameLength(std::span<const std::uint8_t, 4> prefix);

} // namespace geraniumcart
