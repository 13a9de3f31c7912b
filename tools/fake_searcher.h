#pragma once

#include "searcher_model.h"

#include <geraniumcart/catalog.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumcart::tools {

/// One index version of a service.
struct IndexVersionConfig
{
    std::uint64_t version = 1;
    std::uint64_t documentsPerShard = 1000;
    /// Number of shards that have this version; 0 means all shards of the service.
    std::uint32_t shards = 0;
};

/// The searchers of one service, or of some of its replicas.
struct ServiceConfig
{
    std::string name;
    std::uint32_t shards = 1;
    /// Replicas of each shard.
    std::uint32_t replicas = 1;
    /// Number of the first replica. It lets several entries describe different replicas of one
    /// service.
    std::uint32_t firstReplica = 0;
    /// Number of consecutive shards of a replica that share an instance, if their zone is the same.
    std::uint32_t searchersPerInstance = 1;
    /// Zones, assigned to searchers in turn by the sum of replica and shard number.
    std::vector<std::string> zones{"zone-a"};
    /// Back-end versions, assigned to replicas in turn by number.
    std::vector<std::string> backEndVersions{"v1"};
    /// TCP port of the first searcher; the other searchers use the ports after it. With 0 the
    /// kernel picks the ports.
    std::uint16_t basePort = 0;
    std::vector<IndexVersionConfig> indexVersions{{}};
    SearcherLimits limits;
    ServiceTimeConfig serviceTime;
    ColdOverloadConfig coldOverload;
    std::uint32_t queueLength = 8;
    /// See SearcherModelConfig::loadLag.
    Duration loadLag{};
    bool startsWarm = false;
};

/// Settings of the fake searchers of one process.
struct FleetConfig
{
    std::string bindIp = "127.0.0.1";
    std::uint64_t seed = 1;
    std::uint32_t threads = 2;
    /// Several processes can share a configuration: this one runs the searchers whose number modulo
    /// `parts` is `part`.
    std::uint32_t part = 0;
    std::uint32_t parts = 1;
    std::vector<ServiceConfig> services;
};

/// Conditions that select searchers. A searcher must match all of them; an empty list matches any
/// searcher.
struct SearcherSelector
{
    std::vector<std::string> services;
    std::vector<std::string> zones;
    std::vector<std::string> versions;
    std::vector<std::string> addresses;
    std::vector<std::uint32_t> shards;
    std::vector<std::uint32_t> replicas;
    /// Maximum number of searchers to select, evenly spread over the matching ones; 0 means all.
    std::uint32_t count = 0;
};

/// Action that a control command applies once to each selected searcher.
enum class SearcherAction : std::uint8_t {
    /// Closes the listener and all connections.
    Stop,
    /// Listens again after a stop, with a new boot id and cold.
    Start,
    /// Makes the searcher cold with a new boot id; connections stay open.
    Cold,
    /// Connections that are open now never answer again; new ones work.
    SilenceOpenConnections,
    CloseConnections,
    DropOldestIndexVersion,
    ResetCounters,
};

/// Change that is applied to the selected searchers.
struct ControlCommand
{
    SearcherSelector select;
    /// Removes all faults before the changes below are applied.
    bool clearsFaults = false;
    /// Changes the current faults of a searcher; may be empty.
    std::function<void(SearcherFaults &)> changeFaults;
    std::vector<SearcherAction> actions;
    std::optional<IndexVersionConfig> addIndexVersion;
    std::optional<std::string> backEndVersion;
    /// Delay before the change is applied.
    Duration after{};
    /// Each searcher's delay is extended by a random time between zero and this.
    Duration spread{};
};

/// Status of one searcher.
struct SearcherStatus
{
    SearcherEntry entry;
    std::uint32_t replica = 0;
    bool isListening = false;
    SearcherReport report;
    SearcherCounters counters;
    std::map<std::string, StartStatistics> startsByVersion;
    BookingRunCounts bookings;
};

/// Status of all searchers of one process.
struct FleetStatus
{
    std::vector<SearcherStatus> searchers;
};

/// Parses the file of --config (JSON). @return std::nullopt with @p reason on failure
std::optional<FleetConfig> parseFleetConfig(std::string_view json, std::string &reason);
/// Parses the body of a POST to `/control` (JSON). @return std::nullopt with @p reason on failure
std::optional<ControlCommand> parseControlCommand(std::string_view json, std::string &reason);
/// Formats the answer to a GET of `/control` (JSON).
/// @param withSearchers adds the list of searchers to the sums
std::string formatFleetStatus(const FleetStatus &status, bool withSearchers);
/// Formats how often each booking key ran, as `{"runs":{KEY:COUNT}}`.
std::string formatBookings(const FleetStatus &status);

/// All fake searchers of one process. Each searcher is run by one of the worker threads.
/// Methods that access running searchers block until the workers have done so.
class FakeSearcherFleet
{
public:
    using StatusCallback = std::function<void(FleetStatus)>;

    explicit FakeSearcherFleet(FleetConfig config);
    ~FakeSearcherFleet();
    FakeSearcherFleet(const FakeSearcherFleet &) = delete;
    FakeSearcherFleet &operator=(const FakeSearcherFleet &) = delete;

    /// Binds all ports and starts the worker threads. @return false with @p reason on failure
    bool start(std::string &reason);
    /// Closes all searchers and ends the threads. No effect if not started.
    void stop();

    /// @return the searchers of this process in the order of the configuration, as they were
    /// started
    std::vector<SearcherEntry> entries() const;
    /// @return the catalog of each service, with the shards that other processes run. It includes
    /// index versions that control commands add and drop.
    std::vector<ServiceCatalog> catalogs() const;

    /// Applies a command. Changes without delay are in effect on return. Must be called from one
    /// thread at a time, and not from a worker thread.
    /// @return the number of selected searchers
    std::size_t control(const ControlCommand &command);
    /// @return the status of all searchers. Blocks until all workers have reported theirs.
    FleetStatus status() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace geraniumcart::tools
