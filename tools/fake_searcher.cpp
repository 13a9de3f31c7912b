#include "fake_searcher.h"
#include "fake_searcher_port.h"

#include "process/worker_pool_p.h"

#include <algorithm>
#include <atomic>
#include <future>

namespace geraniumcart::tools {

namespace {

template <typename T>
bool matches(const std::vector<T> &accepted, const T &value)
{
    return accepted.empty() || std::ranges::find(accepted, value) != accepted.end();
}

/// @return the number of documents of the shard, by index version
std::map<std::uint64_t, std::uint64_t> documentsOf(const ServiceConfig &service,
                                                   std::uint32_t shard)
{
    std::map<std::uint64_t, std::uint64_t> documents;
    for (const IndexVersionConfig &version : service.indexVersions)
        if (version.shards == 0 || shard < version.shards)
            documents[version.version] = version.documentsPerShard;
    return documents;
}

SearcherModelConfig modelConfig(const ServiceConfig &service, std::uint32_t shard,
                                std::uint32_t replica)
{
    SearcherModelConfig config;
    config.service = service.name;
    // The shard number shifts the zone, so that a service with fewer replicas than zones uses all
    // zones.
    config.zone = service.zones[(replica + shard) % service.zones.size()];
    config.backEndVersion = service.backEndVersions[replica % service.backEndVersions.size()];
    config.shard = shard;
    config.replica = replica;
    config.limits = service.limits;
    config.serviceTime = service.serviceTime;
    config.coldOverload = service.coldOverload;
    config.queueLength = service.queueLength;
    config.loadLag = service.loadLag;
    config.startsWarm = service.startsWarm;
    config.documents = documentsOf(service, shard);
    return config;
}

} // namespace

struct FakeSearcherFleet::Impl
{
    /// One searcher and the worker that runs it.
    struct HostedSearcher
    {
        Worker *worker = nullptr;
        std::unique_ptr<FakeSearcherPort> port;
        SearcherEntry entry;
        std::uint32_t replica = 0;
    };

    explicit Impl(FleetConfig fleetConfig)
        : config(std::move(fleetConfig))
        , workers(std::max(1U, config.threads))
        , random(config.seed)
    {
    }

    /// Opens the service's searchers that this process runs. @param searcherNumber number of the
    /// next searcher over all processes, incremented for each one. @return false with @p reason on
    /// failure
    bool openService(const ServiceConfig &service, std::uint32_t &searcherNumber,
                     std::string &reason);
    /// Runs @p task with the index of each searcher, on the worker of that searcher, and blocks
    /// until all workers have finished.
    void runOnWorkers(const std::function<void(std::size_t)> &task);
    /// @param versions current back-end version of each searcher
    /// @return indices of the selected searchers
    std::vector<std::size_t> selectSearchers(const SearcherSelector &select,
                                             const std::vector<std::string> &versions) const;
    /// Adds and drops index versions of the configuration, from which the catalogs are made.
    void applyToCatalog(const ControlCommand &command);

