// Case 13: searchers start again under the ids that they had, and are flooded while they are cold.
#include "../standins-3/searchers.hh"

using namespace review3;

namespace {

/// The searchers of the service are down in each of these rounds, for DownFor seconds.
constexpr double FirstRoundAt = 8;
constexpr double RoundEvery = 14;
constexpr int Rounds = 3;
constexpr double DownFor = 3;
constexpr double EndAt = FirstRoundAt + Rounds * RoundEvery;
/// Each client sends a request each ClientInterval seconds, all together 300 a second.
constexpr int Clients = 360;
constexpr double ClientInterval = 1.2;
constexpr double WarmUpSeconds = 3;
constexpr double WarmUpPerSecond = 5;
/// warmup_per_s x warmup_overrun + warmup_slack
constexpr double Bound = WarmUpPerSecond * 1.5 + 5;
/// A cold searcher crashes at this many requests in one second, three times what it tolerates.
constexpr int CrashesAt = 16;

std::string configuration()
{
    return std::string("{\"config_version\":3,\"routes\":[{\"name\":\"book\",\"host\":\"") + Host +
           "\",\"path_prefix\":\"/book/\",\"route_type\":\"non_idempotent\",\"timeout_ms\":1000,"
           "\"target_latency_ms\":400,\"priority\":1,\"service\":\"desk\",\"attempts\":2}],"
           "\"services\":[{\"name\":\"desk\",\"health_path\":\"/health\",\"max_connections\":36,"
           "\"warmup_s\":3.0,\"warmup_per_s\":5},{\"name\":\"other\",\"health_path\":\"/health\","
           "\"max_connections\":36,\"warmup_s\":3.0,\"warmup_per_s\":5}],\"limits\":{\"max_header_"
           "bytes\":16384,"
           "\"max_body_bytes\":262144,\"header_timeout_ms\":5000,\"idle_timeout_ms\":20000}}";
}

std::mutex sentMutex;
std::map<std::string, Clock::time_point> sentAt;

class DeskSearcher final : public Searcher
{
public:
    using Searcher::Searcher;

    /// Greatest number of requests that were sent and arrived inside one second, while cold.
    int mostWhileCold()
    {
        const std::lock_guard lock(m_mutex);
        return m_most;
    }
    bool mustCrash()
    {
        const std::lock_guard lock(m_mutex);
        return std::exchange(m_mustCrash, false);
    }

private:
    bool onRequest(int socket, const Message &request) override
    {
        if (request.field("Expected-Instance") != m_id)
            return Searcher::onRequest(socket, request);
        run(request);
        if (coldLeft() > Seconds(0))
            countCold(request.field("Request-Id"));
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
        return sendAll(socket, success(request));
    }
    void countCold(const std::string &id)
    {
        Clock::time_point sent;
        {
            const std::lock_guard lock(sentMutex);
            sent = sentAt[id];
        }
        const std::lock_guard lock(m_mutex);
        const Clock::time_point now = Clock::now();
        std::erase_if(m_arrivals,
                      [now](const auto &time) { return now - time >= std::chrono::seconds(1); });
        // Only requests that were sent inside the second that ends now count.
        if (now - sent < std::chrono::seconds(1))
            m_arrivals.push_back(sent);
        const int count = static_cast<int>(m_arrivals.size());
        m_most = std::max(m_most, count);
        m_record.line("cold searcher " + m_id + " has got " + std::to_string(count) +
                      " requests in the last second");
        if (count == CrashesAt)
            m_mustCrash = true;
    }

    std::mutex m_mutex;
    /// Times at which the requests of the last second were sent.
    std::vector<Clock::time_point> m_arrivals;
    int m_most = 0;
    bool m_mustCrash = false;
};

} // namespace

