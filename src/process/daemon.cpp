#include <geraniumcart/daemon.h>

#include "connection/caller_listener_p.h"
#include "connection/control_network_p.h"
#include "connection/direct_sender_p.h"
#include "connection/endpoint_p.h"
#include "connection/http_object_store_p.h"
#include "connection/owner_sender_p.h"
#include "connection/owner_server_p.h"
#include "connection/peer_listener_p.h"
#include "process/answer_counting_sender_p.h"
#include "process/control_p.h"
#include "process/event_loop_p.h"
#include "process/log_p.h"
#include "process/shared_admission_p.h"
#include "process/worker_pool_p.h"
#include "process/worker_run_factory_p.h"

#include <geraniumcart/booking.h>
#include <geraniumcart/config.h>
#include <geraniumcart/hedging.h>
#include <geraniumcart/invariants.h>
#include <geraniumcart/metrics.h>
#include <geraniumcart/search.h>
#include <geraniumcart/snapshot.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <map>
#include <random>

namespace geraniumcart {

namespace asio = boost::asio;

namespace {

/// Maximum number of unused attempts that an idle daemon saves up for hedges, and for retries.
constexpr std::uint32_t AttemptReserve = 200;
/// Interval at which a planned stop checks whether the last requests have ended.
constexpr std::chrono::milliseconds StopPollInterval{20};
/// Interval at which the counters of searcher connections are added to the metrics.
constexpr std::chrono::milliseconds ExportInterval{500};

} // namespace

/// Objects that the requests of one worker use. Belongs to the thread of the worker.
struct WorkerContext
{
    WorkerContext(Worker &ownWorker, const asio::ip::tcp::endpoint &storeEndpoint,
                  SubRequestSender &local, const Settings &settings,
                  const PeerLink::HelloSource &hello, AttemptBudget &hedges, AttemptBudget &retries,
                  Stats &stats)
        : worker(ownWorker)
        , store(worker.context, storeEndpoint)
        , claims(makeIdempotencyClaims(store, worker.timers))
        , choice(makeReplicaChoice(settings.choice, std::random_device{}()))
        , countingSender(worker.timers, local)
        , sender(worker.context, worker.timers, countingSender, hello)
        , runs({worker.timers, sender, *choice, *claims, hedges, retries, stats, settings.hedging})
    {
    }

    Worker &worker;
    HttpObjectStore store;
    std::unique_ptr<IdempotencyClaims> claims;
    std::unique_ptr<ReplicaChoice> choice;
    AnswerCountingSender countingSender;
    OwnerSender sender;
    WorkerRunFactory runs;
    std::unique_ptr<FrontEnd> frontEnd;
};

/// The parts of the daemon. Its members belong to the control thread, which calls Daemon::run(),
/// except for those of a worker, publishers and statistics. stop() is thread-safe.
struct Daemon::Impl final : public RoutingSink
{
    explicit Impl(Settings daemonSettings);
    ~Impl() override;

    bool open(std::string &reason);
    void run();
    void stop();
    /// Configures the connection pools of the searchers that this daemon sends to directly.
    void applyRouting(const RoutingSnapshot &snapshot, const UpstreamGate::Share &share) override;

private:
    ControlConfig controlConfig() const;
    /// Announces the stop and keeps serving for the drain time.
    void beginStop();
    /// Stops accepting connections and lets the open ones end.
    void drainCallers();
    /// Polls until the last request and connection of callers have ended, then ends run().
    void awaitLastCall();
    /// Adds the increase of the connection counters to the metrics, now and at each interval.
    void exportCounters();
    /// Number of open calls of all workers.
    std::uint32_t runningCalls() const;

