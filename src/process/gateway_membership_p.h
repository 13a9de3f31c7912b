#pragma once

#include "process/gateway_daemon_p.h"

#include <geraniumcart/membership.h>

namespace geraniumcart {

/// @return how a gateway takes part in the membership of its fleet, with a random seed
MembershipConfig membershipConfig(const GatewaySettings &settings);

} // namespace geraniumcart
