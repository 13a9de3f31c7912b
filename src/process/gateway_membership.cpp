#include "process/gateway_membership_p.h"

#include <chrono>
#include <random>

namespace geraniumcart {

namespace {

/// Interval between two heartbeats to peers. A failed daemon is removed from the list of entries
/// within about three seconds.
constexpr std::chrono::milliseconds ProbeInterval{400};
/// Time after which other daemons probe a silent member as well. A daemon with an eighth of a core
/// may answer late.
constexpr std::chrono::milliseconds ProbeAckTimeout{300};
/// Time after which a probe has failed. Leaves the relayed probes twice as long as the direct one.
constexpr std::chrono::milliseconds ProbeTimeout{900};
/// Time in which a suspected member can refute the suspicion. Each member gets messages from about
/// three others in this time.
constexpr std::chrono::milliseconds SuspicionTimeout{1200};

} // namespace

MembershipConfig membershipConfig(const GatewaySettings &settings)
{
    MembershipConfig config;
    config.self.name = settings.name;
    config.self.zone = settings.zone;
    config.self.peerAddress = settings.peerAddress;
    config.self.weight = settings.processorShare;
    for (const std::string &seed : settings.seeds)
        if (seed != settings.peerAddress)
            config.seeds.push_back(seed);
    config.probeInterval = ProbeInterval;
    config.ackTimeout = ProbeAckTimeout;
    config.probeTimeout = ProbeTimeout;
    config.suspicionTimeout = SuspicionTimeout;
    config.seed = std::random_device{}();
    return config;
}

} // namespace geraniumcart