    const Settings m_settings;
    asio::io_context m_context{1};
    asio::executor_work_guard<asio::io_context::executor_type> m_keepRunning;
    AsioTimerService m_timers{m_context};
    SnapshotPublisher m_snapshots;
    Stats m_stats;
    AttemptBudget m_hedgeBudget;
    AttemptBudget m_retryBudget;
    WorkerPool m_workers;
    UpstreamPools m_pools{m_workers};
    SharedAdmission m_admission;
    PeerHello m_hello;
    std::optional<HttpObjectStore> m_store;
    std::optional<ControlNetwork> m_network;
    std::optional<Control> m_control;
    std::optional<PeerListener> m_peerListener;
    std::vector<std::unique_ptr<WorkerContext>> m_workerContexts;
    std::optional<CallerListener> m_callers;
    /// Total of each counter that exportCounters() has added to the metrics so far.
    std::map<Counter, std::uint64_t> m_exported;
    bool m_isStopping = false;
};

Daemon::Impl::Impl(Settings daemonSettings)
    : m_settings(std::move(daemonSettings))
    , m_keepRunning(asio::make_work_guard(m_context))
    , m_hedgeBudget(m_settings.hedgeShare, AttemptReserve)
    , m_retryBudget(m_settings.retryShare, AttemptReserve)
    , m_workers(m_settings.workers)
    , m_admission(m_workers, m_snapshots, [kind = m_settings.admission](TimerService &timers) {
        return makeAdmissionPolicy(kind, timers);
    })
{
}

Daemon::Impl::~Impl()
{
    m_workers.stop();
}

bool Daemon::Impl::open(std::string &reason)
{
    m_peerListener.emplace(
            m_context, m_workers, m_settings.cell,
            [this](std::shared_ptr<FrameConnection> connection, const PeerHello &hello) {
                m_network->adopt(std::move(connection), hello);
            },
            [this](Worker &worker, std::shared_ptr<FrameConnection> connection) {
                std::make_shared<OwnerServer>(worker.context, worker.timers, m_snapshots,
                                              m_workerContexts[worker.index]->countingSender,
                                              std::move(connection))
                        ->start();
            });
    const auto peerAddress = m_peerListener->open(m_settings.peerListen, reason);
    const auto storeEndpoint = parseEndpoint(m_settings.store);
    if (!peerAddress || !storeEndpoint)
        return false;

    m_hello.self = {m_settings.name,   m_settings.zone, m_settings.listen, *peerAddress, 0,
                    MemberState::Alive};
    m_hello.cell = m_settings.cell;
    m_hello.plane = PeerPlane::Data;
    std::vector<FrontEnd *> frontEnds;
    for (std::uint32_t i = 0; i < m_workers.size(); ++i) {
        m_workerContexts.push_back(std::make_unique<WorkerContext>(
                m_workers.worker(i), *storeEndpoint, m_pools.sender(i), m_settings,
                [this] { return m_hello; }, m_hedgeBudget, m_retryBudget, m_stats));
        frontEnds.push_back(nullptr);
    }

    m_store.emplace(m_context, *storeEndpoint);
    m_network.emplace(
            m_context, m_timers, [this] { return m_control->hello(PeerPlane::Control); },
            [this](const std::string &peer, PeerMessage message) {
                m_control->onPeerMessage(peer, std::move(message));
            });
    m_control.emplace(ControlContext{m_timers, *m_store, *m_network, m_snapshots, *this},
                      controlConfig());
    for (std::uint32_t i = 0; i < m_workers.size(); ++i) {
        WorkerContext &workerContext = *m_workerContexts[i];
        workerContext.frontEnd = std::make_unique<FrontEnd>(
                FrontEndContext{workerContext.worker.timers, m_snapshots, workerContext.runs,
                                m_admission.directory(i), *m_control, m_stats});
        frontEnds[i] = workerContext.frontEnd.get();
    }
    CallerListenerOptions options;
    options.address = m_settings.listen;
    options.maxConnections = m_settings.maxConnections;
    options.backlog = m_settings.listenBacklog;
    m_callers.emplace(m_workers, frontEnds, options);
    if (!m_callers->open(reason))
        return false;
    m_control->setAddress(m_callers->address());
    return true;
}

ControlConfig Daemon::Impl::controlConfig() const
{
    ControlConfig config;
    config.self = m_hello.self;
    config.cell = m_settings.cell;
    config.seeds = m_settings.seeds;
    config.mode = m_settings.routing;
    return config;
}

void Daemon::Impl::run()
{
    logEvent(LogLevel::Info, "started",
             {{"name", m_settings.name},
              {"zone", m_settings.zone},
              {"address", m_callers->address()},
              {"peerAddress", m_hello.self.peerAddress}});
    m_control->start();
    exportCounters();
    m_timers.scheduleEvery(ExportInterval, [this] { exportCounters(); });
    m_workers.start();
    m_callers->start();
    runEvents(m_context);
    m_workers.stop();
    logEvent(LogLevel::Info, "stopped");
}

void Daemon::Impl::exportCounters()
{
    const UpstreamCounters &counters = m_pools.counters();
    const auto add = [this](Counter counter, const std::atomic<std::uint64_t> &value) {
        const std::uint64_t now = value.load(std::memory_order_relaxed);
        m_stats.add(counter, now - std::exchange(m_exported[counter], now));
    };
    add(Counter::ConnectionsOpened, counters.connectionsOpened);
    add(Counter::SilentConnections, counters.silentConnections);
    add(Counter::ColdStarts, counters.coldStarts);
}

void Daemon::Impl::stop()
{
    asio::post(m_context, [this] { beginStop(); });
}

void Daemon::Impl::beginStop()
{
    if (m_isStopping)
        return;
    m_isStopping = true;
    m_timers.schedule(m_settings.drain, [this] { drainCallers(); });
    m_control->beginLeaving();
}

void Daemon::Impl::drainCallers()
{
    // Requests that callers have already sent are still served; each connection closes after its
    // current answer.
    m_timers.schedule(Duration::zero(), [this] { awaitLastCall(); });
    m_callers->drain();
}

std::uint32_t Daemon::Impl::runningCalls() const
{
    std::uint32_t running = 0;
    for (const auto &part : m_workerContexts)
        running += part->frontEnd->running();
    return running;
}

void Daemon::Impl::awaitLastCall()
{
    if (runningCalls() > 0 || m_callers->openConnections() > 0) {
        m_timers.schedule(StopPollInterval, [this] { awaitLastCall(); });
        return;
    }
    // finishLeaving() queues a message to the peers; the next iterations of the event loop send it.
    m_timers.schedule(StopPollInterval, [this] { m_context.stop(); });
    checkInvariant(Invariant::GracefulStop, runningCalls() == 0,
                   "the daemon stops while requests are running");
    m_control->finishLeaving();
}

void Daemon::Impl::applyRouting(const RoutingSnapshot &snapshot, const UpstreamGate::Share &share)
{
    std::vector<UpstreamConfig> searchers;
    for (const auto &[name, service] : snapshot.services)
        for (const Searcher &searcher : service->searchers)
            if (searcher.owner.empty() && !snapshot.rules.isZoneOut(searcher.entry.zone))
                searchers.push_back({searcher.state, service->limits, share});
    m_pools.configure(std::move(searchers));
}

Daemon::Daemon(Settings settings)
    : m_impl(std::make_unique<Impl>(std::move(settings)))
{
}

Daemon::~Daemon() = default;

bool Daemon::open(std::string &reason)
{
    return m_impl->open(reason);
}

void Daemon::run()
{
    m_impl->run();
}

void Daemon::stop()
{
    m_impl->stop();
}

} // namespace geraniumcart
