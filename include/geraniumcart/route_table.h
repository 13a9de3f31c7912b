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
    /// May run more than once.
    Idempotent,
    /// Runs at most once; repeated only after a proof that it did not run.
    AtMostOnce,
};

/// One part of a weighted split.
struct RouteTarget
{
    std::string service;
    double weight = 1;
};

/// Which requests go where. A route has either targets or shards.
struct Route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    RouteKind kind = RouteKind::Idempotent;
    /// Longest time for which a caller is kept waiting.
    Duration timeout = DefaultDeadline;
    /// Answers within this time are worth their full value to the caller.
    Duration latencyObjective = DefaultDeadline;
    /// Searchers of one service that one request may be sent to, at most.
    std::uint32_t attempts = 1;
    /// 0 is the most urgent.
    std::uint32_t rank = 0;
    std::vector<RouteTarget> targets;
    /// Services that each hold a part of the index; a request goes to one searcher of each.
    std::vector<std::string> shards;
    /// Records of an answer over all shards, at most.
    std::uint32_t resultLimit = 0;
    /// Smallest share of shards in a success, 0 to 1.
    double minShardShare = 1;

    bool isScattered() const { return !shards.empty(); }
    /// Fewest shards in a success.
    std::uint32_t minShards() const;
};

/// What all searchers of a service have in common.
struct ServiceProfile
{
    std::string name;
    /// Connections that one searcher takes from all callers together.
    std::uint32_t maxConnections = 1;
    /// Requests a second that a cold searcher bears from all callers together; 0 sets no bound.
    double warmUpRate = 0;
};

/// Bounds on what a caller may send.
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
    /// Grows with each configuration that operators put into force; 0 before the first.
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::map<std::string, ServiceProfile, std::less<>> services;
    CallerBounds callers;

    /// @param path the target of a request without its query
    /// @return the route of @p host with the longest prefix of @p path, or null
    const Route *match(std::string_view host, std::string_view path) const;
};

} // namespace geraniumcart
