#include <geraniumcart/serving_view.h>

#include "process/cold_searchers_p.h"
#include "process/log_p.h"

#include <geraniumcart/invariants.h>
#include <geraniumcart/upstream_choice.h>

#include <algorithm>
#include <utility>

namespace geraniumcart {

namespace {

/// A searcher whose entry disappeared while it was not draining is used until this long after the
/// earliest time at which that may have happened: an entry that expired during an outage of the
/// store is written again within two seconds. After three seconds no request may reach a searcher
/// that has left.
constexpr std::chrono::milliseconds ExpiredEntryGrace{1800};

/// Time for which the announcement of a searcher's stop is kept after its removal. It covers an
/// entry that expires and is written again during an outage of the store, which last some seconds.
constexpr std::chrono::seconds RemovedLeavingTime{60};
/// Part of a searcher's drain time that is not used, since a request takes a few milliseconds from
/// its caller to the searcher.
constexpr std::chrono::milliseconds DrainMargin{100};

/// Share of the retry allowance that hedges may use; the rest is kept for failed requests.
constexpr double HedgedShareOfAllowance = 0.75;

/// @return false if the searcher was restarted, moved or upgraded and its earlier state does not
/// apply
bool isSameUpstream(const SearcherRecord &a, const SearcherRecord &b)
{
    return a.service == b.service && a.address == b.address && a.zone == b.zone &&
           a.version == b.version && a.bootTime == b.bootTime;
}

} // namespace

void ServingViewBuilder::onRoutes(RouteTable routes)
{
    if (m_routes && routes.version <= m_routes->version) {
        if (routes.version < m_routes->version)
            logEvent(LogLevel::Info, "routesIgnored",
                     {{"version", routes.version}, {"inForce", m_routes->version}});
        return;
    }
    logEvent(LogLevel::Info, "routesInForce",
             {{"version", routes.version},
              {"previous", m_routes ? m_routes->version : 0},
              {"routes", routes.routes.size()},
              {"services", routes.services.size()}});
    m_routes = std::make_shared<const RouteTable>(std::move(routes));
    m_routedServices.clear();
    for (const Route &route : m_routes->routes) {
        m_routedServices.insert(route.shards.begin(), route.shards.end());
        for (const RouteTarget &target : route.targets)
            m_routedServices.insert(target.service);
    }
    schedulePublish();
}

void ServingViewBuilder::onSearcher(const SearcherRecord &record)
{
    m_hasSearchers = true;
    Entry &entry = m_searchers[record.instanceId];
    if (entry.removal != 0)
        m_timers.cancel(std::exchange(entry.removal, 0));
    const bool isNew = !entry.upstream || !isSameUpstream(entry.record, record);
    const bool wasDraining = entry.record.isDraining;
    entry.record = record;
    if (isNew) {
        const std::shared_ptr<Upstream> earlier = std::move(entry.upstream);
        entry.upstream = makeUpstream(record);
        if (earlier) {
            earlier->setInUse(false);
            entry.upstream->inheritWarmUp(*earlier);
        }
    } else if (wasDraining && !record.isDraining)
        entry.upstream->clearLeaving();
    if (record.remainingWarmUp > Duration::zero() &&
        entry.upstream->setColdFor(m_timers.now(), record.remainingWarmUp))
        recordColdSearcher(*entry.upstream, ColdCause::Entry, m_timers.now());
    if (!isNew && wasDraining == record.isDraining)
        return;
    logEvent(LogLevel::Info, record.isDraining ? "searcherDraining" : "searcherSeen",
             {{"instance", record.instanceId},
              {"service", record.service},
              {"address", record.address},
              {"zone", record.zone}});
    schedulePublish();
}

void ServingViewBuilder::onSearcherRemoved(const std::string &instanceId, Duration age)
{
    const auto found = m_searchers.find(instanceId);
    if (found == m_searchers.end())
        return;
    if (!found->second.record.isDraining) {
        scheduleRemoval(instanceId, found->second,
                        std::max<Duration>(ExpiredEntryGrace - age, Duration::zero()));
        return;
    }
    remove(instanceId);
}

void ServingViewBuilder::remove(const std::string &instanceId)
{
    auto node = m_searchers.extract(instanceId);
    if (node)
        node.mapped().upstream->setInUse(false);
    if (node && node.mapped().upstream->leavingSince()) {
        Entry &removed = m_removedLeaving[instanceId];
        if (removed.removal != 0)
            m_timers.cancel(removed.removal);
        removed = std::move(node.mapped());
        removed.removal = m_timers.schedule(
                RemovedLeavingTime, [this, instanceId] { m_removedLeaving.erase(instanceId); });
    }
    schedulePublish();
}

std::shared_ptr<Upstream> ServingViewBuilder::makeUpstream(const SearcherRecord &record)
{
    const auto removed = m_removedLeaving.find(record.instanceId);
    if (removed != m_removedLeaving.end() && isSameUpstream(removed->second.record, record))
        return removed->second.upstream;
    return std::make_shared<Upstream>(record);
}

void ServingViewBuilder::scheduleRemoval(const std::string &instanceId, Entry &entry,
                                         Duration delay)
{
    if (entry.removal != 0)
        return;
    entry.removal = m_timers.schedule(delay, [this, instanceId, delay] {
        logEvent(LogLevel::Info, "searcherGone", {{"instance", instanceId}, {"delay", delay}});
        remove(instanceId);
    });
}

void ServingViewBuilder::onZoneOut(const std::string &zone)
{
    if (!m_zonesOut.insert(zone).second)
        return;
    logEvent(LogLevel::Info, "zoneOut", {{"zone", zone}});
    schedulePublish();
}

void ServingViewBuilder::onZoneRestored(const std::string &zone)
{
    if (m_zonesOut.erase(zone) == 0)
        return;
    logEvent(LogLevel::Info, "zoneBack", {{"zone", zone}});
    // publish() does the same, unless the zone was out for less than one turn of the event loop.
    for (const auto &[instanceId, entry] : m_searchers)
        if (entry.record.zone == zone)
            suspectCold(*entry.upstream);
    schedulePublish();
}

void ServingViewBuilder::setEntries(std::vector<EntryAddress> entries, std::uint32_t senders,
                                    const AllowancePart &retries)
{
    if (entries == m_entries && senders == m_senders && retries == m_allowancePart)
        return;
    m_entries = std::move(entries);
    m_senders = senders;
    m_allowancePart = retries;
    schedulePublish();
}

void ServingViewBuilder::setLeaving(TimePoint endsAt)
{
    m_isLeaving = true;
    m_endsAt = endsAt;
    schedulePublish();
}

void ServingViewBuilder::setDivisions(VersionDivisions divisions)
{
    if (divisions == m_divisions)
        return;
    m_divisions = std::move(divisions);
    schedulePublish();
}

bool ServingViewBuilder::hasVersion(const std::string &service, const std::string &version) const
{
    return std::ranges::any_of(m_searchers, [&](const auto &searcher) {
        const SearcherRecord &record = searcher.second.record;
        return record.service == service && record.version == version && !record.isDraining;
    });
}

bool ServingViewBuilder::isInUse(const SearcherRecord &record) const
{
    if (record.isDraining || m_zonesOut.contains(record.zone))
        return false;
    const auto division = m_divisions.find(record.service);
    return division == m_divisions.end() || division->second.hasShare(record.version);
}

void ServingViewBuilder::suspectCold(Upstream &upstream)
{
    if (upstream.suspectCold(m_timers.now()))
        recordColdSearcher(upstream, ColdCause::OutOfUse, m_timers.now());
}

void ServingViewBuilder::schedulePublish()
{
    // All changes that arrive in one turn of the event loop are published together.
    if (std::exchange(m_isPublishDue, true))
        return;
    m_timers.schedule(Duration::zero(), [this] { publish(); });
}

void ServingViewBuilder::publish()
{
    m_isPublishDue = false;
    ServingView view;
    view.routes = m_routes;
    view.entries = m_entries;
    view.senders = m_senders;
    view.part = m_allowancePart;
    view.isLeaving = m_isLeaving;
    view.endsAt = m_endsAt;
    view.leavingUse = std::max<Duration>(m_searcherDrain - DrainMargin, Duration::zero());
    view.publishedAt = m_timers.now();
    if (m_routes) {
        const double part = retryAllowancePart(m_retries, m_senders, m_allowancePart);
        for (const auto &[name, profile] : m_routes->services) {
            auto &budget = m_budgets[name];
            if (!budget)
                budget = std::make_shared<AttemptBudget>(m_retries.share * PlannedRetryShare, part,
                                                         m_isFirstStart ? part : 0);
            budget->setPart(part, m_retries.window);
            const auto division = m_divisions.find(name);
            view.services[name] = {profile,
                                   budget,
                                   {},
                                   division == m_divisions.end() ? VersionDivision()
                                                                 : division->second};
        }
        for (const Route &route : m_routes->routes) {
            auto &hedging = m_hedging[route.name];
            if (!hedging)
                hedging = makeHedgingPolicy(HedgingKind::Quantile,
                                            1 - m_retries.share * HedgedShareOfAllowance);
        }
        view.hedging = m_hedging;
    }
    for (const auto &[instanceId, entry] : m_searchers) {
        const auto service = view.services.find(entry.record.service);
        const bool isUsed = isInUse(entry.record);
        // Requests in progress see that it is in use before they see the view.
        if (isUsed && !entry.upstream->isInUse())
            suspectCold(*entry.upstream);
        entry.upstream->setInUse(isUsed);
        if (service == view.services.end() || !isUsed)
            continue;
        const ServiceProfile &profile = service->second.profile;
        entry.upstream->setWarmUpLimit(
                view.publishedAt,
                warmUpPace(profile, instanceId, m_senders, view.part, m_timers.wallNow()),
                profile.warmUp);
        if (const auto limit = entry.upstream->rateLimit())
            entry.upstream->setRatePart(view.publishedAt,
                                        rateLimitPart(*limit, instanceId, m_senders, view.part));
        service->second.upstreams.push_back(entry.upstream);
        view.routedSearchers += m_routedServices.contains(service->first) ? 1 : 0;
    }
    m_publisher.publish(std::move(view));
    if (m_observer)
        m_observer();
}

} // namespace geraniumcart
