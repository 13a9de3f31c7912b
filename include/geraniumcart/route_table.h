#pragma once

#include <geraniumcart/config.h>
#include <geraniumcart/timer_service.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumcart {

enum class RouteKind : std::uint8_t {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once; it is repeated only after a proof that it did not run.
    AtMostOnce,
};

/// A service that receives a part of a route's requests, in proportion to its weight.
struct RouteTarget
{
    std::string service;
    double weight = 1;
};

/// Matches requests by host and path and names the services that receive them. A route has either
/// targets or shards.
struct Route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    RouteKind kind = RouteKind::Idempotent;
    /// Maximum time that a caller waits for an answer.
    Duration timeout = DefaultDeadline;
    /// Answers that arrive within this time have their full value for the caller.
    Duration latencyObjective = DefaultDeadline;
    /// Maximum number of searchers of one service that one request may be sent to.
    std::uint32_t attempts = 1;
    /// Priority of the route's requests; 0 is the most urgent.
    std::uint32_t rank = 0;
    std::vector<RouteTarget> targets;
    /// Services that each hold a part of the index; a request goes to one searcher of each.
    std::vector<std::string> shards;
    /// Maximum number of records in an answer that is merged from all shards.
    std::uint32_t resultLimit = 0;
    /// Minimum share of shards that must answer for the request to succeed, 0 to 1.
    double minShardShare = 1;

    bool isScattered() const { return !shards.empty(); }
    /// Minimum number of shards that must answer for the request to succeed.
    std::uint32_t minShards() const;
};

/// Settings that all searchers of a service have in common.
struct ServiceProfile
{
    std::string name;
    /// Number of connections that one searcher accepts from all callers together.
    std::uint32_t maxConnections = 1;
    /// Requests per second that a cold searcher can handle from all callers together; 0 sets no
    /// limit.
    double warmUpRate = 0;
    /// Time for which a searcher is cold after its start.
    Duration warmUp = std::chrono::seconds(5);
    /// Path at which a searcher states its health; empty if it does not.
    std::string healthPath = {};
};

/// Limits on what a caller may send, and how long this daemon waits for it.
struct CallerBounds
{
    std::size_t headerBytes = MaxHeaderBytes;
    std::size_t bodyBytes = MaxBodyBytes;
    Duration headerTimeout = CallerReadTimeout;
    Duration idleTimeout = CallerIdleTimeout;
};

/// One version of the routing configuration.
struct RouteTable
{
    /// Increases with each configuration that operators put into force; 0 before the first.
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::map<std::string, ServiceProfile, std::less<>> services;
    CallerBounds callers;

    /// @param path the target of a request without its query
    /// @return the route of @p host with the longest prefix of @p path, or null
    const Route *match(std::string_view host, std::string_view path) const;
};

} // namespace geraniumcart
