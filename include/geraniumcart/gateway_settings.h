#pragma once

#include <geraniumcart/serving_view.h>
#include <geraniumcart/timer_service.h>

#include <cstdint>
#include <string>
#include <vector>

namespace geraniumcart {

/// Settings of a daemon that passes requests on by route. Addresses are IP:port.
struct GatewaySettings
{
    std::string name;
    std::string zone;
    /// Where callers send requests.
    std::string callerAddress;
    /// Where callers ask which daemons to use.
    std::string directoryAddress;
    /// Where readiness is asked for.
    std::string readyAddress;
    /// Where metrics are served.
    std::string metricsAddress;
    /// Where peers connect.
    std::string peerAddress;
    /// Peers to join through.
    std::vector<std::string> seeds;
    std::string storeAddress;
    std::uint32_t workers = 1;
    /// Thousandths of a core.
    std::uint32_t processorShare = 1000;
    RetryAllowance retries;
    /// Time from the request to stop until the process is ended by force.
    Duration stopGrace = std::chrono::seconds(6);
    /// Longest time for which callers may keep a directory's answer.
    Duration entriesValidFor = EntriesValidFor;
};

} // namespace geraniumcart
