#include "process/gateway_daemon_p.h"

#include "connection/caller_listener_p.h"
#include "connection/control_network_p.h"
#include "connection/metrics_handler_p.h"
#include "connection/peer_listener_p.h"
#include "process/event_loop_p.h"
#include "process/gateway_membership_p.h"
#include "process/gateway_metrics_p.h"
#include "process/gateway_worker_p.h"
#include "process/load_meter_p.h"
#include "process/log_p.h"
#include "process/worker_pool_p.h"

#include <geraniumcart/entry_selection.h>
#include <geraniumcart/membership.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>

#include <algorithm>
#include <csignal>
#include <optional>

namespace geraniumcart {

namespace asio = boost::asio;

namespace {

/// Name of the cell in the handshake. Peers of other deployments name another cell and are refused.
constexpr const char *Cell = "gateway";
/// Time that a daemon has to open its connections to searchers before it is listed for callers.
constexpr std::chrono::milliseconds ConnectionLeadTime{1200};
/// Time for which callers are still accepted after the stop request, until the directory answers
/// that they have cached expire.
constexpr std::chrono::milliseconds AcceptWhileLeaving{3500};
/// Part of the stop grace period that is reserved for ending the process.
constexpr std::chrono::milliseconds StopReserve{400};
/// Part of the stop grace period, before StopReserve, in which the last answers are sent: requests
/// that are still open then are answered instead of being cut off.
constexpr std::chrono::milliseconds AnswerReserve{200};
/// Interval at which a planned stop checks whether the last requests have ended.
constexpr std::chrono::milliseconds StopPollInterval{20};
/// Membership changes within this time are applied together: roles and entries are computed over
/// all members, and the start of a large fleet causes hundreds of changes at once.
constexpr std::chrono::milliseconds MembersInterval{50};
/// Interval at which the age of the fleet's state is copied for the metrics.
constexpr std::chrono::seconds ExportInterval{1};
/// Interval at which the load of this daemon is measured.
constexpr std::chrono::seconds LoadInterval{1};
/// Returns an incarnation number that grows with each start of a daemon on one host, as long as the
/// clock is not set back by more than the time between two starts.
std::uint64_t newIncarnation(const TimerService &timers)
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                              timers.wallNow().time_since_epoch())
                                              .count());
}

/// @return requests per second that all present members send to searchers
std::uint64_t totalLoad(const std::vector<Member> &members)
{
    std::uint64_t load = 0;
    for (const Member &member : members)
        load += isPresent(member.state) ? member.load : 0;
    return load;
}

} // namespace

/// The parts of the daemon. Its members belong to the control thread, which calls
/// GatewayDaemon::run(), except for those of a worker, publishers, statistics and atomics, which
/// the workers use as well.
struct GatewayDaemon::Impl
{
    Impl(GatewaySettings daemonSettings, GatewayPlatform &daemonPlatform);
    ~Impl();

    bool open(std::string &reason);
    void run();

private:
    /// Waits for the next signal: the first SIGTERM or SIGINT starts a planned stop, the second one
    /// ends it immediately.
    void awaitSignal();
    /// Announces the stop and keeps accepting callers for AcceptWhileLeaving.
    void beginStop();
    /// Stops accepting connections and lets the open ones end.
    void drainCallers();
    /// Polls until the last request and connection of callers have ended, at most until @p
    /// latestEnd, then ends run().
    void awaitLastCall(TimePoint latestEnd);
    void endRun();
    /// Number of open requests of all workers.
    std::uint32_t runningCalls() const;

