#pragma once

#include <geraniumcart/peer_messages.h>

#include <vector>

namespace geraniumcart {

/// Distributes @p objects over pushes that each fit into one frame.
std::vector<PeerObjectPush> toPushes(std::vector<StoredObject> objects);

} // namespace geraniumcart
