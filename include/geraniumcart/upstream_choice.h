#pragma once

#include <geraniumcart/serving_view.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <span>
#include <string>

namespace geraniumcart {

/// Connections that one worker may hold to one searcher of @p profile. The sum over the daemons
/// that callers are sent to stays under the searcher's limit, also while a few join.
std::uint32_t connectionShare(const ServiceProfile &profile, std::uint32_t listed);

/// Daemons that may be listed so that each can hold a connection to every searcher of @p routes.
std::size_t mostListedDaemons(const RouteTable &routes);

/// Least time between two requests of one daemon to one cold searcher of @p profile. The sum over
/// all daemons stays under what the searcher bears. Zero sets no bound.
Duration warmUpInterval(const ServiceProfile &profile, std::uint32_t senders);

/// Smallest known latency of @p candidates; an assumed one where none is known.
Duration lowestLatency(std::span<const std::shared_ptr<Upstream>> candidates);

/// Time until a further request to @p upstream is answered, as this daemon sees it.
/// @param base latency towards which an old bad impression fades
Duration expectedWait(const Upstream &upstream, Duration base, TimePoint now);

/// Picks the searcher that is expected to answer first. Answers the load that other daemons cause
/// and pauses of a searcher by what this daemon sees: latency, work under way, silence.
class UpstreamChoice
{
public:
    /// @param zone searchers of this availability zone are nearer
    UpstreamChoice(std::string zone, std::uint64_t seed)
        : m_zone(std::move(zone))
        , m_random(seed)
    {
    }

    /// @param isUsable tells whether a candidate may be used now
    /// @return null if no candidate is usable
    std::shared_ptr<Upstream> choose(std::span<const std::shared_ptr<Upstream>> candidates,
                                     TimePoint now,
                                     const std::function<bool(const Upstream &)> &isUsable);

    /// As above, among the searchers of @p service. While its requests are divided among versions,
    /// the version is picked first.
    std::shared_ptr<Upstream> choose(const ServiceUpstreams &service, TimePoint now,
                                     const std::function<bool(const Upstream &)> &isUsable);

private:
    const std::string m_zone;
    VersionSplits m_splits;
    std::mt19937_64 m_random;
};

} // namespace geraniumcart