    /// Formats all metrics. Called on the workers.
    std::string metricsText() const;
    /// Copies the age and the difference of the fleet's state for metricsText(), now and at each
    /// interval.
    void exportStateAge();
    /// Passes a new view to the workers. With the first view that has routes and searchers,
    /// schedules announceReady(), then becomeReady().
    void onViewPublished();
    /// Announces the address for callers to the peers and publishes it in the directory.
    void announceReady();
    /// Makes readiness probes succeed.
    void becomeReady();
    /// Counts the busy workers and announces to the peers whether there are any.
    void onWorkerBusy(bool isBusy);
    /// Measures the load of this daemon and announces it to the peers, now and at each interval.
    void measureLoad(TimePoint lastMeasured);
    /// Schedules applyMembers(), unless it is scheduled already.
    void onMembersChanged();
    /// Selects the entries for callers among the members.
    void applyMembers();
    /// @return this daemon's part in what the fleet as a whole may send. A busy daemon keeps its
    /// part, since it is left out of the entries for a moment only.
    AllowancePart allowancePart(std::vector<Member> members,
                                const std::vector<EntryAddress> &entries) const;
    void onPeerMessage(const std::string &peer, PeerMessage message);
    /// Creates a listener for @p address, with one handler per worker. The caller opens it.
    std::optional<CallerListener> &listen(std::optional<CallerListener> &listener,
                                          const std::string &address,
                                          std::vector<std::unique_ptr<CallerHandler>> handlers);

    const GatewaySettings m_settings;
    GatewayPlatform &m_platform;
    asio::io_context m_context{1};
    asio::executor_work_guard<asio::io_context::executor_type> m_keepRunning;
    asio::signal_set m_signals;
    AsioTimerService m_timers{m_context};
    ServingViewPublisher m_views;
    Stats m_stats;
    StoreCallCounts m_storeCalls;
    /// Age of the fleet's state at the last export, time for which it has differed from that of the
    /// watchers, and number of objects refused as older, for metricsText() on the workers.
    std::atomic<Duration::rep> m_stateAge{0};
    std::atomic<Duration::rep> m_stateDifferenceAge{0};
    std::atomic<std::uint64_t> m_refusedObjects{0};
    ServingViewBuilder m_builder;
    WorkerPool m_workers;
    EntryRole m_role;
    std::vector<std::unique_ptr<GatewayWorker>> m_gatewayWorkers;
    std::optional<CallerListener> m_callers;
    std::optional<CallerListener> m_directory;
    std::optional<CallerListener> m_readiness;
    std::optional<CallerListener> m_metrics;
    FleetRollouts m_rollouts;
    std::optional<ControlNetwork> m_network;
    std::optional<Membership> m_membership;
    std::optional<PeerListener> m_peers;
    std::optional<FleetRelay> m_relay;
    std::unique_ptr<FleetSource> m_source;
    /// Limits with which the current entries were selected.
    ListingLimits m_listingLimits;
    LoadMeter m_load;
    std::size_t m_listed = 0;
    int m_busyWorkers = 0;
    bool m_isMembersUpdateScheduled = false;
    bool m_isReadyScheduled = false;
    bool m_isStopping = false;
};

GatewayDaemon::Impl::Impl(GatewaySettings daemonSettings, GatewayPlatform &daemonPlatform)
    : m_settings(std::move(daemonSettings))
    , m_platform(daemonPlatform)
    , m_keepRunning(asio::make_work_guard(m_context))
    , m_signals(m_context, SIGTERM, SIGINT, SIGHUP)
    , m_builder(m_timers, m_views, m_settings.retries, m_settings.searcherDrain,
                m_settings.isFirstStart)
    , m_workers(m_settings.workers)
    , m_rollouts(m_settings.name, newIncarnation(m_timers), m_timers, m_builder,
                 {[this](const RolloutOrder &order) { m_source->recordRollout(order); },
                  [this] { return m_relay->isWatching(); }})
{
    for (std::uint32_t i = 0; i < m_workers.size(); ++i)
        m_gatewayWorkers.push_back(std::make_unique<GatewayWorker>(m_workers.worker(i), m_settings,
                                                                   m_platform.upstreamHeaders(),
                                                                   m_views, m_role, m_stats));
}

GatewayDaemon::Impl::~Impl()
{
    m_workers.stop();
}

