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

/// Settings of a daemon, from flags and environment variables. A flag goes before its variable.
struct Settings
{
    std::string name;
    std::string zone;
    /// IP:port where callers connect.
    std::string listen;
    /// IP:port where peers connect.
    std::string peerListen;
    /// IP:port of the object store.
    std::string store;
    /// IP:port of peers to join through.
    std::vector<std::string> seeds;
    /// Daemons of one cell share the work on its searchers and refuse others as peers.
    std::string cell = "default";
    std::uint32_t workers = 2;
    RoutingMode routing = RoutingMode::Owner;
    ReplicaChoiceKind choice = ReplicaChoiceKind::LeastLoaded;
    HedgingKind hedging = HedgingKind::Quantile;
    AdmissionKind admission = AdmissionKind::Weighted;
    /// Share of first attempts that may be hedged, 0 to 1.
    double hedgeShare = 0.05;
    /// Share of first attempts that may be retried, 0 to 1.
    double retryShare = 0.2;
    /// How long a planned stop keeps serving after it left the entries list.
    Duration drain = std::chrono::seconds(3);
    /// Most callers' connections open at once; further ones wait in the listen backlog.
    std::uint32_t maxConnections = 10000;
    /// Connections that the kernel keeps until they are accepted.
    std::uint32_t listenBacklog = 1024;
    /// trace, debug, info, warn or error.
    std::string logLevel = "info";
};

enum class SettingsError : std::uint8_t { None, UnknownFlag, BadValue, Missing, HelpWanted };

struct SettingsFailure
{
    SettingsError error = SettingsError::None;
    /// Names the setting, the value and the accepted range; the help text for HelpWanted.
    std::string message;
};

/// Reads flags, then the environment, then defaults, and validates every value.
/// @param argv program name and flags, as main() gets them
/// @return the settings, or nothing with @p failure filled in
std::optional<Settings> parseSettings(int argc, const char *const *argv, SettingsFailure &failure);

} // namespace geraniumcart
