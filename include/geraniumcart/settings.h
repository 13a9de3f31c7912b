#pragma once

#include <geraniumcart/admission.h>
#include <geraniumcart/hedging.h>
#include <geraniumcart/replica_choice.h>
#include <geraniumcart/snapshot_builder.h>
#include <geraniumcart/timer_service.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace geraniumcart {

/// Settings of an entry daemon, from flags and environment variables. A flag overrides its
/// variable.
struct Settings
{
    std::string name;
    std::string zone;
    /// IP:port to which callers connect.
    std::string listen;
    /// IP:port to which peers connect.
    std::string peerListen;
    /// IP:port of the object store.
    std::string store;
    /// IP:port of each peer through which the daemon joins the fleet.
    std::vector<std::string> seeds;
    /// Daemons of one cell share its searchers and refuse peers that name another cell.
    std::string cell = "default";
    /// Number of threads that handle requests.
    std::uint32_t workers = 2;
    RoutingMode routing = RoutingMode::Owner;
    ReplicaChoiceKind choice = ReplicaChoiceKind::LeastLoaded;
    HedgingKind hedging = HedgingKind::Quantile;
    AdmissionKind admission = AdmissionKind::Weighted;
    /// Share of first attempts that may be hedged, 0 to 1.
    double hedgeShare = 0.05;
    /// Share of first attempts that may be retried, 0 to 1.
    double retryShare = 0.2;
    /// How long a daemon that is stopping keeps serving after its removal from the entries list.
    Duration drain = std::chrono::seconds(3);
    /// Maximum number of open connections of callers; further ones wait in the listen backlog.
    std::uint32_t maxConnections = 10000;
    /// Maximum number of connections that wait in the kernel to be accepted.
    std::uint32_t listenBacklog = 1024;
    /// Lowest level that is logged: trace, debug, info, warn or error.
    std::string logLevel = "info";
};

enum class SettingsError : std::uint8_t { None, UnknownFlag, BadValue, Missing, HelpWanted };

struct SettingsFailure
{
    SettingsError error = SettingsError::None;
    /// Names the setting, the value and the accepted range. With HelpWanted, the help text.
    std::string message;
};

/// Takes each setting from its flag, else from its environment variable, else from its default, and
/// validates every value.
/// @param argv program name and flags, as passed to main()
/// @return the settings, or nothing with @p failure set
std::optional<Settings> parseSettings(int argc, const char *const *argv, SettingsFailure &failure);

} // namespace geraniumcart
