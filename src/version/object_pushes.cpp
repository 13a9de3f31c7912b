#include "version/object_pushes_p.h"

#include <geraniumcart/config.h>

#include <cstddef>
#include <utility>

namespace geraniumcart {

namespace {

/// Maximum number of objects in one frame.
constexpr std::size_t ObjectsPerPush = 200;
/// Size of the objects from which on a frame gets no further one. Peers close the connection when a
/// frame is longer than MaxFrameBytes; one object may take MaxObjectBytes.
constexpr std::size_t BytesPerPush = MaxFrameBytes / 2;
static_assert(BytesPerPush + MaxObjectBytes < MaxFrameBytes);

} // namespace

std::vector<PeerObjectPush> toPushes(std::vector<StoredObject> objects)
{
    std::vector<PeerObjectPush> pushes;
    std::size_t bytes = 0;
    for (StoredObject &object : objects) {
        if (pushes.empty() || bytes >= BytesPerPush ||
            pushes.back().objects.size() >= ObjectsPerPush) {
            pushes.emplace_back();
            bytes = 0;
        }
        bytes += object.key.size() + object.value.size();
        pushes.back().objects.push_back(std::move(object));
    }
    return pushes;
}

} // namespace geraniumcart
