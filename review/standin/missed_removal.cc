// Two of seven gateways are killed at the same moment, and the entry of a searcher is removed from
// the store before they are back. Gateways that were not killed go on sending to the searcher.
#include "platform.hpp"

#include <array>
#include <cstdlib>
#include <limits>
#include <map>

using namespace review;
using namespace std::chrono_literals;

namespace {

/// Bounds of the deployment: drain_ms and stable_window_ms.
constexpr milliseconds Drain = 3000ms;
constexpr milliseconds StableWindow = 4000ms;
/// A searcher serves this much longer than its drain time, and then ends.
constexpr milliseconds Longer = 5000ms;
constexpr milliseconds Heartbeat = 1200ms;
constexpr milliseconds Work = 30ms;
constexpr milliseconds RequestInterval = 80ms;
/// Names and zones of the gateways, as in the deployment, and whether they are killed.
struct Place
{
    const char *name;
    const char *zone;
    bool isKilled;
};
constexpr std::array Places{
        Place{"frontend-cairo-one-1", "cairo-one", true},
        Place{"frontend-cairo-one-2", "cairo-one", false},
        Place{"frontend-giza-two-1", "giza-two", false},
        Place{"frontend-giza-two-2", "giza-two", true},
        Place{"frontend-alex-three-1", "alex-three", false},
        Place{"frontend-alex-three-2", "alex-three", false},
        Place{"frontend-tanta-four-1", "tanta-four", false},
};
constexpr milliseconds RestartDelay = 500ms;
/// Time from the kill to the removal of the entry.
constexpr milliseconds RemovalDelay = 200ms;
constexpr int Searchers = 12;
constexpr int Rounds = 7;
constexpr milliseconds RoundTime = 14000ms;
/// Runs at the same time use other addresses, so that they do not take each other's ports.
const std::string Host = loopbackHost();

class Case
{
public:
    Case(const std::string &folder, bool hasTrouble, Record &record)
        : m_hasTrouble(hasTrouble)
        , m_record(record)
        , m_store(m_context, Host)
    {
        GatewayOptions options;
        options.folder = folder;
        options.host = Host;
        m_store.put("config", "main", configuration());
        for (int i = 0; i < Searchers; ++i)
            addSearcher();
        for (const Place &place : Places)
            m_gateways.push_back(
                    std::make_unique<Gateway>(m_context, options, place.name, place.zone));
        for (int i = 0; i < 3; ++i)
            m_seeds.push_back(m_gateways[i]->peers);
    }

    int run()
    {
        for (const auto &gateway : m_gateways)
            start(*gateway);
        beat();
        if (!awaitReady()) {
            m_record.write("a gateway is not ready");
            return 2;
        }
        send();
        runFor(4000ms);
        for (int round = 0; round < Rounds; ++round)
            runRound(round);
        for (const auto &gateway : m_gateways)
            if (!gateway->isRunning()) {
                m_record.write("a gateway ended");
                return 2;
            }
        m_record.write(
                "of " + std::to_string(m_sent) + " requests " + std::to_string(m_answered) +
                " were answered with 200; " + std::to_string(m_late) +
                " reached a searcher more than drain_ms after its entry was removed, at most " +
                std::to_string(m_latest) + " ms after it");
        return m_late > 0 ? 1 : 0;
    }

private:
    static json::object configuration()
    {
        return {{"config_version", 7},
                {"routes",
                 {{{"name", "loan"},
                   {"host", "lend.example"},
                   {"path_prefix", "/loan/"},
                   {"route_type", "idempotent"},
                   {"timeout_ms", 1500},
                   {"target_latency_ms", 600},
                   {"priority", 2},
                   {"service", "desk"},
                   {"attempts", 2}}}},
                {"services",
                 {{{"name", "desk"},
                   {"health_path", "/health"},
                   {"max_connections", 100},
                   {"protocol", "h1"},
                   {"tls_enabled", false},
                   {"warmup_s", 3.0},
                   {"warmup_per_s", 0.0}}}},
                {"limits",
                 {{"max_header_bytes", 16384},
                  {"max_body_bytes", 262144},
                  {"header_timeout_ms", 3000},
                  {"idle_timeout_ms", 15000}}}};
    }

    void start(Gateway &gateway)
    {
        gateway.start(m_store.address(), m_seeds);
        m_inTouchFrom[gateway.name] = m_record.now() + StableWindow.count();
    }

    void runRound(int round)
    {
        m_record.write("round " + std::to_string(round + 1));
        std::vector<Gateway *> killed;
        if (m_hasTrouble) {
            for (std::size_t i = 0; i < Places.size(); ++i)
                if (Places[i].isKilled)
                    killed.push_back(m_gateways[i].get());
            for (Gateway *gateway : killed) {
                m_record.write(gateway->name + " is killed");
                m_inTouchFrom[gateway->name] = std::numeric_limits<std::int64_t>::max();
                gateway->kill(SIGKILL);
            }
        }
        runFor(RemovalDelay);
        Searcher &leaving = *m_present.front();
        m_present.erase(m_present.begin());
        m_store.remove("servers", leaving.id);
        leaving.isLeaving = true;
        m_removedAt[leaving.id] = m_record.now();
        m_record.write("the store has removed the entry of " + leaving.id);
        runFor(RestartDelay - RemovalDelay);
        for (Gateway *gateway : killed) {
            m_record.write(gateway->name + " starts again");
            start(*gateway);
        }
        runFor(Drain + Longer - RestartDelay + RemovalDelay);
        m_record.write(leaving.id + " ends");
        leaving.end();
        addSearcher();
        runFor(RoundTime - Drain - Longer - RemovalDelay);
    }

