// Case 11: the store comes back from an older copy, and the next configuration is never in force.
#include "../standins-3/searchers.hh"

using namespace review3;

namespace {

std::string configuration(int version, const std::string &service, int timeoutMs)
{
    const auto profile = [](const std::string &name) {
        return "{\"name\":\"" + name +
               "\",\"health_path\":\"/health\",\"max_connections\":26,\"warmup_s\":3.0,"
               "\"warmup_per_s\":50}";
    };
    return "{\"config_version\":" + std::to_string(version) +
           ",\"routes\":[{\"name\":\"a\",\"host\":\"" + Host +
           "\",\"path_prefix\":\"/a/\",\"route_type\":\"idempotent\",\"timeout_ms\":" +
           std::to_string(timeoutMs) + ",\"target_latency_ms\":400,\"priority\":1,\"service\":\"" +
           service + "\",\"attempts\":2}],\"services\":[" + profile("alpha") + "," +
           profile("beta") +
           "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
           "\"header_timeout_ms\":5000,\"idle_timeout_ms\":20000}}";
}

void sleepUntil(Clock::time_point time)
{
    std::this_thread::sleep_until(time);
}

} // namespace

int main(int argc, char **argv)
{
    if (argc < 4)
        return 2;
    endGatewaysOnSignals();
    const std::string folder = argv[1];
    Record record(argv[2]);
    const bool hasTrouble = std::string(argv[3]) != "0";
    const std::string network = freeNetwork(3);
    if (network.empty())
        return 2;

    Store store(network + "9");
    std::vector<std::unique_ptr<Searcher>> searchers;
    std::vector<Searcher *> all;
    for (const std::string service : {"alpha", "beta"})
        for (int i = 0; i < 4; ++i) {
            searchers.push_back(std::make_unique<Searcher>(
                    "i-" + service + std::to_string(i), service, network + "20",
                    std::string("z") + "abc"[i % 3], record));
            all.push_back(searchers.back().get());
        }
    store.put("config", "main", configuration(3, "alpha", 2000));
    Heartbeats heartbeats(store, all);
    heartbeats.writeAll();

    std::vector<std::unique_ptr<Gateway>> gateways;
    for (int i = 0; i < 3; ++i)
        gateways.push_back(std::make_unique<Gateway>("gateway-" + std::to_string(i + 1),
                                                     network + std::to_string(i + 1),
                                                     std::string("z") + "abc"[i], folder));
    std::string seeds;
    for (const auto &gateway : gateways)
        seeds += (seeds.empty() ? "[\"" : ",\"") + gateway->control.text() + '"';
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
    record.line("all gateways are ready");

    const Clock::time_point start = Clock::now();
    const auto at = [start](double seconds) {
        return start + std::chrono::duration_cast<Clock::duration>(Seconds(seconds));
    };
    // Times in seconds from the start of traffic.
    constexpr double CopyAt = 1;
    constexpr double SecondVersionAt = 6.5;
    constexpr double AwayAt = 7;
    constexpr double BackAt = 8;
    constexpr double ThirdVersionAt = 9.5;
    // config_apply_ms, stable_window_ms and max_stretch_ms after the acknowledgement.
    constexpr double JudgedFrom = ThirdVersionAt + 3 + 4 + 12;
    constexpr double EndAt = JudgedFrom + 10;

    std::thread operatorThread([&] {
        sleepUntil(at(CopyAt));
        record.line("the store's copy is of revision " + std::to_string(store.revision()));
        sleepUntil(at(SecondVersionAt));
        record.line("operator writes version 8 (other timeout), revision " +
                    std::to_string(store.put("config", "main", configuration(8, "alpha", 1900))));
        if (hasTrouble) {
            sleepUntil(at(AwayAt));
            store.goAway();
            record.line("the store is away");
            sleepUntil(at(BackAt));
            const std::uint64_t revision = store.comeBack(at(CopyAt));
            record.line("the store is back from its copy, revision " + std::to_string(revision));
            record.line(
                    "operator writes version 8 again, revision " +
                    std::to_string(store.put("config", "main", configuration(8, "alpha", 1900))));
            heartbeats.writeAll();
        }
        sleepUntil(at(ThirdVersionAt));
        record.line("operator writes version 12 (route a goes to beta), revision " +
                    std::to_string(store.put("config", "main", configuration(12, "beta", 1900))));
    });

    int judged = 0;
    int byOld = 0;
    int byNew = 0;
    std::vector<Address> fronts;
    std::minstd_rand random(1);
    for (int i = 0; Clock::now() < at(EndAt); ++i) {
        if (i % 20 == 0)
            for (const auto &gateway : gateways)
                if (auto found = resolve(gateway->directory); !found.empty()) {
                    fronts = std::move(found);
                    break;
                }
        if (fronts.empty()) {
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
            continue;
        }
        const Address front = fronts[random() % fronts.size()];
        const std::string id = "c" + std::to_string(i);
        const bool isJudged = Clock::now() > at(JudgedFrom);
        record.line("client sends " + id + " to " + front.text());
        const Answer answer = call(front, requestText("GET", "/a/x", id, 2000), Seconds(3));
        record.line("client gets " + std::to_string(answer.status) + " for " + id + ": " +
                    answer.message.body);
        if (isJudged) {
            ++judged;
            byOld += answer.message.body == "answer of alpha" ? 1 : 0;
            byNew += answer.message.body == "answer of beta" ? 1 : 0;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    operatorThread.join();
    endAll();
    record.line("of " + std::to_string(judged) +
                " requests sent later than 19 s after version 12 "
                "was acknowledged, the old service ran " +
                std::to_string(byOld) + " and the new one " + std::to_string(byNew));
    if (judged == 0 || byOld + byNew == 0)
        return 2;
    return byOld > 0 ? 1 : 0;
}