bool GatewayDaemon::Impl::open(std::string &reason)
{
    std::vector<std::unique_ptr<CallerHandler>> callers;
    std::vector<std::unique_ptr<CallerHandler>> directory;
    std::vector<std::unique_ptr<CallerHandler>> readiness;
    for (const auto &worker : m_gatewayWorkers) {
        callers.push_back(
                std::make_unique<GatewayHandler>(worker->gateway(), m_platform.callerHeaders()));
        directory.push_back(m_platform.makeDirectoryHandler(m_views));
        readiness.push_back(m_platform.makeReadinessHandler(m_role.isReady));
    }
    std::vector<std::unique_ptr<CallerHandler>> metrics;
    for (std::uint32_t i = 0; i < m_workers.size(); ++i)
        metrics.push_back(std::make_unique<MetricsHandler>([this] { return metricsText(); }));
    if (!listen(m_metrics, m_settings.metricsAddress, std::move(metrics))->open(reason))
        return false;
    if (!listen(m_callers, m_settings.callerAddress, std::move(callers))->open(reason) ||
        !listen(m_directory, m_settings.directoryAddress, std::move(directory))->open(reason) ||
        !listen(m_readiness, m_settings.readyAddress, std::move(readiness))->open(reason))
        return false;

    m_network.emplace(
            m_context, m_timers,
            [this] {
                return PeerHello{m_membership->self(), Cell, PeerPlane::Control};
            },
            [this](const std::string &peer, PeerMessage message) {
                onPeerMessage(peer, std::move(message));
            });
    m_membership.emplace(membershipConfig(m_settings), m_timers, *m_network, m_rollouts,
                         [this] { onMembersChanged(); });
    m_peers.emplace(
            m_context, m_workers, Cell,
            [this](std::shared_ptr<FrameConnection> connection, const PeerHello &hello) {
                m_network->adopt(std::move(connection), hello);
            },
            [](Worker &, const std::shared_ptr<FrameConnection> &connection) {
                connection->close();
            });
    if (!m_peers->open(m_settings.peerAddress, reason))
        return false;
    m_relay.emplace(m_settings.name, m_timers, *m_network,
                    FleetRelay::Callbacks{[this](const StoredObject &object, Duration age) {
                                              m_source->apply(object, age);
                                          },
                                          [this](bool isWatching, std::uint32_t substitutes) {
                                              m_source->setWatching(isWatching, substitutes);
                                          }});
    m_source = m_platform.makeFleetSource(m_context, m_timers, *m_relay, m_builder, m_rollouts,
                                          m_storeCalls);
    m_builder.setObserver([this] { onViewPublished(); });
    return true;
}

std::optional<CallerListener> &
GatewayDaemon::Impl::listen(std::optional<CallerListener> &listener, const std::string &address,
                            std::vector<std::unique_ptr<CallerHandler>> handlers)
{
    CallerListenerOptions options;
    options.address = address;
    listener.emplace(m_workers, std::move(handlers), options);
    return listener;
}

void GatewayDaemon::Impl::run()
{
    logEvent(LogLevel::Info, "started",
             {{"name", m_settings.name},
              {"zone", m_settings.zone},
              {"address", m_settings.callerAddress}});
    awaitSignal();
    for (const auto &worker : m_gatewayWorkers)
        worker->start([this](bool isBusy) {
            asio::post(m_context, [this, isBusy] { onWorkerBusy(isBusy); });
        });
    exportStateAge();
    m_timers.scheduleEvery(ExportInterval, [this] { exportStateAge(); });
    measureLoad(m_timers.now());
    m_relay->start();
    m_membership->start();
    m_workers.start();
    m_callers->start();
    m_directory->start();
    m_readiness->start();
    m_metrics->start();
    runEvents(m_context);
    m_workers.stop();
    logEvent(LogLevel::Info, "stopped");
}

void GatewayDaemon::Impl::awaitSignal()
{
    m_signals.async_wait([this](const boost::system::error_code &error, int signal) {
        if (error)
            return;
        awaitSignal();
        if (signal == SIGHUP)
            // Only logged: none of the settings can change at run time.
            logEvent(LogLevel::Info, "reloadRequested");
        else if (m_isStopping)
            endRun();
        else
            beginStop();
    });
}