int main(int argc, char **argv)
{
    if (argc < 4)
        return 2;
    endGatewaysOnSignals();
    Record record(argv[2]);
    const bool hasTrouble = std::string(argv[3]) != "0";
    const std::string network = freeNetwork(3);
    if (network.empty())
        return 2;
    Store store(network + "9");
    std::vector<std::unique_ptr<DeskSearcher>> searchers;
    std::vector<Searcher *> all;
    for (int i = 0; i < 2; ++i) {
        searchers.push_back(std::make_unique<DeskSearcher>("i-desk" + std::to_string(i), "desk",
                                                           network + "20",
                                                           std::string("z") + "ab"[i], record));
        all.push_back(searchers.back().get());
    }
    // Searchers of another service, which the other writes in the store come from.
    std::vector<std::unique_ptr<Searcher>> others;
    for (int i = 0; i < 10; ++i) {
        others.push_back(std::make_unique<Searcher>("i-other" + std::to_string(i), "other",
                                                    network + "20", std::string("z") + "abc"[i % 3],
                                                    record));
        all.push_back(others.back().get());
    }
    store.put("config", "main", configuration());
    Heartbeats heartbeats(store, all);
    heartbeats.writeAll();

    std::vector<std::unique_ptr<Gateway>> gateways;
    std::string seeds;
    for (int i = 0; i < 3; ++i) {
        gateways.push_back(std::make_unique<Gateway>("gateway-" + std::to_string(i + 1),
                                                     network + std::to_string(i + 1),
                                                     std::string("z") + "abc"[i], argv[1]));
        seeds += (i > 0 ? ",\"" : "[\"") + gateways.back()->control.text() + '"';
    }
    seeds += ']';
    bool isStarted = true;
    for (const auto &gateway : gateways) {
        gateway->writeSettings(store.address(), seeds, true);
        isStarted = gateway->start() && isStarted;
    }
    const auto endAll = [&] {
        for (const auto &gateway : gateways)
            gateway->end();
    };
    if (!isStarted || !awaitReady(gateways, Seconds(15))) {
        record.line("the gateways did not become ready");
        endAll();
        return 2;
    }
    record.line("all gateways are ready; the traffic starts");
    const double startedAt = record.now();
    const auto sinceStart = [&] { return record.now() - startedAt; };

    std::atomic<int> nextId{0};
    std::atomic<int> answered{0};
    std::atomic<int> refused{0};
    std::atomic<int> failed{0};
    std::atomic<int> failedAfterRestart{0};
    std::vector<std::thread> threads;
    for (int client = 0; client < Clients; ++client)
        threads.emplace_back([&, client] {
            std::minstd_rand random(static_cast<unsigned>(client + 1));
            std::vector<Address> fronts;
            double resolvedAt = -100;
            for (double next = client * ClientInterval / Clients; next < EndAt;
                 next += ClientInterval) {
                std::this_thread::sleep_for(Seconds(std::max(0.0, next - sinceStart())));
                if (sinceStart() - resolvedAt > 2 || fronts.empty()) {
                    if (auto found = resolve(gateways[random() % gateways.size()]->directory);
                        !found.empty())
                        fronts = std::move(found);
                    resolvedAt = sinceStart();
                }
                if (!fronts.empty()) {
                    const std::string id = "c" + std::to_string(++nextId);
                    {
                        const std::lock_guard lock(sentMutex);
                        sentAt[id] = Clock::now();
                    }
                    const bool isAfterRestart = sinceStart() > FirstRoundAt + DownFor;
                    record.line("client sends " + id);
                    const Answer answer =
                            call(fronts[random() % fronts.size()],
                                 requestText("POST", "/book/x", id, 1000), Seconds(1.15));
                    record.line("client gets " + std::to_string(answer.status) + " for " + id);
                    ++(answer.status == 200 ? answered : answer.status == 503 ? refused : failed);
                    if (answer.status != 200 && answer.status != 503 && isAfterRestart)
                        ++failedAfterRestart;
                }
            }
        });
    const auto sleepTo = [&](double time) {
        std::this_thread::sleep_for(Seconds(std::max(0.0, time - sinceStart())));
    };
    for (int round = 0; hasTrouble && round < Rounds; ++round) {
        const double downAt = FirstRoundAt + round * RoundEvery;
        sleepTo(downAt);
        for (const auto &searcher : searchers)
            searcher->crash();
        record.line("both searchers have crashed");
        sleepTo(downAt + DownFor);
        for (const auto &searcher : searchers)
            searcher->restart(Seconds(WarmUpSeconds));
        for (const auto &searcher : searchers)
            store.put("servers", searcher->id(), searcher->nextEntry());
        record.line("both searchers have started again, cold, and their entries are written");
        while (sinceStart() < downAt + RoundEvery - 0.5) {
            for (const auto &searcher : searchers)
                if (searcher->mustCrash()) {
                    searcher->crash();
                    record.line("cold searcher " + searcher->id() +
                                " crashes: three times what it tolerates");
                    std::this_thread::sleep_for(Seconds(DownFor));
                    searcher->restart(Seconds(WarmUpSeconds));
                    store.put("servers", searcher->id(), searcher->nextEntry());
                    record.line("it has started again");
                }
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
        }
    }
    for (std::thread &thread : threads)
        thread.join();
    endAll();
    int most = 0;
    for (const auto &searcher : searchers)
        most = std::max(most, searcher->mostWhileCold());
    record.line("answered " + std::to_string(answered) + ", refused " + std::to_string(refused) +
                ", failed " + std::to_string(failed) + ", of these sent after the first restart " +
                std::to_string(failedAfterRestart));
    record.line("a cold searcher got at most " + std::to_string(most) +
                " requests in one second; the bound is " + std::to_string(Bound));
    if (answered < 500)
        return 2;
    return most > Bound ? 1 : 0;
}
