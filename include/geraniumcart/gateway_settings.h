#pragma once

#include <geraniumcart/answer_margin.h>
#include <geraniumcart/serving_view.h>
#include <geraniumcart/timer_service.h>

#include <cstdint>
#include <string>
#include <vector>

namespace geraniumcart {

/// Settings of a gateway daemon, which forwards requests by route. Addresses are IP:port.
struct GatewaySettings
{
    std::string name;
    std::string zone;
    /// Address to which callers send requests.
    std::string callerAddress;
    /// Address where callers query which daemons to use.
    std::string directoryAddress;
    /// Address of the readiness probe.
    std::string readyAddress;
    /// Address where metrics are scraped.
    std::string metricsAddress;
    /// Address to which peers connect.
    std::string peerAddress;
    /// Addresses of peers through which the daemon joins the fleet.
    std::vector<std::string> seeds;
    std::string storeAddress;
    /// Number of threads that handle requests.
    std::uint32_t workers = 1;
    /// Processor time of the daemon in thousandths of a core.
    std::uint32_t processorShare = 1000;
    RetryAllowance retries;
    /// True if the whole fleet starts for the first time.
    bool isFirstStart = false;
    /// Time for which a searcher still serves after it has announced that it is about to stop.
    Duration searcherDrain = std::chrono::seconds(3);
    /// Time from the stop request until the process is killed.
    Duration stopGrace = std::chrono::seconds(6);
    /// Longest time for which callers may cache an answer of the directory.
    Duration entriesValidFor = EntriesValidFor;
    /// Network round trip time between callers and daemons.
    Duration callerRoundTrip = DefaultCallerRoundTrip;
};

} // namespace geraniumcart
