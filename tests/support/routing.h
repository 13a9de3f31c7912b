#pragma once

#include <geraniumcart/snapshot.h>

#include <memory>
#include <string>
#include <vector>

namespace geraniumcart::test {

inline constexpr std::uint64_t IndexVersion = 7;
inline constexpr std::uint64_t DocumentsPerShard = 10;

/// @return routing of a service `s` whose shards have @p replicas warm searchers each. The searcher
/// at index shard * replicas + i is replica i of its shard.
inline ServiceRouting makeRouting(std::uint32_t shards, std::uint32_t replicas)
{
    ServiceRouting routing;
    routing.name = "s";
    IndexView view;
    view.partitions.indexVersion = IndexVersion;
    view.partitions.documents.assign(shards, DocumentsPerShard);
    view.replicas.resize(shards);
    for (std::uint32_t shard = 0; shard < shards; ++shard) {
        for (std::uint32_t i = 0; i < replicas; ++i) {
            Searcher searcher;
            searcher.entry.address = "10.0." + std::to_string(shard) + "." + std::to_string(i);
            searcher.entry.shard = shard;
            searcher.state = std::make_shared<UpstreamState>(searcher.entry.address);
            searcher.state->setCold(false);
            view.replicas[shard].push_back(static_cast<std::uint32_t>(routing.searchers.size()));
            routing.searchers.push_back(std::move(searcher));
        }
    }
    view.coveredShards = shards;
    routing.view = std::move(view);
    return routing;
}

/// @return a pin of a snapshot that contains only @p routing, as service `s`
inline SnapshotPin pinOf(ServiceRouting routing)
{
    SnapshotPublisher publisher;
    RoutingSnapshot snapshot;
    snapshot.services["s"] = std::make_shared<const ServiceRouting>(std::move(routing));
    publisher.publish(std::move(snapshot));
    return publisher.pin();
}

} // namespace geraniumcart::test