    void addSearcher()
    {
        m_searchers.push_back(std::make_unique<Searcher>(
                m_context, Host, "desk", "s" + std::to_string(m_searchers.size() + 1), "tanta-four",
                m_record,
                [this](Searcher &searcher, const std::shared_ptr<Session> &session,
                       const std::string &id) { onRequest(searcher, session, id); }));
        Searcher &added = *m_searchers.back();
        m_present.push_back(&added);
        m_store.put("servers", added.id, added.entry("ready"));
        m_record.write(added.id + " is ready");
    }

    void onRequest(Searcher &searcher, const std::shared_ptr<Session> &session,
                   const std::string &id)
    {
        const auto removed = m_removedAt.find(searcher.id);
        if (removed != m_removedAt.end()) {
            const std::int64_t after = m_record.now() - removed->second;
            const std::string &gateway = m_takenBy[id];
            const bool isInTouch = m_record.now() >= m_inTouchFrom[gateway];
            m_record.write("request " + id + " reaches " + searcher.id + " from " + gateway + ", " +
                           std::to_string(after) + " ms after its entry was removed" +
                           (isInTouch ? "" : "; " + gateway + " is not in touch"));
            if (after > Drain.count() && isInTouch) {
                ++m_late;
                m_latest = std::max(m_latest, after);
                m_record.write("BROKEN: request " + id + ": drain_ms is " +
                               std::to_string(Drain.count()));
            }
        }
        searcher.run(session, id, Work);
    }

    /// Sends a request to the next gateway that runs, and again after RequestInterval.
    void send()
    {
        const Gateway &gateway = *m_gateways[m_next++ % m_gateways.size()];
        if (gateway.process > 0) {
            const std::string id = "r" + std::to_string(++m_sent);
            m_takenBy[id] = gateway.name;
            m_record.write("client sends " + id + " to " + gateway.name);
            std::make_shared<ClientCall>(
                    m_context,
                    "GET /loan/" + id + " HTTP/1.1\r\nHost: lend.example\r\nRequest-Id: " + id +
                            "\r\nDeadline-Ms: 1500\r\n\r\n",
                    [this, id](const Answer &answer) {
                        m_answered += answer.status == 200;
                        m_record.write("client got for " + id + ": " +
                                       std::to_string(answer.status) + " " + answer.error);
                    })
                    ->start(gateway.callers, 2000ms);
        }
        m_clock.expires_after(RequestInterval);
        m_clock.async_wait([this](Error error) {
            if (!error)
                send();
        });
    }

    /// Searchers write to the store every heartbeat_ms.
    void beat()
    {
        for (Searcher *searcher : m_present)
            m_store.put("servers", searcher->id, searcher->entry("ready"));
        m_beat.expires_after(Heartbeat);
        m_beat.async_wait([this](Error error) {
            if (!error)
                beat();
        });
    }

    /// @return false if a gateway is not ready some seconds after its start
    bool awaitReady()
    {
        for (int tries = 0; tries < 8; ++tries) {
            std::size_t count = 0;
            for (const auto &gateway : m_gateways)
                std::make_shared<ClientCall>(
                        m_context, "GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n",
                        [&count](const Answer &answer) { count += answer.status == 200; })
                        ->start(gateway->ready, 1000ms);
            runFor(1200ms);
            if (count == m_gateways.size())
                return true;
        }
        return false;
    }

    void runFor(milliseconds time)
    {
        m_context.restart();
        m_context.run_for(time);
    }

    const bool m_hasTrouble;
    Record &m_record;
    asio::io_context m_context;
    asio::steady_timer m_beat{m_context};
    asio::steady_timer m_clock{m_context};
    Store m_store;
    std::vector<std::unique_ptr<Searcher>> m_searchers;
    /// Searchers whose entries are in the store.
    std::vector<Searcher *> m_present;
    std::vector<std::unique_ptr<Gateway>> m_gateways;
    std::vector<std::string> m_seeds;
    /// Time from which on a gateway is in touch.
    std::map<std::string, std::int64_t> m_inTouchFrom;
    std::map<std::string, std::int64_t> m_removedAt;
    /// Gateway to which each request was sent.
    std::map<std::string, std::string> m_takenBy;
    std::size_t m_next = 0;
    int m_sent = 0;
    int m_answered = 0;
    int m_late = 0;
    std::int64_t m_latest = 0;
};

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3) {
        std::cerr << "usage: " << argv[0] << " FOLDER RECORD\n";
        return 2;
    }
    endProcessesOnSignal();
    const char *trouble = std::getenv("TROUBLE");
    try {
        Record record(argv[2]);
        return Case(argv[1], !trouble || std::string(trouble) != "0", record).run();
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return 2;
    }
}
