#pragma once

#include <geraniumcart/entry_selection.h>
#include <geraniumcart/serving_view.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <span>
#include <string>
#include <string_view>

namespace geraniumcart {

/// Maximum number of connections of one worker to one searcher of @p profile. The total over all
/// daemons that callers connect to stays below the searcher's limit, even while up to
/// JoiningDaemons more are joining.
/// @param listed number of daemons that callers connect to
std::uint32_t connectionShare(const ServiceProfile &profile, std::uint32_t listed);

/// Maximum number of daemons that may be listed for callers, so that each can hold a connection to
/// every searcher of @p routes.
std::size_t maxListedDaemons(const RouteTable &routes);

/// @return what the searchers of the view admit and need; no limit before the first configuration
ListingLimits listingLimits(const ServingView &view);

/// This daemon's part in the fixed allowance for requests beyond the first attempt of each, for one
/// service and window. Its budget starts empty, holds half of the part, and gains the other half in
/// the time of one window and a share of the requests that the daemon forwards. In any window all
/// daemons together then send at most the sum of their parts and that share of the requests,
/// however callers are distributed and however often daemons restart. The sum of the parts stays
/// below the allowance while daemons agree on who is listed: each of the listed ones and of
/// JoiningDaemons more has an equal part of what the others leave. Those may save up one request
/// each if that takes a small part of the allowance, and otherwise none. If daemons see only m of
/// each other, each has a part of 1 / (m + JoiningDaemons).
/// @param members number of daemons
double retryAllowancePart(const RetryAllowance &allowance, std::uint32_t members,
                          const AllowancePart &part);

/// This daemon's part in the rate limit of a searcher, in requests per second. The parts of all
/// daemons together stay below the limit. While daemons save up their parts, or disagree on who is
/// listed, they together send at most one and a half times what the limit allows in a few seconds,
/// and a few requests more. If there are more listed daemons than the limit has requests to save
/// up, only some of them have a part in it; which ones depends on the searcher. The others send it
/// a request in one to two minutes, to learn when the limit ends.
/// @param limit requests per second that the searcher takes from all daemons
/// @param members number of daemons
double rateLimitPart(double limit, std::string_view instanceId, std::uint32_t members,
                     const AllowancePart &part);

/// Pace of one daemon's requests to one cold searcher of @p profile. It keeps the total over all
/// daemons below the searcher's warm-up rate. In a large fleet the daemons take turns in groups, in
/// an order that depends on the searcher.
/// @param senders number of daemons that may send to the searcher
/// @param wallNow by which the daemons take turns; a clock that is wrong moves a daemon's turns
WarmUpPace warmUpPace(const ServiceProfile &profile, std::string_view instanceId,
                      std::uint32_t senders, const AllowancePart &part, WallTime wallNow);

/// Whether a searcher may get a new request, apart from its load.
enum class Availability : std::uint8_t {
    Usable,
    /// The searcher has announced that it is about to stop. It may get a request only if no other
    /// searcher of its service may.
    LastResort,
    /// It drains, has left or is out of use with its availability zone or version, another searcher
    /// is at its address, it asked for a pause, or it announced its stop too long ago.
    None,
};

/// Whether a searcher may get a request now. Every attempt of a request asks this anew, since a
/// request keeps the searchers of its start for its whole timeout.
/// @param leavingUse time for which a searcher still serves after it has announced its stop
Availability availabilityOf(const Upstream &upstream, TimePoint now, Duration leavingUse);

/// @return true if at least one searcher of @p service may get a request
bool isServable(const ServiceUpstreams &service, TimePoint now, Duration leavingUse);

/// Smallest known latency of @p candidates, or an assumed one if none is known.
Duration lowestLatency(std::span<const std::shared_ptr<Upstream>> candidates);

/// Estimates the time until @p upstream would answer one more request, from what this daemon has
/// observed.
/// @param base latency towards which the measured latency decays as it ages
Duration expectedWait(const Upstream &upstream, Duration base, TimePoint now);

/// Estimates the time until @p upstream would answer one more request as expectedWait() does, but
/// counts that its slots run requests at the same time. expectedWait() counts as if they ran one
/// after the other, which spreads requests over searchers.
Duration predictedLatency(const Upstream &upstream, Duration base, TimePoint now);

/// Picks the searcher that is expected to answer first. Searchers that have just failed or refused
/// a request come after all others, and those that are about to stop come last. Load from other
/// daemons and pauses of a searcher are taken into account only by their effect on what this daemon
/// observes: latency, requests in flight, and the time without any answer. Each worker has its own
/// instance.
class UpstreamChoice
{
public:
    /// @param zone availability zone of this daemon; its searchers are preferred
    UpstreamChoice(std::string zone, std::uint64_t seed)
        : m_zone(std::move(zone))
        , m_random(seed)
    {
    }

    /// @param isUsable returns whether a candidate may be used now
    /// @return null if no candidate is usable
    std::shared_ptr<Upstream> choose(std::span<const std::shared_ptr<Upstream>> candidates,
                                     TimePoint now,
                                     const std::function<bool(const Upstream &)> &isUsable);

    /// Picks among the searchers of @p service. While its requests are divided among back-end
    /// versions, the version is picked first.
    std::shared_ptr<Upstream> choose(const ServiceUpstreams &service, TimePoint now,
                                     const std::function<bool(const Upstream &)> &isUsable);

private:
    const std::string m_zone;
    VersionSplits m_splits;
    std::mt19937_64 m_random;
};

} // namespace geraniumcart
