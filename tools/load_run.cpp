#include "load_main.h"

#include "load_answer.h"
#include "load_client.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>

namespace geraniumcart::tools {

namespace asio = boost::asio;

namespace {

/// Time during which the first fetch of the entries is retried, so that the tool can be started at
/// the same time as the daemons.
constexpr std::chrono::seconds FirstEntriesTimeout{10};
/// Time between attempts to fetch the entries, and between the creation of the clients and the
/// start of the run.
constexpr std::chrono::milliseconds RetryPause{100};

/// One run of the load tool: one client on each worker thread, while the thread that calls run()
/// refreshes the entries and reads the searchers' counters.
class LoadRun
{
public:
    explicit LoadRun(const LoadOptions &options)
        : m_options(options)
        , m_source(options.targets.empty() ? makeEntriesSource(options.entries)
                                           : makeFixedSource(options.targets))
        , m_workers(std::max(1U, options.threads))
    {
    }

    std::optional<LoadReport> run(std::string &reason);

private:
    bool fetchFirstTargets(std::string &reason);
    void createClients();
    void scheduleRefresh(Duration delay);
    void refresh();
    void scheduleCounterRead(TimePoint start);
    void onClientDone();
    LoadReport makeReport();

    const LoadOptions &m_options;
    std::unique_ptr<TargetSource> m_source;
    WorkerPool m_workers;
    std::vector<std::unique_ptr<LoadClient>> m_clients;
    asio::io_context m_context{1};
    asio::steady_timer m_refreshTimer{m_context};
    asio::steady_timer m_counterTimer{m_context};
    LoadTargets m_targets;
    std::uint32_t m_clientsDone = 0;
    std::uint64_t m_entriesRefreshes = 0;
    std::uint64_t m_entriesFailures = 0;
    std::optional<std::uint64_t> m_searchesStartedBefore;
};

std::optional<LoadReport> LoadRun::run(std::string &reason)
{
    if (!fetchFirstTargets(reason))
        return std::nullopt;
    createClients();
    m_workers.start();
    const TimePoint start = std::chrono::steady_clock::now() + RetryPause;
    for (std::uint32_t i = 0; i < m_workers.size(); ++i)
        asio::post(m_workers.worker(i).context, [this, start, client = m_clients[i].get()] {
            client->start(start, [this] { asio::post(m_context, [this] { onClientDone(); }); });
        });
    scheduleRefresh(m_targets.validFor);
    scheduleCounterRead(start);
    m_context.run();
    m_workers.stop();
    return makeReport();
}

bool LoadRun::fetchFirstTargets(std::string &reason)
{
    const TimePoint deadline = std::chrono::steady_clock::now() + FirstEntriesTimeout;
    while (true) {
        if (const auto targets = m_source->fetch(reason)) {
            m_targets = *targets;
            ++m_entriesRefreshes;
            return true;
        }
        if (std::chrono::steady_clock::now() >= deadline)
            return false;
        asio::steady_timer(m_context, RetryPause).wait();
    }
}

void LoadRun::createClients()
{
    const std::uint32_t count = m_workers.size();
    const auto runNumber = std::chrono::system_clock::now().time_since_epoch().count();
    for (std::uint32_t i = 0; i < count; ++i) {
        LoadClientConfig config;
        config.service = m_options.service;
        config.arrivals = m_options.arrivals;
        config.arrivals.ratePerSecond /= count;
        config.duration = m_options.warmUp + m_options.duration;
        config.seed = m_options.seed * 1'000'003 + i;
        config.keyPrefix = std::to_string(m_options.seed) + "-" + std::to_string(runNumber) + "-" +
                           std::to_string(i) + "-";
        config.deadline = m_options.deadline;
        config.grace = m_options.grace;
        config.connections = std::max(1U, m_options.connections / count);
        config.sendsIdempotencyKey = m_options.sendsIdempotencyKey;
        m_clients.push_back(std::make_unique<LoadClient>(m_workers.worker(i), std::move(config)));
        m_clients.back()->setTargets(m_targets.targets);
    }
}

void LoadRun::scheduleRefresh(Duration delay)
{
    m_refreshTimer.expires_after(delay);
    m_refreshTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            refresh();
    });
}

void LoadRun::refresh()
{
    std::string reason;
    const auto targets = m_source->fetch(reason);
    if (!targets) {
        ++m_entriesFailures;
        scheduleRefresh(RetryPause);
        return;
    }
    ++m_entriesRefreshes;
    m_targets = *targets;
    for (std::uint32_t i = 0; i < m_workers.size(); ++i)
        asio::post(m_workers.worker(i).context,
                   [client = m_clients[i].get(), list = m_targets.targets] {
                       client->setTargets(list);
                   });
    scheduleRefresh(m_targets.validFor);
}

void LoadRun::scheduleCounterRead(TimePoint start)
{
    if (m_options.searcherControls.empty())
        return;
    m_counterTimer.expires_at(start + m_options.warmUp);
    m_counterTimer.async_wait([this](const boost::system::error_code &error) {
        std::string ignored;
        if (!error)
            m_searchesStartedBefore =
                    fetchSearchesStarted(m_options.searcherControls, m_options.service, ignored);
    });
}

void LoadRun::onClientDone()
{
    if (++m_clientsDone < m_workers.size())
        return;
    m_refreshTimer.cancel();
    m_counterTimer.cancel();
}

LoadReport LoadRun::makeReport()
{
    std::vector<LoadRecord> allRecords;
    Duration sendDelay{};
    for (const auto &client : m_clients) {
        allRecords.insert(allRecords.end(), client->records().begin(), client->records().end());
        sendDelay = std::max(sendDelay, client->largestSendDelay());
    }
    std::vector<LoadRecord> measuredRecords;
    for (const LoadRecord &record : allRecords) {
        if (record.intendedStart < m_options.warmUp)
            continue;
        measuredRecords.push_back(record);
        measuredRecords.back().intendedStart -= m_options.warmUp;
    }
    LoadReport report = summarizeLoad(measuredRecords, m_options.arrivals.classes);
    report.duration = m_options.duration;
    report.entriesRefreshes = m_entriesRefreshes;
    report.entriesFailures = m_entriesFailures;
    report.largestSendDelay = sendDelay;
    if (m_options.searcherControls.empty())
        return report;
    std::string ignored;
    const auto searchesStartedAfter =
            fetchSearchesStarted(m_options.searcherControls, m_options.service, ignored);
    if (searchesStartedAfter && m_searchesStartedBefore && report.shardsOfAnswered > 0)
        report.extraUpstreamLoad =
                static_cast<double>(*searchesStartedAfter - *m_searchesStartedBefore) /
                        static_cast<double>(report.shardsOfAnswered) -
                1;
    if (const auto runs = fetchBookingRuns(m_options.searcherControls, ignored))
        checkBookings(allRecords, *runs, report.bookings);
    return report;
}

} // namespace

std::optional<LoadReport> runLoad(const LoadOptions &options, std::string &reason)
{
    return LoadRun(options).run(reason);
}

} // namespace geraniumcart::tools
