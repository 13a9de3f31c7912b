#pragma once

#include "connection/peer_codec_p.h"

#include <cstdint>
#include <span>
#include <vector>

namespace geraniumcart::fuzz {

/// Decodes @p input as a peer frame without its length prefix; encodes and decodes an accepted
/// message again.
/// @return the violated property, or nullptr if all hold
inline const char *checkPeerFrame(std::span<const std::uint8_t> input)
{
    FrameError error{};
    const auto message = decodePeerMessage(input, error);
    if (message.has_value() != (error == FrameError::None))
        return "a rejected frame has an error, an accepted one has none";
    if (!message)
        return nullptr;
    const std::vector<std::uint8_t> encoded = encodePeerMessage(*message);
    // Skips the length prefix. The frame is copied because the FlatBuffers verifier requires an
    // aligned address.
    const std::vector<std::uint8_t> frame(encoded.begin() + 4, encoded.end());
    const auto again = decodePeerMessage(frame, error);
    if (!again)
        return "the encoding of a decoded message is accepted";
    return encodePeerMessage(*again) == encoded
                   ? nullptr
                   : "a decoded message encodes and decodes again to the same bytes";
}

} // namespace geraniumcart::fuzz