void GatewayDaemon::Impl::onViewPublished()
{
    for (const auto &worker : m_gatewayWorkers)
        worker->postViewChanged();
    const ServingViewPin view = m_views.pin();
    if (listingLimits(*view) != m_listingLimits)
        onMembersChanged();
    if (m_isReadyScheduled || !m_builder.hasRoutes() || !m_builder.hasSearchers())
        return;
    m_isReadyScheduled = true;
    m_timers.schedule(ConnectionLeadTime, [this] { announceReady(); });
    m_timers.schedule(ConnectionLeadTime, [this] { becomeReady(); });
}

void GatewayDaemon::Impl::announceReady()
{
    if (m_isStopping)
        return;
    logEvent(LogLevel::Info, "ready");
    m_membership->announceAddress(m_settings.callerAddress);
    applyMembers();
}

void GatewayDaemon::Impl::becomeReady()
{
    // Callers may query the directory as soon as they find this daemon ready, so the view with its
    // address is published first.
    m_timers.schedule(Duration::zero(), [this] { m_role.isReady = !m_isStopping; });
}

std::string GatewayDaemon::Impl::metricsText() const
{
    GatewayHealth health;
    for (const auto &worker : m_gatewayWorkers)
        worker->addLinks(health.links, health.linkCounts);
    health.stateAge = Duration(m_stateAge.load(std::memory_order_relaxed));
    health.stateDifferenceAge = Duration(m_stateDifferenceAge.load(std::memory_order_relaxed));
    health.refusedObjects = m_refusedObjects.load(std::memory_order_relaxed);
    return m_stats.prometheusText() +
           gatewayGauges(*m_views.pin(), health, m_storeCalls, m_timers.now());
}

void GatewayDaemon::Impl::exportStateAge()
{
    m_stateAge.store(m_relay->stateAge().count(), std::memory_order_relaxed);
    m_stateDifferenceAge.store(m_relay->differenceAge().count(), std::memory_order_relaxed);
    m_refusedObjects.store(m_relay->refusedObjects(), std::memory_order_relaxed);
}

void GatewayDaemon::Impl::onWorkerBusy(bool isBusy)
{
    m_busyWorkers += isBusy ? 1 : -1;
    logEvent(LogLevel::Info, isBusy ? "workerBusy" : "workerIdle", {{"busy", m_busyWorkers}});
    m_membership->announceBusy(m_busyWorkers > 0);
}

void GatewayDaemon::Impl::measureLoad(TimePoint lastMeasured)
{
    const TimePoint now = m_timers.now();
    m_timers.schedule(LoadInterval, [this, now] { measureLoad(now); });
    if (const auto load = m_load.update(m_stats.value(Counter::SubRequests), now - lastMeasured)) {
        m_membership->announceLoad(*load);
        onMembersChanged();
    }
}

void GatewayDaemon::Impl::onMembersChanged()
{
    if (!std::exchange(m_isMembersUpdateScheduled, true))
        m_timers.schedule(MembersInterval, [this] { applyMembers(); });
}

void GatewayDaemon::Impl::applyMembers()
{
    m_isMembersUpdateScheduled = false;
    const std::vector<Member> members = m_membership->members();
    m_relay->setMembers(members);
    const auto present = std::count_if(members.begin(), members.end(), [](const Member &member) {
        return isPresent(member.state);
    });
    m_listingLimits = listingLimits(*m_views.pin());
    // members() lists this daemon first.
    m_role.isCandidate = wouldBeListed(members, 0, m_listingLimits);
    std::vector<EntryAddress> entries = selectEntries(members, m_listingLimits);
    if (std::exchange(m_listed, entries.size()) != entries.size())
        logEvent(LogLevel::Info, "listedDaemonsChanged",
                 {{"listed", m_listed},
                  {"members", present},
                  {"load", totalLoad(members)},
                  {"searchers", m_listingLimits.searchers},
                  {"maxListed", m_listingLimits.maxListed}});
    const AllowancePart retries = allowancePart(members, entries);
    m_builder.setEntries(std::move(entries), static_cast<std::uint32_t>(present), retries);
}

