// Randomized soak test: runs real gateway processes between a fake store and fake searchers and
// injects faults from outside. GuaranteeChecker checks what callers and searchers observe.
// Exits with 1 if a guarantee was violated, and prints the seed. It sends signals only to the
// processes that it started, by process id.

#include "gateway_process.h"
#include "guarantee_checker.h"
#include "soak_fleet.h"
#include "soak_searcher.h"
#include "support/loopback.h"
#include "support/platform_standins.h"

#include "connection/endpoint_p.h"
#include "connection/http_client_p.h"
#include "process/asio_timer_service_p.h"

#include <cxxopts.hpp>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <random>
#include <set>
#include <sys/wait.h>

using namespace geraniumcart;
using namespace geraniumcart::test;
using namespace geraniumcart::soak;
using namespace std::chrono_literals;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

constexpr int ReplicasPerShard = 2;
constexpr int DeskSearchers = 3;
constexpr std::chrono::milliseconds RequestInterval{12};
/// Longer than the deadline of every request.
constexpr std::chrono::milliseconds ClientTimeout{3000};
constexpr std::chrono::seconds StopGrace{6};

struct Options
{
    std::uint64_t seed = 1;
    std::chrono::seconds duration{20};
    int gateways = 3;
    std::string program;
    std::filesystem::path folder;
};

/// Runs one seed. Everything except the gateway processes runs on the thread that calls run().
class Soak final : public RunObserver
{
public:
    explicit Soak(Options options)
        : m_options(std::move(options))
        , m_host(loopbackHost(m_options.seed, 1))
        , m_random(m_options.seed)
        , m_guarantees(m_options.seed, Shards)
    {
        m_store.put("config", "main", configuration(m_host));
        for (int i = 0; i < DeskSearchers; ++i)
            addSearcher("desk", "desk-" + std::to_string(i));
        for (int shard = 0; shard < Shards; ++shard)
            for (int i = 0; i < ReplicasPerShard; ++i)
                addSearcher("shard" + std::to_string(shard),
                            "s" + std::to_string(shard) + "-" + std::to_string(i));
        for (int i = 0; i < m_options.gateways; ++i)
            addGateway(i);
        for (const auto &gateway : m_gateways)
            writeSettings(*gateway);
        for (const auto &gateway : m_gateways)
            start(*gateway);
    }
    ~Soak() override
    {
        for (const auto &gateway : m_gateways)
            if (gateway->process > 0)
                ::kill(gateway->process, SIGKILL);
    }

    /// @return EXIT_SUCCESS if no guarantee was violated
    int run()
    {
        runFor(2500ms);
        m_isServing = true;
        send();
        injectFaults();
        runFor(m_options.duration);
        m_isServing = false;
        liftFaults();
        runFor(5s);
        checkRecovery();
        stopAll();
        std::cout << "seed " << m_options.seed << ": " << m_sent << " requests, "
                  << m_guarantees.answered() << " served, " << m_guarantees.refused()
                  << " refused, " << m_faults << " faults, "
                  << (m_guarantees.firstViolation().empty()
                              ? "no violations"
                              : "VIOLATED: " + m_guarantees.firstViolation())
                  << '\n';
        return m_guarantees.firstViolation().empty() ? EXIT_SUCCESS : EXIT_FAILURE;
    }

    void onArrival(const SoakSearcher &searcher, const std::string &id) override
    {
        m_guarantees.onArrival(searcher, id, m_timers.now());
    }
    void onPause(const SoakSearcher &searcher, const std::string &id) override
    {
        m_guarantees.onPause(searcher, id, m_timers.now());
    }
    void onRun(const SoakSearcher &searcher, const std::string &id, bool isAtMostOnce) override
    {
        m_guarantees.onRun(searcher, id, isAtMostOnce, m_timers.now(), m_lastDisturbance);
    }

private:
    void addSearcher(const std::string &service, const std::string &id)
    {
        m_searchers.push_back(
                std::make_unique<SoakSearcher>(m_context, *this, service, id, m_random()));
        m_store.put("servers", id, m_searchers.back()->entry("ready"));
    }

