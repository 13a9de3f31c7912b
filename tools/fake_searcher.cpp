#include "fake_searcher.h"
#include "fake_searcher_port.h"

#include "process/worker_pool_p.h"

#include <algorithm>
#include <atomic>
#include <future>

namespace geraniumcart::tools {

namespace {

template <typename T>
bool matches(const std::vector<T> &wanted, const T &value)
{
    return wanted.empty() || std::ranges::find(wanted, value) != wanted.end();
}

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
    // Shards shift the zone, so that a service with fewer replicas than zones uses all zones.
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
    struct Place
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

    bool open(const ServiceConfig &service, std::uint32_t &number, std::string &reason);
    /// Runs @p task on the worker of each place and waits for all.
    void runOnWorkers(const std::function<void(std::size_t)> &task);
    std::vector<std::size_t> choose(const SearcherSelector &select,
                                    const std::vector<std::string> &versions) const;
    void applyToCatalog(const ControlCommand &command);

    FleetConfig config;
    WorkerPool workers;
    std::mt19937_64 random;
    std::vector<Place> places;
    bool isRunning = false;
};

namespace {

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

bool FakeSearcherFleet::Impl::open(const ServiceConfig &service, std::uint32_t &number,
                                   std::string &reason)
{
    for (std::uint32_t shard = 0; shard < service.shards; ++shard) {
        for (std::uint32_t i = 0; i < service.replicas; ++i, ++number) {
            if (number % config.parts != config.part)
                continue;
            const std::uint32_t replica = service.firstReplica + i;
            Place place;
            place.worker =
                    &workers.worker(static_cast<std::uint32_t>(places.size()) % workers.size());
            place.replica = replica;
            SearcherModelConfig model = modelConfig(service, shard, replica);
            place.entry.service = service.name;
            place.entry.zone = model.zone;
            place.entry.shard = shard;
            place.entry.backEndVersion = model.backEndVersion;
            place.entry.instance = service.name + "-" + model.zone + "-" + std::to_string(replica) +
                                   "-" + std::to_string(shard / service.searchersPerInstance);
            place.port = std::make_unique<FakeSearcherPort>(*place.worker, std::move(model),
                                                            config.seed * 1'000'003 + number);
            const auto tcpPort = static_cast<std::uint16_t>(
                    service.basePort == 0 ? 0 : service.basePort + shard * service.replicas + i);
            if (!place.port->open(config.bindIp, tcpPort, reason))
                return false;
            place.entry.address = place.port->address();
            places.push_back(std::move(place));
        }
    }
    return true;
}

void FakeSearcherFleet::Impl::runOnWorkers(const std::function<void(std::size_t)> &task)
{
    if (places.empty())
        return;
    std::promise<void> finished;
    std::atomic<std::uint32_t> pending{workers.size()};
    for (std::uint32_t i = 0; i < workers.size(); ++i) {
        Worker &worker = workers.worker(i);
        boost::asio::post(worker.context, [&, self = &worker] {
            for (std::size_t place = 0; place < places.size(); ++place)
                if (places[place].worker == self)
                    task(place);
            if (pending.fetch_sub(1) == 1)
                finished.set_value();
        });
    }
    finished.get_future().wait();
}

std::vector<std::size_t>
FakeSearcherFleet::Impl::choose(const SearcherSelector &select,
                                const std::vector<std::string> &versions) const
{
    std::vector<std::size_t> chosen;
    for (std::size_t i = 0; i < places.size(); ++i) {
        const Place &place = places[i];
        if (matches(select.services, place.entry.service) &&
            matches(select.zones, place.entry.zone) && matches(select.versions, versions[i]) &&
            matches(select.addresses, place.entry.address) &&
            matches(select.shards, place.entry.shard) && matches(select.replicas, place.replica))
            chosen.push_back(i);
    }
    if (select.count == 0 || chosen.size() <= select.count)
        return chosen;
    std::vector<std::size_t> spread;
    for (std::size_t i = 0; i < select.count; ++i)
        spread.push_back(chosen[i * chosen.size() / select.count]);
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
    std::uint32_t number = 0;
    for (const ServiceConfig &service : m_impl->config.services)
        if (!m_impl->open(service, number, reason))
            return false;
    m_impl->workers.start();
    m_impl->isRunning = true;
    return true;
}

void FakeSearcherFleet::stop()
{
    if (!m_impl->isRunning)
        return;
    m_impl->runOnWorkers([this](std::size_t place) { m_impl->places[place].port->close(); });
    m_impl->workers.stop();
    m_impl->isRunning = false;
}

std::vector<SearcherEntry> FakeSearcherFleet::entries() const
{
    std::vector<SearcherEntry> entries;
    for (const Impl::Place &place : m_impl->places)
        entries.push_back(place.entry);
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
    std::vector<std::string> versions(m_impl->places.size());
    if (!command.select.versions.empty())
        m_impl->runOnWorkers([&](std::size_t place) {
            versions[place] = m_impl->places[place].port->model().config().backEndVersion;
        });
    const std::vector<std::size_t> chosen = m_impl->choose(command.select, versions);

    std::vector<std::optional<Duration>> delays(m_impl->places.size());
    std::uniform_real_distribution<double> part(0, 1);
    for (const std::size_t place : chosen)
        delays[place] =
                command.after + std::chrono::round<Duration>(command.spread * part(m_impl->random));
    m_impl->applyToCatalog(command);
    m_impl->runOnWorkers([&](std::size_t index) {
        if (!delays[index])
            return;
        Impl::Place &place = m_impl->places[index];
        if (*delays[index] <= Duration::zero())
            applyCommand(*place.port, command);
        else
            place.worker->timers.schedule(*delays[index], [port = place.port.get(), command] {
                applyCommand(*port, command);
            });
    });
    return chosen.size();
}

FleetStatus FakeSearcherFleet::status() const
{
    FleetStatus status;
    status.searchers.resize(m_impl->places.size());
    m_impl->runOnWorkers([&](std::size_t index) {
        const Impl::Place &place = m_impl->places[index];
        SearcherModel &model = place.port->model();
        SearcherStatus &searcher = status.searchers[index];
        searcher.entry = place.entry;
        searcher.entry.backEndVersion = model.config().backEndVersion;
        if (model.faults().isDraining)
            searcher.entry.state = HostState::Leaving;
        searcher.replica = place.replica;
        searcher.isListening = place.port->isOpen();
        searcher.report = model.report();
        searcher.counters = model.counters();
        searcher.startsByVersion = model.startsByVersion();
        searcher.bookings = model.bookings();
    });
    return status;
}

} // namespace geraniumcart::tools
