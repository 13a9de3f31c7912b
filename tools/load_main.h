#pragma once

#include "load_plan.h"
#include "load_report.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace geraniumcart::tools {

/// Settings of one run of the load tool. The addresses have the form IP:PORT.
struct LoadOptions
{
    /// Daemons that are asked for the entries; empty if the targets are fixed.
    std::vector<std::string> entries;
    /// Fixed targets; empty if the targets are the entries.
    std::vector<std::string> targets;
    std::string service;
    ArrivalConfig arrivals;
    /// Length of the measured window.
    Duration duration = std::chrono::seconds(10);
    /// Time before the measured window. Its requests are sent, but only the comparison of the
    /// bookings with the searchers' counts covers them.
    Duration warmUp{};
    std::uint64_t seed = 1;
    Duration deadline = std::chrono::seconds(1);
    /// A request without a complete answer this long after its deadline ends as timed out.
    Duration grace = std::chrono::seconds(2);
    /// Maximum number of open connections of all threads.
    std::uint32_t connections = 512;
    std::uint32_t threads = 2;
    bool sendsIdempotencyKey = true;
    /// Path for the report as JSON; empty for none.
    std::string jsonFile;
    /// Control ports of the fake searchers, for the counters that the report compares with; empty
    /// for none.
    std::vector<std::string> searcherControls;
};

/// @return std::nullopt with @p message, which is the help text or names the invalid option
std::optional<LoadOptions> parseLoadOptions(int argc, const char *const *argv,
                                            std::string &message);

/// Runs the load and blocks until all requests have ended.
/// @return std::nullopt with @p reason if the run could not start
std::optional<LoadReport> runLoad(const LoadOptions &options, std::string &reason);

/// Runs the load, prints the report and writes the JSON file.
/// @return the exit code of the tool
int runLoadTool(const LoadOptions &options);

} // namespace geraniumcart::tools