    std::string freeAddress()
    {
        // The used ports are kept, so that no two processes of this run get the same one.
        static std::set<std::uint16_t> usedPorts;
        while (true) {
            const RawServer::Tcp::acceptor acceptor(m_context,
                                                    {boost::asio::ip::make_address(m_host), 0});
            const std::uint16_t port = acceptor.local_endpoint().port();
            if (usedPorts.insert(port).second)
                return m_host + ":" + std::to_string(port);
        }
    }

    void addGateway(int index)
    {
        auto gateway = std::make_unique<Gateway>(m_context, *parseEndpoint(m_store.address()));
        gateway->name = "d" + std::to_string(index);
        gateway->callerAddress = freeAddress();
        m_peers.push_back(json::value(freeAddress()));
        gateway->settingsFile = m_options.folder / (gateway->name + ".json");
        gateway->logFile = m_options.folder / (gateway->name + ".log");
        gateway->client =
                std::make_unique<HttpClient>(m_context, *parseEndpoint(gateway->callerAddress));
        m_gateways.push_back(std::move(gateway));
    }

    void writeSettings(const Gateway &gateway)
    {
        const std::size_t index = std::stoul(gateway.name.substr(1));
        json::object settings = commonSettings();
        settings["name"] = gateway.name;
        settings["callerAddress"] = gateway.callerAddress;
        settings["directoryAddress"] = freeAddress();
        settings["readyAddress"] = freeAddress();
        settings["metricsAddress"] = freeAddress();
        settings["peerAddress"] = m_peers[index];
        settings["storeAddress"] = gateway.storeProxy.address();
        settings["seeds"] = m_peers;
        settings["stopGraceSeconds"] = StopGrace.count();
        std::ofstream(gateway.settingsFile) << json::serialize(settings);
    }

    void start(Gateway &gateway)
    {
        gateway.process = startGateway(m_options.program, gateway.settingsFile, gateway.logFile);
        gateway.isStopping = gateway.isPaused = false;
        gateway.isUndisturbed = true;
    }

    // Requests

    /// Sends a request to a random gateway every RequestInterval while m_isServing.
    void send()
    {
        if (!m_isServing)
            return;
        const char *prefix = std::array{"/once/", "/many/", "/all/"}[pick(3)];
        request(*m_gateways[pick(m_gateways.size())], prefix);
        scheduleStep(RequestInterval, [this] { send(); });
    }

    void request(Gateway &gateway, const std::string &prefix)
    {
        const std::string id = "r" + std::to_string(++m_sent);
        m_guarantees.onSent(id, gateway.name, m_timers.now());
        HttpRequest request(http::verb::get, prefix + id, 11);
        request.set("Request-Id", id);
        request.set("Deadline-Ms", "2000");
        const bool isPlanned = gateway.isUndisturbed;
        gateway.client->send(
                std::move(request), ClientTimeout,
                [this, id, prefix, &gateway, isPlanned](HttpFailure failure,
                                                        const HttpResponse &response) {
                    if (failure == HttpFailure::None)
                        m_guarantees.onAnswer(id, prefix == "/all/", response, m_timers.now());
                    else if (failure == HttpFailure::ResponseLost && isPlanned &&
                             gateway.isUndisturbed && m_guarantees.hasRun(id))
                        m_guarantees.reportViolation("request " + id +
                                                     " lost its connection without a fault");
                });
    }

    // Faults

    /// Injects a random fault every 150 to 850 ms while m_isServing.
    void injectFaults()
    {
        if (!m_isServing)
            return;
        ++m_faults;
        injectFault();
        scheduleStep(std::chrono::milliseconds(150 + pick(700)), [this] { injectFaults(); });
    }

    void injectFault()
    {
        Gateway &gateway = *m_gateways[pick(m_gateways.size())];
        SoakSearcher &searcher = *m_searchers[pick(m_searchers.size())];
        const std::chrono::milliseconds time(300 + pick(2000));
        switch (pick(12)) {
        case 0:
            killAndRestart(gateway);
            return;
        case 1:
            stopAndRestart(gateway);
            return;
        case 2:
            pause(gateway, time);
            return;
        case 3:
            markDisturbed(gateway);
            gateway.storeProxy.silenceConnections();
            return;
        case 4:
            markDisturbed(gateway);
            gateway.storeProxy.dropsResponses = true;
            scheduleStep(time, [&gateway] { gateway.storeProxy.dropsResponses = false; });
            return;
        case 5:
            m_lastDisturbance = m_timers.now() + time;
            m_store.mode = pick(2) ? PlatformStore::Mode::Busy : PlatformStore::Mode::Silent;
            scheduleStep(time, [this] { m_store.mode = PlatformStore::Mode::Serving; });
            return;
        case 6:
            m_lastDisturbance = m_timers.now();
            m_store.discardHistory();
            return;
        case 7:
            searcher.proxy.resetConnections();
            return;
        case 8:
            searcher.proxy.silenceConnections();
            return;
        case 9:
            searcher.mode = static_cast<SoakSearcher::Mode>(pick(7));
            scheduleStep(time, [&searcher] { searcher.mode = SoakSearcher::Mode::Serving; });
            return;
        case 10:
            leave(searcher);
            return;
        default:
            drain(searcher);
            return;
        }
    }

