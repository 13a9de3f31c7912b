// Two of fourteen searchers go dark, and another one leaves as planned. Requests that were sent to
// the dark ones get their second attempt at the one that leaves, after its drain time is over.
#include "platform.hpp"

#include <cstdlib>
#include <deque>
#include <set>

using namespace review;
using namespace std::chrono_literals;

namespace {

/// drain_ms of the deployment.
constexpr milliseconds Drain = 3000ms;
/// A searcher serves this much longer than its drain time, and then ends.
constexpr milliseconds Longer = 300ms;
constexpr milliseconds Heartbeat = 1200ms;
/// Time that a request takes.
constexpr milliseconds Work = 160ms;
/// Numbers of searchers in the gateways' zone and in the other one.
constexpr int OwnZone = 2;
constexpr int OtherZone = 12;
constexpr int Rounds = 11;
constexpr milliseconds RoundTime = 9000ms;
constexpr int RequestsPerGateway = 20;
constexpr std::size_t Slots = 3;
constexpr std::size_t QueueLength = 12;
/// Runs at the same time use other addresses, so that they do not take each other's ports.
const std::string Host = loopbackHost();

/// A searcher with a few slots and a short queue.
struct Desk
{
    std::unique_ptr<Searcher> searcher;
    bool isDark = false;
    std::optional<std::int64_t> drainingSince;
    std::size_t running = 0;
    std::deque<std::pair<std::shared_ptr<Session>, std::string>> queue;
};

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
        options.isFirstStart = false;
        m_store.put("config", "main", configuration());
        for (int i = 0; i < OwnZone + OtherZone; ++i)
            addDesk(i < OwnZone ? "z1" : "z2");
        for (int i = 1; i <= 2; ++i)
            m_gateways.push_back(
                    std::make_unique<Gateway>(m_context, options, "g" + std::to_string(i), "z1"));
    }

    int run()
    {
        std::vector<std::string> seeds;
        for (const auto &gateway : m_gateways)
            seeds.push_back(gateway->peers);
        for (const auto &gateway : m_gateways)
            gateway->start(m_store.address(), seeds);
        beat();
        if (!awaitReady()) {
            m_record.write("a gateway is not ready");
            return 2;
        }
        // The gateways are in touch once they have run for stable_window_ms.
        runFor(3000ms);
        for (int round = 0; round < Rounds; ++round)
            runRound(round);
        for (const auto &gateway : m_gateways)
            if (!gateway->isRunning()) {
                m_record.write("a gateway ended");
                return 2;
            }
        m_record.write("of " + std::to_string(m_sent) + " requests " + std::to_string(m_answered) +
                       " were answered with 200; " + std::to_string(m_late) +
                       " reached a searcher more than drain_ms after its drain was acknowledged; " +
                       std::to_string(m_cut) + " of these were cut by its end");
        if (!m_hasTrouble && m_answered != m_sent)
            return 2;
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
                   {"timeout_ms", 6000},
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

    void runRound(int round)
    {
        m_record.write("round " + std::to_string(round + 1));
        std::vector<Desk *> present;
        for (const auto &desk : m_desks)
            if (!desk->searcher->isEnded)
                present.push_back(desk.get());
        // One searcher of the gateways' zone goes dark, and the other one leaves.
        std::stable_partition(present.begin(), present.end(),
                              [](Desk *desk) { return desk->searcher->zone == "z1"; });
        Desk &leaving = *present[0];
        const std::vector<Desk *> dark{present[1], present[2]};
        if (m_hasTrouble)
            for (Desk *desk : dark) {
                desk->isDark = true;
                m_record.write(desk->searcher->id + " goes dark for good");
            }
        for (int i = 0; i < RequestsPerGateway; ++i)
            for (const auto &gateway : m_gateways)
                request(*gateway);
        runFor(400ms);
        drain(leaving);
        runFor(Drain + Longer);
        end(leaving);
        for (Desk *desk : dark)
            if (desk->isDark) {
                m_record.write("the store removes " + desk->searcher->id +
                               " after three heartbeats of silence");
                m_store.remove("servers", desk->searcher->id);
                desk->searcher->isEnded = true;
            }
        // New searchers take the places of those that are gone.
        addDesk("z1");
        if (m_hasTrouble) {
            addDesk("z1");
            addDesk("z2");
        }
        runFor(RoundTime - Drain - Longer - 400ms);
    }

    void addDesk(const std::string &zone)
    {
        m_desks.push_back(std::make_unique<Desk>());
        Desk &desk = *m_desks.back();
        desk.searcher = std::make_unique<Searcher>(
                m_context, Host, "desk", "s" + std::to_string(m_desks.size()), zone, m_record,
                [this, &desk](Searcher &, const std::shared_ptr<Session> &session,
                              const std::string &id) { onRequest(desk, session, id); });
        m_store.put("servers", desk.searcher->id, desk.searcher->entry("ready"));
        m_record.write(desk.searcher->id + " is ready in " + zone);
    }
    void drain(Desk &desk)
    {
        desk.searcher->isLeaving = true;
        m_store.put("servers", desk.searcher->id, desk.searcher->entry("draining"));
        desk.drainingSince = m_record.now();
        m_record.write("the store has accepted that " + desk.searcher->id + " is draining");
    }
    void end(Desk &desk)
    {
        m_record.write(desk.searcher->id + " ends and its entry is removed");
        desk.searcher->end();
        m_store.remove("servers", desk.searcher->id);
        for (const auto &[searcher, id] : m_lateOpen)
            m_cut += searcher == desk.searcher->id;
        std::erase_if(m_lateOpen,
                      [&](const auto &entry) { return entry.first == desk.searcher->id; });
    }

    void onRequest(Desk &desk, const std::shared_ptr<Session> &session, const std::string &id)
    {
        Searcher &searcher = *desk.searcher;
        m_record.write("request " + id + " reaches " + searcher.id);
        if (desk.drainingSince && m_record.now() - *desk.drainingSince > Drain.count()) {
            ++m_late;
            m_lateOpen.insert({searcher.id, id});
            m_record.write("BROKEN: request " + id + " reached " + searcher.id + " " +
                           std::to_string(m_record.now() - *desk.drainingSince) +
                           " ms after its drain was acknowledged; drain_ms is " +
                           std::to_string(Drain.count()));
        }
        if (desk.isDark)
            m_silenced.push_back(session);
        else if (desk.running < Slots)
            start(desk, session, id);
        else if (desk.queue.size() < QueueLength)
            desk.queue.emplace_back(session, id);
        else
            searcher.refuse(session, id);
    }
    void start(Desk &desk, const std::shared_ptr<Session> &session, const std::string &id)
    {
        ++desk.running;
        desk.searcher->run(session, id, Work);
        auto timer = std::make_shared<asio::steady_timer>(m_context);
        timer->expires_after(Work + 1ms);
        timer->async_wait([this, timer, &desk, id](Error) {
            --desk.running;
            m_lateOpen.erase({desk.searcher->id, id});
            if (desk.searcher->isEnded || desk.queue.empty())
                return;
            const auto next = desk.queue.front();
            desk.queue.pop_front();
            start(desk, next.first, next.second);
        });
    }

    void request(const Gateway &gateway)
    {
        const std::string id = "r" + std::to_string(++m_sent);
        m_record.write("client sends " + id + " to " + gateway.name);
        std::make_shared<ClientCall>(
                m_context,
                "GET /loan/" + id + " HTTP/1.1\r\nHost: lend.example\r\nRequest-Id: " + id +
                        "\r\nDeadline-Ms: 6000\r\n\r\n",
                [this, id](const Answer &answer) {
                    m_answered += answer.status == 200;
                    m_record.write("client got for " + id + ": " + std::to_string(answer.status) +
                                   " " + answer.error);
                })
                ->start(gateway.callers, 7000ms);
    }

    /// Searchers write to the store every heartbeat_ms.
    void beat()
    {
        for (const auto &desk : m_desks)
            if (!desk->searcher->isEnded && !desk->isDark)
                m_store.put("servers", desk->searcher->id,
                            desk->searcher->entry(desk->drainingSince ? "draining" : "ready"));
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
    Store m_store;
    std::vector<std::unique_ptr<Desk>> m_desks;
    std::vector<std::unique_ptr<Gateway>> m_gateways;
    /// Connections on which a dark searcher got requests. They stay open.
    std::vector<std::shared_ptr<Session>> m_silenced;
    /// Requests that reached a searcher too late and that it still works on.
    std::set<std::pair<std::string, std::string>> m_lateOpen;
    int m_sent = 0;
    int m_answered = 0;
    int m_late = 0;
    int m_cut = 0;
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
