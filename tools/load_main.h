#pragma once

#include "load_plan.h"
#include "load_report.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace geraniumcart::tools {

struct LoadOptions
{
    /// IP:PORT to ask for the entries, or fixed targets; one of the two is empty.
    std::vector<std::string> entries;
    std::vector<std::string> targets;
    std::string service;
    ArrivalConfig arrivals;
    Duration duration = std::chrono::seconds(10);
    /// Requests that are sent before the measured window.
    Duration warmUp{};
    std::uint64_t seed = 1;
    Duration deadline = std::chrono::seconds(1);
    /// A request without a whole answer this long after its deadline ends as timed out.
    Duration grace = std::chrono::seconds(2);
    std::uint32_t connections = 512;
    std::uint32_t threads = 2;
    bool sendsIdempotencyKey = true;
    std::string jsonFile;
    std::vector<std::string> searcherControls;
};

/// @return nothing with @p message, which is the help text or names the wrong option
std::optional<LoadOptions> parseLoadOptions(int argc, const char *const *argv,
                                            std::string &message);

/// Runs the load and waits for its end. @return nothing with @p reason when it could not start
std::optional<LoadReport> runLoad(const LoadOptions &options, std::string &reason);

/// Runs the load and prints the report. @return the exit code
int runLoadTool(const LoadOptions &options);

} // namespace geraniumcart::tools