    /// Suspends the guarantees that do not hold for a disturbed gateway.
    void markDisturbed(Gateway &gateway)
    {
        gateway.isUndisturbed = false;
        m_lastDisturbance = m_timers.now();
        m_guarantees.onGatewayDisturbed(gateway.name);
    }

    void killAndRestart(Gateway &gateway)
    {
        if (gateway.process == 0)
            return;
        markDisturbed(gateway);
        ::kill(gateway.process, SIGKILL);
        ::waitpid(gateway.process, nullptr, 0);
        gateway.process = 0;
        scheduleStep(300ms, [this, &gateway] { start(gateway); });
    }

    void stopAndRestart(Gateway &gateway)
    {
        if (gateway.process == 0 || gateway.isStopping || gateway.isPaused)
            return;
        gateway.isStopping = true;
        m_lastDisturbance = m_timers.now();
        m_guarantees.onGatewayDisturbed(gateway.name);
        ::kill(gateway.process, SIGTERM);
        awaitEnd(gateway, m_timers.now() + StopGrace);
    }

    /// Waits for a stopped process to exit, checks its exit status and time, and starts it again
    /// while m_isServing.
    void awaitEnd(Gateway &gateway, TimePoint end)
    {
        if (gateway.process == 0)
            return;
        int status = 0;
        if (::waitpid(gateway.process, &status, WNOHANG) == 0) {
            if (m_timers.now() > end && gateway.isUndisturbed)
                m_guarantees.reportViolation(gateway.name + " did not end within its grace period");
            scheduleStep(50ms, [this, &gateway, end] { awaitEnd(gateway, end); });
            return;
        }
        if (gateway.isUndisturbed && status != 0)
            m_guarantees.reportViolation(gateway.name + " ended with status " +
                                         std::to_string(status));
        gateway.process = 0;
        // The next process does not know what this one learned until its end.
        m_guarantees.onGatewayDisturbed(gateway.name);
        if (m_isServing)
            start(gateway);
    }

    void pause(Gateway &gateway, std::chrono::milliseconds time)
    {
        if (gateway.process == 0 || gateway.isPaused)
            return;
        markDisturbed(gateway);
        gateway.isPaused = true;
        const pid_t process = gateway.process;
        ::kill(process, SIGSTOP);
        scheduleStep(time, [this, &gateway, process] {
            if (gateway.process != process)
                return;
            ::kill(process, SIGCONT);
            gateway.isPaused = false;
            m_lastDisturbance = m_timers.now();
            m_guarantees.onGatewayDisturbed(gateway.name);
        });
    }

    /// Marks a searcher as draining in the store for five seconds.
    void drain(SoakSearcher &searcher)
    {
        if (searcher.drainingSince || m_store.mode != PlatformStore::Mode::Serving)
            return;
        searcher.drainingSince = m_timers.now();
        m_store.put("servers", searcher.id, searcher.entry("draining"));
        scheduleStep(5s, [this, &searcher] {
            searcher.drainingSince.reset();
            m_store.put("servers", searcher.id, searcher.entry("ready"));
        });
    }

    /// Lets a searcher announce its stop in its answers for longer than DrainBound, without a
    /// change of its entry in the store, and then start again.
    void leave(SoakSearcher &searcher)
    {
        if (searcher.isLeaving || searcher.drainingSince)
            return;
        searcher.isLeaving = true;
        scheduleStep(5s, [this, &searcher] {
            searcher.isLeaving = false;
            ++searcher.starts;
            m_guarantees.onSearcherRestarted(searcher.id);
            m_store.put("servers", searcher.id,
                        searcher.entry(searcher.drainingSince ? "draining" : "ready"));
        });
    }

