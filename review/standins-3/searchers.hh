// Stand-ins for the users' searchers and clients.
#pragma once

#include "platform.hh"

#include <random>

namespace review3 {

/// A searcher that behaves as the pages say. Tests derive from it for other behaviour.
class Searcher
{
public:
    Searcher(std::string id, std::string service, const std::string &ip, std::string zone,
             Record &record)
        : m_id(std::move(id))
        , m_service(std::move(service))
        , m_zone(std::move(zone))
        , m_record(record)
        , m_server(std::make_unique<Server>(Address{ip, 0}, [this](int socket) { serve(socket); }))
        , m_address(m_server->address())
    {
    }
    virtual ~Searcher() { m_server->stop(); }

    const std::string &id() const { return m_id; }
    const std::string &service() const { return m_service; }
    const Address &address() const { return m_address; }
    bool isUp() const { return m_isUp; }
    /// Ends all connections; until restart() its port refuses connections.
    void crash()
    {
        m_isUp = false;
        m_server->stop();
    }
    /// Starts again under the same id and at the same address, cold for @p coldFor.
    void restart(Seconds coldFor)
    {
        m_born = wallMilliseconds();
        m_coldUntil = (Clock::now() + std::chrono::duration_cast<Clock::duration>(coldFor))
                              .time_since_epoch()
                              .count();
        m_server = std::make_unique<Server>(m_address, [this](int socket) { serve(socket); });
        m_isUp = m_server->isListening();
    }
    /// Time for which it stays cold; zero if it is warm.
    Seconds coldLeft() const
    {
        return std::max(Seconds(Clock::time_point(Clock::duration(m_coldUntil)) - Clock::now()),
                        Seconds(0));
    }
    int runs() const { return m_runs; }
    /// The entry in the store, as of the next heartbeat.
    std::string nextEntry()
    {
        return "{\"service\":\"" + m_service + "\",\"address\":\"" + address().text() +
               "\",\"zone\":\"" + m_zone + "\",\"config_version\":\"v1\",\"slots\":2,\"state\":\"" +
               m_state + "\",\"warmup_left_ms\":" +
               std::to_string(static_cast<int>(coldLeft().count() * 1000)) +
               ",\"sequence_number\":" + std::to_string(++m_sequence) +
               ",\"born\":" + std::to_string(m_born) + "}";
    }

protected:
    /// Answers one request. @return false to end the connection
    virtual bool onRequest(int socket, const Message &request)
    {
        if (request.field("Expected-Instance") != m_id)
            return sendAll(socket, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + m_id +
                                           "\r\nContent-Length: 0\r\n\r\n");
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
        run(request);
        return sendAll(socket, success(request));
    }
    void run(const Message &request)
    {
        const int number = ++m_runs;
        m_record.line("searcher " + m_id + " of " + m_service + " runs " +
                      request.field("Request-Id") + ", its run " + std::to_string(number));
    }
    std::string success(const Message &request) const
    {
        const std::string body = "answer of " + m_service;
        return "HTTP/1.1 200 OK\r\nRequest-Id: " + request.field("Request-Id") +
               "\r\nServer-Stamp: " + m_id + "." + request.field("Request-Id") +
               "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    const std::string m_id;
    const std::string m_service;
    const std::string m_zone;
    Record &m_record;
    std::atomic<int> m_runs{0};

private:
    void serve(int socket)
    {
        std::string buffer;
        Message request;
        while (readMessage(socket, buffer, request, Clock::now() + std::chrono::seconds(120)) ==
               ReadEnd::Message)
            if (!onRequest(socket, request))
                return;
    }

    std::string m_state = "ready";
    std::uint64_t m_sequence = 0;
    static std::int64_t wallMilliseconds()
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
                       std::chrono::system_clock::now().time_since_epoch())
                .count();
    }

    std::atomic<std::int64_t> m_born = wallMilliseconds();
    std::atomic<Clock::rep> m_coldUntil{0};
    std::atomic<bool> m_isUp{true};
    std::unique_ptr<Server> m_server;
    const Address m_address;
};

/// Writes the searchers' entries about every 1.2 s, each at its own time.
class Heartbeats
{
public:
    Heartbeats(Store &store, std::vector<Searcher *> searchers)
        : m_store(store)
        , m_searchers(std::move(searchers))
        , m_thread([this] { beat(); })
    {
    }
    ~Heartbeats()
    {
        m_isStopped = true;
        m_thread.join();
    }
    /// Writes all entries now.
    void writeAll()
    {
        const std::lock_guard lock(m_mutex);
        for (Searcher *searcher : m_searchers)
            if (searcher->isUp())
                m_store.put("servers", searcher->id(), searcher->nextEntry());
    }

private:
    void beat()
    {
        std::size_t next = 0;
        while (!m_isStopped) {
            {
                const std::lock_guard lock(m_mutex);
                Searcher &searcher = *m_searchers[next++ % m_searchers.size()];
                if (searcher.isUp())
                    m_store.put("servers", searcher.id(), searcher.nextEntry());
            }
            std::this_thread::sleep_for(Seconds(1.2 / static_cast<double>(m_searchers.size())));
        }
    }

    Store &m_store;
    std::vector<Searcher *> m_searchers;
    std::mutex m_mutex;
    std::atomic<bool> m_isStopped{false};
    std::thread m_thread;
};

constexpr const char *Host = "shop.example";

inline std::string requestText(const std::string &method, const std::string &path,
                               const std::string &id, int deadlineMs)
{
    return method + " " + path + " HTTP/1.1\r\nHost: " + Host + "\r\nRequest-Id: " + id +
           "\r\nDeadline-Ms: " + std::to_string(deadlineMs) +
           (method == "POST" ? "\r\nContent-Length: 4\r\n\r\nbook" : "\r\n\r\n");
}

/// Asks the directory for the addresses of the daemons that take requests.
inline std::vector<Address> resolve(const Address &directory)
{
    const Answer answer =
            call(directory,
                 std::string("GET /api/resolution?name=") + Host +
                         "&region=r&zone=za HTTP/1.1\r\nHost: " + directory.text() + "\r\n\r\n",
                 Seconds(1));
    std::vector<Address> found;
    const std::string &body = answer.message.body;
    for (std::size_t at = body.find("\"127."); at != std::string::npos;
         at = body.find("\"127.", at + 1)) {
        const std::string text = body.substr(at + 1, body.find('"', at + 1) - at - 1);
        const std::size_t colon = text.find(':');
        found.push_back({text.substr(0, colon),
                         static_cast<std::uint16_t>(std::atoi(text.c_str() + colon + 1))});
    }
    return found;
}

/// @return a loopback network "127.A.B." on whose hosts 1 to @p hosts the fixed metrics port is
/// free
inline std::string freeNetwork(int hosts)
{
    std::minstd_rand random(std::random_device{}());
    for (int tries = 0; tries < 200; ++tries) {
        const std::string network = "127." + std::to_string(16 + random() % 200) + "." +
                                    std::to_string(1 + random() % 250) + ".";
        bool areFree = true;
        for (int host = 1; host <= hosts; ++host)
            areFree = areFree && isFree({network + std::to_string(host), 7390});
        if (areFree)
            return network;
    }
    return {};
}

} // namespace review3
