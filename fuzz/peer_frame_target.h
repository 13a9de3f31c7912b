#pragma once

#include "connection/peer_codec_p.h"

#include <cstdint>
#include <span>
#include <vector>

namespace geraniumcart::fuzz {

/// Decodes @p input as a peer frame without its prefix and sends an accepted message through the
/// codec again.
/// @return the property that does not hold, or nullptr.
inline const char *checkPeerFrame(std::span<const std::uint8_t> input)
{
    FrameError error{};
    const auto message = decodePeerMessage(input, error);
    if (message.has_value() != (error == FrameError::None))
        return "a refused frame has an error, an accepted one has none";
    if (!message)
        return nullptr;
    const std::vector<std::uint8_t> encoded = encodePeerMessage(*message);
    // A copy without the prefix, because the verifier expects the frame at an aligned address.
    const std::vector<std::uint8_t> frame(encoded.begin() + 4, encoded.end());
    const auto again = decodePeerMessage(frame, error);
    if (!again)
        return "the encoding of a decoded message is accepted";
    return encodePeerMessage(*again) == encoded
                   ? nullptr
                   : "a decoded message encodes and decodes again to the same bytes";
}

} // namespace geraniumcart::fuzz
