#pragma once

#include "control_server.h"
#include "fake_searcher.h"

#include <optional>
#include <string>

namespace geraniumcart::tools {

/// Command-line options of geraniumcart-fakesearcher.
struct FakeSearcherOptions
{
    std::string configFile;
    /// IP:PORT of the control port.
    std::string control = "127.0.0.1:0";
    /// IP:PORT of the object store to which catalog and hosts are written. If empty, they are not
    /// written.
    std::string store;
    /// See FleetConfig::part.
    std::uint32_t part = 0;
    std::uint32_t parts = 1;
    /// Number of worker threads; with 0 the number in the configuration file applies.
    std::uint32_t threads = 0;
};

/// Parses the command line.
/// @return std::nullopt with @p message, which is the help text or names the invalid option
std::optional<FakeSearcherOptions> parseFakeSearcherOptions(int argc, const char *const *argv,
                                                            std::string &message);

/// Handles requests to the control port, which read the status and the bookings, apply control
/// commands, and write the objects to the store again.
class FakeSearcherControl
{
public:
    FakeSearcherControl(FakeSearcherFleet &fleet, std::string store)
        : m_fleet(fleet)
        , m_store(std::move(store))
    {
    }

    /// Runs on the control server's thread and blocks until the workers or the store have answered.
    HttpResponse handle(const HttpRequest &request);
    /// Writes the current catalogs and hosts to the store; draining searchers are marked as
    /// leaving.
    /// @return false with @p reason on failure
    bool writeObjects(std::string &reason);

private:
    FakeSearcherFleet &m_fleet;
    std::string m_store;
};

/// Runs the searchers until SIGINT or SIGTERM. @return the exit code
int runFakeSearcher(const FakeSearcherOptions &options);

} // namespace geraniumcart::tools
