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

struct IndexVersionConfig
{
    std::uint64_t version = 1;
    std::uint64_t documentsPerShard = 1000;
    /// Shards of this version; 0 means all of the service.
    std::uint32_t shards = 0;
};

struct ServiceConfig
{
    std::string name;
    std::uint32_t shards = 1;
    std::uint32_t replicas = 1;
    /// Number of the first replica, so that one service can be described in several parts.
    std::uint32_t firstReplica = 0;
    std::uint32_t searchersPerInstance = 1;
    /// A replica's zone follows from its number.
    std::vector<std::string> zones{"zone-a"};
    /// A replica's back-end version follows from its number.
    std::vector<std::string> backEndVersions{"v1"};
    /// Port of the first searcher; 0 lets the kernel pick.
    std::uint16_t basePort = 0;
    std::vector<IndexVersionConfig> indexVersions{{}};
    SearcherLimits limits;
    ServiceTimeConfig serviceTime;
    ColdOverloadConfig coldOverload;
    std::uint32_t queueLength = 8;
    Duration loadLag{};
    bool startsWarm = false;
};

struct FleetConfig
{
    std::string bindIp = "127.0.0.1";
    std::uint64_t seed = 1;
    std::uint32_t threads = 2;
    /// This process runs the searchers whose number modulo `parts` is `part`.
    std::uint32_t part = 0;
    std::uint32_t parts = 1;
    std::vector<ServiceConfig> services;
};

/// Picks searchers; an empty list matches any.
struct SearcherSelector
{
    std::vector<std::string> services;
    std::vector<std::string> zones;
    std::vector<std::string> versions;
    std::vector<std::string> addresses;
    std::vector<std::uint32_t> shards;
    std::vector<std::uint32_t> replicas;
    /// Most searchers to take, evenly spread over the matching ones; 0 means all.
    std::uint32_t count = 0;
};

enum class SearcherAction : std::uint8_t {
    Stop,
    Start,
    Cold,
    /// Connections that are open now stay silent for good; new ones work.
    SilenceOpenConnections,
    CloseConnections,
    DropOldestIndexVersion,
    ResetCounters,
};

/// One change of the chosen searchers.
struct ControlCommand
{
    SearcherSelector select;
    /// All faults back to none, before the changes below.
    bool clearsFaults = false;
    /// Applied to the faults in force.
    std::function<void(SearcherFaults &)> changeFaults;
    std::vector<SearcherAction> actions;
    std::optional<IndexVersionConfig> addIndexVersion;
    std::optional<std::string> backEndVersion;
    /// Delayed onset, and a random part of it for each searcher.
    Duration after{};
    Duration spread{};
};

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

struct FleetStatus
{
    std::vector<SearcherStatus> searchers;
};

/// Reads --config. On failure nothing is returned and @p reason says why.
std::optional<FleetConfig> parseFleetConfig(std::string_view json, std::string &reason);
std::optional<ControlCommand> parseControlCommand(std::string_view json, std::string &reason);
/// @param withSearchers lists each searcher as well as the sums
std::string formatFleetStatus(const FleetStatus &status, bool withSearchers);
/// Runs of each booking key: `{"runs":{KEY:COUNT}}`.
std::string formatBookings(const FleetStatus &status);

/// Stand-in searchers of one process. Each searcher belongs to one of the worker threads.
class FakeSearcherFleet
{
public:
    using StatusCallback = std::function<void(FleetStatus)>;

    explicit FakeSearcherFleet(FleetConfig config);
    ~FakeSearcherFleet();
    FakeSearcherFleet(const FakeSearcherFleet &) = delete;
    FakeSearcherFleet &operator=(const FakeSearcherFleet &) = delete;

    /// Binds all ports and starts the threads. @return false with @p reason on failure
    bool start(std::string &reason);
    void stop();

    /// Searchers of this process, in order.
    std::vector<SearcherEntry> entries() const;
    /// The whole service, whichever process runs it; follows changes of index versions.
    std::vector<ServiceCatalog> catalogs() const;

    /// Applies a command. May be called from one thread at a time that is none of the workers.
    /// @return the number of searchers chosen; changes without delay are in force on return
    std::size_t control(const ControlCommand &command);
    /// Status of all searchers; blocks until every worker has answered.
    FleetStatus status() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace geraniumcart::tools