    /// Ends the faults of the store and of the proxies between it and the gateways.
    void liftFaults()
    {
        m_store.mode = PlatformStore::Mode::Serving;
        for (const auto &gateway : m_gateways)
            gateway->storeProxy.dropsResponses = false;
    }

    // Recovery and shutdown

    /// Checks that at least nine of ten requests are served after the faults.
    void checkRecovery()
    {
        for (const auto &gateway : m_gateways) {
            if (gateway->process == 0)
                start(*gateway);
        }
        runFor(3s);
        const std::uint64_t before = m_guarantees.answered();
        constexpr int Checks = 30;
        for (int i = 0; i < Checks; ++i) {
            request(*m_gateways[pick(m_gateways.size())], "/all/");
            runFor(30ms);
        }
        runFor(1s);
        if (m_guarantees.answered() - before < Checks * 9 / 10)
            m_guarantees.reportViolation(
                    "only " + std::to_string(m_guarantees.answered() - before) + " of " +
                    std::to_string(Checks) + " requests were served after the faults");
    }

    /// Checks that every gateway stops within its grace period with status 0.
    void stopAll()
    {
        for (const auto &gateway : m_gateways) {
            gateway->isUndisturbed = true;
            if (gateway->process > 0 && !gateway->isStopping) {
                ::kill(gateway->process, SIGTERM);
                awaitEnd(*gateway, m_timers.now() + StopGrace);
            }
        }
        runFor(StopGrace + 500ms);
    }

    std::size_t pick(std::size_t count) { return m_random() % count; }
    void scheduleStep(Duration delay, std::function<void()> step)
    {
        m_timers.schedule(delay, std::move(step));
    }
    void runFor(Duration time)
    {
        m_context.restart();
        m_context.run_for(time);
    }

    const Options m_options;
    const std::string m_host;
    std::mt19937_64 m_random;
    GuaranteeChecker m_guarantees;
    boost::asio::io_context m_context;
    AsioTimerService m_timers{m_context};
    PlatformStore m_store{m_context};
    std::vector<std::unique_ptr<SoakSearcher>> m_searchers;
    std::vector<std::unique_ptr<Gateway>> m_gateways;
    json::array m_peers;
    TimePoint m_lastDisturbance{};
    bool m_isServing = false;
    std::uint64_t m_sent = 0;
    std::uint64_t m_faults = 0;
};

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options parser("geraniumcart-soak",
                            "Randomized soak test of gateway processes under faults");
    parser.add_options()("seed", "first seed", cxxopts::value<std::uint64_t>()->default_value("1"))(
            "seeds", "number of seeds", cxxopts::value<int>()->default_value("1"))(
            "seconds", "seconds with faults for each seed",
            cxxopts::value<int>()->default_value("20"))("gateways", "number of gateway processes",
                                                        cxxopts::value<int>()->default_value("3"))(
            "gateway", "path of the gateway program (required)",
            cxxopts::value<std::string>())("help", "print this text");
    const auto parsed = parser.parse(argc, argv);
    if (parsed.count("help") || !parsed.count("gateway")) {
        std::cout << parser.help();
        return parsed.count("help") ? EXIT_SUCCESS : EXIT_FAILURE;
    }
    int result = EXIT_SUCCESS;
    for (int i = 0; i < parsed["seeds"].as<int>(); ++i) {
        Options options;
        options.seed = parsed["seed"].as<std::uint64_t>() + static_cast<std::uint64_t>(i);
        options.duration = std::chrono::seconds(parsed["seconds"].as<int>());
        options.gateways = parsed["gateways"].as<int>();
        options.program = parsed["gateway"].as<std::string>();
        options.folder = std::filesystem::temp_directory_path() /
                         ("geraniumcart-soak-" + std::to_string(::getpid()) + "-" +
                          std::to_string(options.seed));
        std::filesystem::create_directories(options.folder);
        const int code = Soak(options).run();
        if (code == EXIT_SUCCESS)
            std::filesystem::remove_all(options.folder);
        else
            std::cout << "logs are in " << options.folder << '\n';
        result = std::max(result, code);
    }
    return result;
}