AllowancePart GatewayDaemon::Impl::allowancePart(std::vector<Member> members,
                                                 const std::vector<EntryAddress> &entries) const
{
    for (Member &member : members)
        member.isBusy = false;
    const std::vector<EntryAddress> planned = selectEntries(members, m_listingLimits);
    const auto index = std::ranges::count_if(planned, [this](const EntryAddress &entry) {
        return entry.address < m_settings.callerAddress;
    });
    const bool isListed = std::ranges::any_of(entries, [this](const EntryAddress &entry) {
        return entry.address == m_settings.callerAddress;
    });
    return {static_cast<std::uint32_t>(std::max(planned.size(), entries.size())),
            isListed || m_role.isCandidate, static_cast<std::uint32_t>(index)};
}

void GatewayDaemon::Impl::onPeerMessage(const std::string &peer, PeerMessage message)
{
    if (const auto *hello = std::get_if<PeerHello>(&message))
        m_membership->onHello(*hello);
    else if (const auto *ping = std::get_if<PeerPing>(&message))
        m_membership->onPing(peer, *ping);
    else if (const auto *ack = std::get_if<PeerAck>(&message))
        m_membership->onAck(peer, *ack);
    else if (const auto *request = std::get_if<PeerPingRequest>(&message))
        m_membership->onPingRequest(peer, *request);
    else if (const auto *heartbeat = std::get_if<PeerStateHeartbeat>(&message))
        m_relay->onStateHeartbeat(peer, *heartbeat);
    else if (const auto *pull = std::get_if<PeerObjectPull>(&message))
        m_relay->onPull(peer, *pull);
    else if (const auto *push = std::get_if<PeerObjectPush>(&message))
        m_relay->onPush(peer, *push);
    else
        logEvent(LogLevel::Warn, "peerMessageIgnored", {{"peer", peer}});
}

void GatewayDaemon::Impl::beginStop()
{
    m_isStopping = true;
    m_role.isReady = false;
    const TimePoint latestEnd = m_timers.now() + m_settings.stopGrace - StopReserve;
    const TimePoint requestsEnd = latestEnd - AnswerReserve;
    // All steps of the stop are scheduled first, so that none is missed if one of them throws.
    m_timers.schedule(requestsEnd - m_timers.now(), [this] {
        for (const auto &worker : m_gatewayWorkers)
            worker->postEndOfRequests();
    });
    m_timers.schedule(AcceptWhileLeaving, [this] { drainCallers(); });
    m_timers.schedule(AcceptWhileLeaving, [this, latestEnd] { awaitLastCall(latestEnd); });
    logEvent(LogLevel::Info, "leaving", {{"running", runningCalls()}});
    m_membership->announceLeaving();
    m_builder.setLeaving(requestsEnd);
}

void GatewayDaemon::Impl::drainCallers()
{
    m_callers->drain();
    m_directory->drain();
    m_readiness->drain();
    m_metrics->drain();
}

std::uint32_t GatewayDaemon::Impl::runningCalls() const
{
    std::uint32_t running = 0;
    for (const auto &worker : m_gatewayWorkers)
        running += worker->gateway().running();
    return running;
}

void GatewayDaemon::Impl::awaitLastCall(TimePoint latestEnd)
{
    const bool isIdle = runningCalls() == 0 && m_callers->openConnections() == 0;
    if (!isIdle && m_timers.now() < latestEnd) {
        m_timers.schedule(StopPollInterval, [this, latestEnd] { awaitLastCall(latestEnd); });
        return;
    }
    // announceLeft() queues a message to the peers; the next iterations of the event loop send it.
    m_timers.schedule(StopPollInterval, [this] { endRun(); });
    if (!isIdle)
        logEvent(LogLevel::Warn, "stoppedWithWork",
                 {{"running", runningCalls()}, {"connections", m_callers->openConnections()}});
    m_membership->announceLeft();
}

void GatewayDaemon::Impl::endRun()
{
    m_context.stop();
}

GatewayDaemon::GatewayDaemon(GatewaySettings settings, GatewayPlatform &platform)
    : m_impl(std::make_unique<Impl>(std::move(settings), platform))
{
}

GatewayDaemon::~GatewayDaemon() = default;

bool GatewayDaemon::open(std::string &reason)
{
    return m_impl->open(reason);
}

void GatewayDaemon::run()
{
    m_impl->run();
}

} // namespace geraniumcart
