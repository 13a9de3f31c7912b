#pragma once

#include "control_server.h"
#include "fake_searcher.h"

#include <optional>
#include <string>

namespace geraniumcart::tools {

struct FakeSearcherOptions
{
    std::string configFile;
    /// IP:PORT of the control port.
    std::string control = "127.0.0.1:0";
    /// IP:PORT of the store that gets catalog and hosts; empty writes none.
    std::string store;
    std::uint32_t part = 0;
    std::uint32_t parts = 1;
    /// 0 takes the number from the file.
    std::uint32_t threads = 0;
};

/// @return nothing with @p message, which is the help text or names the wrong option
std::optional<FakeSearcherOptions> parseFakeSearcherOptions(int argc, const char *const *argv,
                                                            std::string &message);

/// Answers calls of the control port: status, bookings, faults and rewriting the store's objects.
class FakeSearcherControl
{
public:
    FakeSearcherControl(FakeSearcherFleet &fleet, std::string store)
        : m_fleet(fleet)
        , m_store(std::move(store))
    {
    }

    HttpResponse handle(const HttpRequest &request);
    /// Writes catalog and hosts as they are now; draining searchers are marked as leaving.
    bool writeObjects(std::string &reason);

private:
    FakeSearcherFleet &m_fleet;
    std::string m_store;
};

/// Runs until SIGINT or SIGTERM. @return the exit code
int runFakeSearcher(const FakeSearcherOptions &options);

} // namespace geraniumcart::tools