    FleetConfig config;
    WorkerPool workers;
    std::mt19937_64 random;
    std::vector<HostedSearcher> hostedSearchers;
    bool isRunning = false;
};

namespace {

/// Runs on the searcher's worker.
void applyCommand(FakeSearcherPort &port, const ControlCommand &command)
{
    SearcherModel &model = port.model();
    if (command.clearsFaults)
        model.faults() = {};
    if (command.changeFaults)
        command.changeFaults(model.faults());
    if (command.backEndVersion)
        model.setBackEndVersion(*command.backEndVersion);
    if (command.addIndexVersion) {
        const IndexVersionConfig &version = *command.addIndexVersion;
        if (version.shards == 0 || model.config().shard < version.shards)
            model.addIndexVersion(version.version, version.documentsPerShard);
    }
    for (const SearcherAction action : command.actions) {
        switch (action) {
        case SearcherAction::Stop:
            port.close();
            break;
        case SearcherAction::Start:
            port.reopen();
            break;
        case SearcherAction::Cold:
            model.becomeCold();
            break;
        case SearcherAction::SilenceOpenConnections:
            port.silenceOpenConnections();
            break;
        case SearcherAction::CloseConnections:
            port.closeConnections();
            break;
        case SearcherAction::DropOldestIndexVersion:
            model.dropOldestIndexVersion();
            break;
        case SearcherAction::ResetCounters:
            model.resetCounters();
            break;
        }
    }
}

} // namespace

bool FakeSearcherFleet::Impl::openService(const ServiceConfig &service,
                                          std::uint32_t &searcherNumber, std::string &reason)
{
    for (std::uint32_t shard = 0; shard < service.shards; ++shard) {
        for (std::uint32_t i = 0; i < service.replicas; ++i, ++searcherNumber) {
            if (searcherNumber % config.parts != config.part)
                continue;
            const std::uint32_t replica = service.firstReplica + i;
            HostedSearcher hosted;
            hosted.worker = &workers.worker(static_cast<std::uint32_t>(hostedSearchers.size()) %
                                            workers.size());
            hosted.replica = replica;
            SearcherModelConfig model = modelConfig(service, shard, replica);
            hosted.entry.service = service.name;
            hosted.entry.zone = model.zone;
            hosted.entry.shard = shard;
            hosted.entry.backEndVersion = model.backEndVersion;
            hosted.entry.instance = service.name + "-" + model.zone + "-" +
                                    std::to_string(replica) + "-" +
                                    std::to_string(shard / service.searchersPerInstance);
            hosted.port = std::make_unique<FakeSearcherPort>(
                    *hosted.worker, std::move(model), config.seed * 1'000'003 + searcherNumber);
            const auto tcpPort = static_cast<std::uint16_t>(
                    service.basePort == 0 ? 0 : service.basePort + shard * service.replicas + i);
            if (!hosted.port->open(config.bindIp, tcpPort, reason))
                return false;
            hosted.entry.address = hosted.port->address();
            hostedSearchers.push_back(std::move(hosted));
        }
    }
    return true;
}

void FakeSearcherFleet::Impl::runOnWorkers(const std::function<void(std::size_t)> &task)
{
    if (hostedSearchers.empty())
        return;
    std::promise<void> finished;
    std::atomic<std::uint32_t> pending{workers.size()};
    for (std::uint32_t i = 0; i < workers.size(); ++i) {
        Worker &worker = workers.worker(i);
        boost::asio::post(worker.context, [&, self = &worker] {
            for (std::size_t index = 0; index < hostedSearchers.size(); ++index)
                if (hostedSearchers[index].worker == self)
                    task(index);
            if (pending.fetch_sub(1) == 1)
                finished.set_value();
        });
    }
    finished.get_future().wait();
}

std::vector<std::size_t>
FakeSearcherFleet::Impl::selectSearchers(const SearcherSelector &select,
                                         const std::vector<std::string> &versions) const
{
    std::vector<std::size_t> selected;
    for (std::size_t i = 0; i < hostedSearchers.size(); ++i) {
        const HostedSearcher &hosted = hostedSearchers[i];
        if (matches(select.services, hosted.entry.service) &&
            matches(select.zones, hosted.entry.zone) && matches(select.versions, versions[i]) &&
            matches(select.addresses, hosted.entry.address) &&
            matches(select.shards, hosted.entry.shard) && matches(select.replicas, hosted.replica))
            selected.push_back(i);
    }
    if (select.count == 0 || selected.size() <= select.count)
        return selected;
    std::vector<std::size_t> spread;
    for (std::size_t i = 0; i < select.count; ++i)
        spread.push_back(selected[i * selected.size() / select.count]);
    return spread;
}

void FakeSearcherFleet::Impl::applyToCatalog(const ControlCommand &command)
{
    const bool drops = std::ranges::find(command.actions, SearcherAction::DropOldestIndexVersion) !=
                       command.actions.end();
    for (ServiceConfig &service : config.services) {
        if (!matches(command.select.services, service.name))
            continue;
        std::vector<IndexVersionConfig> &versions = service.indexVersions;
        if (command.addIndexVersion)
            versions.push_back(*command.addIndexVersion);
        std::ranges::sort(versions, {}, &IndexVersionConfig::version);
        if (drops && versions.size() > 1)
            versions.erase(versions.begin());
    }
}

FakeSearcherFleet::FakeSearcherFleet(FleetConfig config)
    : m_impl(std::make_unique<Impl>(std::move(config)))
{
}

FakeSearcherFleet::~FakeSearcherFleet()
{
    stop();
}

bool FakeSearcherFleet::start(std::string &reason)
{
    std::uint32_t searcherNumber = 0;
    for (const ServiceConfig &service : m_impl->config.services)
        if (!m_impl->openService(service, searcherNumber, reason))
            return false;
    m_impl->workers.start();
    m_impl->isRunning = true;
    return true;
}

void FakeSearcherFleet::stop()
{
    if (!m_impl->isRunning)
        return;
    m_impl->runOnWorkers(
            [this](std::size_t index) { m_impl->hostedSearchers[index].port->close(); });
    m_impl->workers.stop();
    m_impl->isRunning = false;
}

std::vector<SearcherEntry> FakeSearcherFleet::entries() const
{
    std::vector<SearcherEntry> entries;
    for (const Impl::HostedSearcher &hosted : m_impl->hostedSearchers)
        entries.push_back(hosted.entry);
    return entries;
}

std::vector<ServiceCatalog> FakeSearcherFleet::catalogs() const
{
    std::vector<ServiceCatalog> catalogs;
    for (const ServiceConfig &service : m_impl->config.services) {
        if (std::ranges::find(catalogs, service.name, &ServiceCatalog::service) != catalogs.end())
            continue;
        ServiceCatalog catalog{service.name, service.limits, {}};
        for (const IndexVersionConfig &version : service.indexVersions)
            catalog.indexVersions.push_back(
                    {version.version, std::vector<std::uint64_t>(
                                              version.shards == 0 ? service.shards : version.shards,
                                              version.documentsPerShard)});
        std::ranges::sort(catalog.indexVersions, std::ranges::greater{},
                          &PartitionMap::indexVersion);
        catalogs.push_back(std::move(catalog));
    }
    return catalogs;
}

std::size_t FakeSearcherFleet::control(const ControlCommand &command)
{
    std::vector<std::string> versions(m_impl->hostedSearchers.size());
    if (!command.select.versions.empty())
        m_impl->runOnWorkers([&](std::size_t index) {
            versions[index] = m_impl->hostedSearchers[index].port->model().config().backEndVersion;
        });
    const std::vector<std::size_t> selected = m_impl->selectSearchers(command.select, versions);

    std::vector<std::optional<Duration>> delays(m_impl->hostedSearchers.size());
    std::uniform_real_distribution<double> fraction(0, 1);
    for (const std::size_t index : selected)
        delays[index] = command.after +
                        std::chrono::round<Duration>(command.spread * fraction(m_impl->random));
    m_impl->applyToCatalog(command);
    m_impl->runOnWorkers([&](std::size_t index) {
        if (!delays[index])
            return;
        Impl::HostedSearcher &hosted = m_impl->hostedSearchers[index];
        if (*delays[index] <= Duration::zero())
            applyCommand(*hosted.port, command);
        else
            hosted.worker->timers.schedule(*delays[index], [port = hosted.port.get(), command] {
                applyCommand(*port, command);
            });
    });
    return selected.size();
}

FleetStatus FakeSearcherFleet::status() const
{
    FleetStatus status;
    status.searchers.resize(m_impl->hostedSearchers.size());
    m_impl->runOnWorkers([&](std::size_t index) {
        const Impl::HostedSearcher &hosted = m_impl->hostedSearchers[index];
        SearcherModel &model = hosted.port->model();
        SearcherStatus &searcher = status.searchers[index];
        searcher.entry = hosted.entry;
        searcher.entry.backEndVersion = model.config().backEndVersion;
        if (model.faults().isDraining)
            searcher.entry.state = HostState::Leaving;
        searcher.replica = hosted.replica;
        searcher.isListening = hosted.port->isOpen();
        searcher.report = model.report();
        searcher.counters = model.counters();
        searcher.startsByVersion = model.startsByVersion();
        searcher.bookings = model.bookings();
    });
    return status;
}

} // namespace geraniumcart::tools
