#pragma once

#include <geraniumcart/timer_service.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumcart {

/// Partition map of one index version: the number of documents in each shard.
struct PartitionMap
{
    std::uint64_t indexVersion = 0;
    std::vector<std::uint64_t> documents;

    std::uint32_t shardCount() const { return static_cast<std::uint32_t>(documents.size()); }
    std::uint64_t documentsTotal() const;
    bool operator==(const PartitionMap &) const = default;
};

/// Capacity limits of each searcher of a service.
struct SearcherLimits
{
    std::uint32_t slots = 2;
    std::uint32_t connections = 25;
    /// Time it takes to open a connection. Connections are opened outside the path of a request.
    Duration connectCost = std::chrono::milliseconds(6);
    /// Requests per second that a searcher can handle right after its start.
    double coldRequestsPerSecond = 20;
    /// The rate that a searcher can handle doubles once per interval until the searcher is warm.
    Duration coldDoubling = std::chrono::seconds(1);
    /// A searcher counts as warm this long after its first answered request.
    Duration warmUp = std::chrono::seconds(5);
    bool operator==(const SearcherLimits &) const = default;
};

/// One service: its limits and the index versions that exist, newest first.
struct ServiceCatalog
{
    std::string service;
    SearcherLimits limits;
    std::vector<PartitionMap> indexVersions;
    bool operator==(const ServiceCatalog &) const = default;
};

/// State of a host according to the platform's host list.
enum class HostState : std::uint8_t { Live, Leaving };

/// A searcher in the platform's host list. The list is updated with a delay.
struct SearcherEntry
{
    std::string address;
    std::string service;
    std::string zone;
    std::string instance;
    std::uint32_t shard = 0;
    std::string backEndVersion;
    HostState state = HostState::Live;
    bool operator==(const SearcherEntry &) const = default;
};

/// An entry host (one of our daemons) in the platform's host list.
struct EntryHost
{
    std::string name;
    std::string zone;
    std::string address;
    std::string peerAddress;
    HostState state = HostState::Live;
    bool operator==(const EntryHost &) const = default;
};

struct HostList
{
    std::vector<SearcherEntry> searchers;
    std::vector<EntryHost> entries;
    bool operator==(const HostList &) const = default;
};

enum class CatalogError : std::uint8_t { None, NotJson, MissingField, BadField, TooManyShards };

/// Parses the store's `catalog/{service}` object (JSON).
/// @param error reason of a failure
/// @param field path of the missing or invalid field, such as `limits.slots`
/// @return the catalog, or std::nullopt with @p error and @p field set
std::optional<ServiceCatalog> parseCatalog(std::string_view json, CatalogError &error,
                                           std::string &field);
/// Parses the store's `hosts` object (JSON). Parameters and failures as in parseCatalog().
std::optional<HostList> parseHostList(std::string_view json, CatalogError &error,
                                      std::string &field);
std::string formatCatalog(const ServiceCatalog &catalog);
std::string formatHostList(const HostList &hosts);

} // namespace geraniumcart
