#pragma once

#include <geraniumcart/peer_messages.h>

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace geraniumcart {

enum class FrameError : std::uint8_t {
    None,
    TooLong,
    /// The FlatBuffers verifier refused the bytes.
    Malformed,
    UnknownKind,
    /// A field lies outside its range.
    BadField,
};
const char *toString(FrameError error);

/// Failure that a frame states for a sub-request that was answered.
inline constexpr std::uint8_t NoFailure = 255;

/// Encodes one frame with its four-byte little-endian length prefix.
std::vector<std::uint8_t> encodePeerMessage(const PeerMessage &message);

/// Decodes one frame without its prefix. Nothing in it is trusted before the verifier ran.
std::optional<PeerMessage> decodePeerMessage(std::span<const std::uint8_t> frame,
                                             FrameError &error);

/// Length of the frame that a prefix announces; nothing if it is over MaxFrameBytes.
std::optional<std::uint32_t> decodeFrameLength(std::span<const std::uint8_t, 4> prefix);

} // namespace geraniumcart
