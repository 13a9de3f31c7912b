#include "process/gateway_worker_p.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <random>
#include <utility>

namespace geraniumcart {

namespace {

/// Time after which idle connections to searchers are closed. A listed daemon keeps them for the
/// next requests of its callers; those of an unlisted daemon only occupy connection slots of the
/// searchers that listed daemons need.
constexpr std::chrono::seconds ListedIdleTime{60};
constexpr std::chrono::milliseconds UnlistedIdleTime{200};
/// Time over which connections to new searchers are opened, at random moments. Opening a connection
/// occupies a slot of the searcher for a few milliseconds, and all daemons detect a new searcher at
/// the same moment.
constexpr std::chrono::milliseconds WarmUpSpread{1000};
/// Interval at which counts are added to the metrics.
constexpr std::chrono::seconds ExportInterval{1};

} // namespace

void SharedLinkStates::set(const LinkStates &states, const LinkCounts &counts)
{
    m_opening.store(states.opening, std::memory_order_relaxed);
    m_idle.store(states.idle, std::memory_order_relaxed);
    m_busy.store(states.busy, std::memory_order_relaxed);
    for (std::size_t i = 0; i < m_opened.size(); ++i)
        m_opened[i].store(counts.opened[i], std::memory_order_relaxed);
    for (std::size_t i = 0; i < m_closed.size(); ++i)
        m_closed[i].store(counts.closed[i], std::memory_order_relaxed);
}

void SharedLinkStates::addTo(LinkStates &states, LinkCounts &counts) const
{
    states.opening += m_opening.load(std::memory_order_relaxed);
    states.idle += m_idle.load(std::memory_order_relaxed);
    states.busy += m_busy.load(std::memory_order_relaxed);
    for (std::size_t i = 0; i < m_opened.size(); ++i)
        counts.opened[i] += m_opened[i].load(std::memory_order_relaxed);
    for (std::size_t i = 0; i < m_closed.size(); ++i)
        counts.closed[i] += m_closed[i].load(std::memory_order_relaxed);
}

GatewayWorker::GatewayWorker(Worker &worker, const GatewaySettings &settings,
                             const UpstreamHeaderNames &names, const ServingViewPublisher &views,
                             const EntryRole &role, Stats &stats)
    : m_worker(worker)
    , m_callerAddress(settings.callerAddress)
    , m_views(views)
    , m_role(role)
    , m_stats(stats)
    , m_connections(worker.context, worker.timers, names)
    , m_choice(settings.zone, std::random_device{}())
    , m_gateway({worker.timers, m_connections, m_choice, m_calls}, views, stats,
                settings.callerRoundTrip, std::random_device{}())
{
}

void GatewayWorker::start(std::function<void(bool isBusy)> busyChanged)
{
    exportCounts();
    m_worker.timers.scheduleEvery(ExportInterval, [this] { exportCounts(); });
    m_lag.emplace(m_worker.timers, std::move(busyChanged));
    m_lag->start();
}

void GatewayWorker::postEndOfRequests()
{
    boost::asio::post(m_worker.context, [this] { m_gateway.endOpenRequests(); });
}

void GatewayWorker::postViewChanged()
{
    boost::asio::post(m_worker.context, [this] { onViewChanged(); });
}

void GatewayWorker::onViewChanged()
{
    const ServingViewPin view = m_views.pin();
    const bool isListed = std::ranges::any_of(view->entries, [this](const EntryAddress &entry) {
        return entry.address == m_callerAddress;
    });
    m_connections.setIdleTime(isListed ? ListedIdleTime : UnlistedIdleTime);
    std::map<std::string, std::string, std::less<>> healthPaths;
    for (const auto &[name, service] : view->services)
        if (service.profile.warmUpRate > 0 && !service.profile.healthPath.empty())
            healthPaths[name] = service.profile.healthPath;
    m_connections.setHealthPaths(std::move(healthPaths));
    // A daemon that is about to be listed for the first time opens its connections beforehand; any
    // other unlisted daemon has no callers and needs none.
    if (!isListed && (m_role.isReady || !m_role.isCandidate)) {
        // Its connections end after UnlistedIdleTime and are opened again when it is listed.
        m_prewarmed.clear();
        return;
    }
    std::minstd_rand random{std::random_device{}()};
    std::uniform_int_distribution<Duration::rep> spread(0, Duration(WarmUpSpread).count());
    std::unordered_set<std::string> present;
    for (const auto &[name, service] : view->services)
        for (const std::shared_ptr<Upstream> &upstream : service.upstreams) {
            const std::string key = upstream->instanceId() + '@' + upstream->address();
            present.insert(key);
            if (!m_prewarmed.contains(key))
                m_worker.timers.schedule(Duration(spread(random)),
                                         [this, upstream, key] { prewarm(upstream, key); });
        }
    m_prewarmed = std::move(present);
}

void GatewayWorker::prewarm(const std::shared_ptr<Upstream> &upstream, const std::string &key)
{
    if (m_role.isCandidate)
        m_connections.warmUp(upstream);
    else
        m_prewarmed.erase(key);
}

void GatewayWorker::exportCounts()
{
    const LinkCounts links = m_connections.counts();
    m_stats.add(Counter::SubRequests, m_calls.sent - m_exportedCalls.sent);
    m_stats.add(Counter::Hedges, m_calls.hedged - m_exportedCalls.hedged);
    m_stats.add(Counter::Retries, m_calls.retried - m_exportedCalls.retried);
    m_stats.add(Counter::BudgetExhausted,
                m_calls.budgetExhausted - m_exportedCalls.budgetExhausted);
    m_stats.add(Counter::ConnectionsOpened, links.allOpened() - m_exportedLinks.allOpened());
    m_stats.add(Counter::SilentConnections, links.timedOut - m_exportedLinks.timedOut);
    m_exportedCalls = m_calls;
    m_exportedLinks = links;
    m_linkStates.set(m_connections.states(), links);
}

} // namespace geraniumcart
