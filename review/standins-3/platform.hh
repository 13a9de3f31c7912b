// Stand-ins for the users' platform: the store, the settings of a process, and its processes.
#pragma once

#include "http.hh"

#include <array>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <deque>
#include <fcntl.h>
#include <fstream>
#include <map>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>

namespace review3 {

/// Writes record.txt: one line for each event, with the seconds since the start.
class Record
{
public:
    explicit Record(const std::string &path)
        : m_file(path)
    {
    }

    double now() const { return Seconds(Clock::now() - m_start).count(); }
    void line(const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        char at[32];
        std::snprintf(at, sizeof at, "%8.3f ", now());
        m_file << at << text << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    const Clock::time_point m_start = Clock::now();
};

/// The platform's metadata store: lists, watches, creates, replacements and removals of objects.
class Store
{
public:
    explicit Store(const std::string &ip)
        : m_server(Address{ip, 0}, [this](int socket) { serve(socket); })
    {
    }

    const Address &address() const { return m_server.address(); }

    /// Writes an object as the operator or a searcher does. @return its revision, 0 while away
    std::uint64_t put(const std::string &kind, const std::string &name, const std::string &spec)
    {
        const std::lock_guard lock(m_mutex);
        if (m_isAway)
            return 0;
        return write(kind, name, spec);
    }
    std::uint64_t remove(const std::string &kind, const std::string &name)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_state.objects.find({kind, name});
        if (m_isAway || found == m_state.objects.end())
            return 0;
        const std::string text = objectText(found->second);
        m_state.objects.erase(found);
        addEvent(kind, text, true);
        return m_state.revision;
    }

    /// The drill: the store goes away and drops all connections.
    void goAway()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_isAway = true;
        }
        m_changed.notify_all();
        m_server.resetConnections();
    }
    /// The drill: the store comes back from its copy of @p copiedAt. @return the copy's revision
    std::uint64_t comeBack(Clock::time_point copiedAt)
    {
        const std::lock_guard lock(m_mutex);
        while (m_copies.size() > 1 && m_copies.back().first > copiedAt)
            m_copies.pop_back();
        m_state = m_copies.back().second;
        while (!m_events.empty() && m_events.back().revision > m_state.revision)
            m_events.pop_back();
        ++m_era;
        m_isAway = false;
        return m_state.revision;
    }
    std::uint64_t revision()
    {
        const std::lock_guard lock(m_mutex);
        return m_state.revision;
    }

private:
    struct Object
    {
        std::string name;
        std::uint64_t revision = 0;
        std::uint64_t createRevision = 0;
        std::string spec;
        std::string status = "null";
    };
    struct State
    {
        std::map<std::pair<std::string, std::string>, Object> objects;
        std::uint64_t revision = 100;
    };
    struct Event
    {
        std::uint64_t revision = 0;
        std::string kind;
        std::string text;
    };

    static std::string objectText(const Object &object)
    {
        return "{\"meta\":{\"name\":\"" + object.name +
               "\",\"revision\":" + std::to_string(object.revision) +
               ",\"create_revision\":" + std::to_string(object.createRevision) +
               ",\"finalizers\":[],\"deleting\":false},\"spec\":" + object.spec +
               ",\"status\":" + object.status + "}";
    }

    std::uint64_t write(const std::string &kind, const std::string &name, const std::string &spec)
    {
        Object &object = m_state.objects[{kind, name}];
        if (object.spec == spec)
            return object.revision;
        object.name = name;
        object.spec = spec;
        object.revision = m_state.revision + 1;
        if (object.createRevision == 0)
            object.createRevision = object.revision;
        addEvent(kind, objectText(object), false);
        return object.revision;
    }
    void addEvent(const std::string &kind, const std::string &text, bool isDeleted)
    {
        ++m_state.revision;
        m_events.push_back({m_state.revision, kind,
                            "{\"deleted\":" + std::string(isDeleted ? "true" : "false") +
                                    ",\"object\":" + text + "}"});
        m_copies.emplace_back(Clock::now(), m_state);
        m_changed.notify_all();
    }

    void serve(int socket)
    {
        std::string buffer;
        Message request;
        while (readMessage(socket, buffer, request, Clock::now() + std::chrono::seconds(120)) ==
               ReadEnd::Message) {
            const auto [status, body] = answer(request);
            if (status == 0)
                return;
            std::ostringstream out;
            out << "HTTP/1.1 " << status << " Answer\r\nContent-Type: application/json\r\n"
                << "Store-Era: " << m_era << "\r\nContent-Length: " << body.size() << "\r\n\r\n"
                << body;
            if (!sendAll(socket, out.str()))
                return;
        }
    }

    /// @return status 0 while the store is away
    std::pair<int, std::string> answer(const Message &request)
    {
        const std::string target = request.target();
        const std::size_t query = target.find('?');
        const std::string path = target.substr(0, query);
        const std::string text = query == std::string::npos ? "" : target.substr(query + 1);
        const std::string kind = path.substr(path.rfind('/') + 1);
        std::unique_lock lock(m_mutex);
        if (m_isAway)
            return {0, {}};
        if (path.rfind("/api/objects/" + kind, 0) != 0 || request.method() != "GET")
            return {404, "{}"};
        if (parameter(text, "watch"))
            return watch(lock, kind, *parameter(text, "watch"),
                         parameter(text, "wait_ms").value_or(0));
        std::string items;
        for (const auto &[key, object] : m_state.objects)
            if (key.first == kind)
                items += (items.empty() ? "" : ",") + objectText(object);
        return {200, "{\"items\":[" + items + "],\"has_more\":false,\"current_rev\":" +
                             std::to_string(m_state.revision) + "}"};
    }
    std::pair<int, std::string> watch(std::unique_lock<std::mutex> &lock, const std::string &kind,
                                      std::uint64_t from, std::uint64_t waitMs)
    {
        const auto until = Clock::now() + std::chrono::milliseconds(waitMs);
        const std::uint64_t era = m_era;
        while (true) {
            if (m_isAway || era != m_era)
                return {0, {}};
            if (from > m_state.revision)
                return {410, "{}"};
            std::string events;
            for (const Event &event : m_events)
                if (event.revision > from && event.kind == kind)
                    events += (events.empty() ? "" : ",") + event.text;
            if (!events.empty() || Clock::now() >= until)
                return {200, "{\"events\":[" + events +
                                     "],\"current_rev\":" + std::to_string(m_state.revision) + "}"};
            m_changed.wait_until(lock, until);
        }
    }
    static std::optional<std::uint64_t> parameter(const std::string &query, const std::string &name)
    {
        std::istringstream parts(query);
        for (std::string part; std::getline(parts, part, '&');)
            if (part.rfind(name + "=", 0) == 0)
                return std::strtoull(part.c_str() + name.size() + 1, nullptr, 10);
        return std::nullopt;
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    State m_state;
    std::deque<Event> m_events;
    std::deque<std::pair<Clock::time_point, State>> m_copies;
    bool m_isAway = false;
    std::atomic<std::uint64_t> m_era{1};
    Server m_server;
};

/// Fields of a process's settings file, by the names of the deployment page.
using Settings = std::map<std::string, std::string>;

/// Fills in the template of the settings file. Only placeholders {{name|json}} and {{name}} occur.
inline std::string fillIn(const std::string &text, const Settings &settings)
{
    std::string filled;
    std::size_t at = 0;
    while (true) {
        const std::size_t start = text.find("{{", at);
        if (start == std::string::npos)
            return filled + text.substr(at);
        const std::size_t end = text.find("}}", start);
        const std::string name = text.substr(start + 2, end - start - 2);
        const bool isJson = name.size() > 5 && name.substr(name.size() - 5) == "|json";
        const auto found = settings.find(isJson ? name.substr(0, name.size() - 5) : name);
        filled += text.substr(at, start - at) + (found == settings.end() ? "" : found->second);
        at = end + 2;
    }
}

inline std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), {}};
}

/// Ids of the gateway processes that run; 0 in a free place.
inline std::array<std::atomic<pid_t>, 16> runningGateways{};

/// Ends the gateway processes if a signal ends this one.
inline void endGatewaysOnSignals()
{
    for (const int number : {SIGTERM, SIGINT, SIGHUP})
        std::signal(number, [](int) {
            for (const std::atomic<pid_t> &process : runningGateways)
                if (process > 0)
                    ::kill(process, SIGKILL);
            _exit(2);
        });
}

inline void replaceRunning(pid_t from, pid_t to)
{
    for (std::atomic<pid_t> &place : runningGateways)
        if (pid_t expected = from; place.compare_exchange_strong(expected, to))
            return;
}

/// One process of the deploy file's role, on a loopback address of its own.
class Gateway
{
public:
    /// @param seeds JSON list of the seeds
    Gateway(std::string name, std::string ip, std::string zone, const std::string &folder)
        : m_name(std::move(name))
        , m_ip(std::move(ip))
        , m_zone(std::move(zone))
        , m_folder(folder)
        , front{m_ip, freePort(m_ip)}
        , ready{m_ip, freePort(m_ip)}
        , control{m_ip, freePort(m_ip)}
        , directory{m_ip, freePort(m_ip)}
    {
    }

    void writeSettings(const Address &store, const std::string &seeds, bool isFirstStart)
    {
        const auto quoted = [](const std::string &text) { return '"' + text + '"'; };
        const Settings settings{{"node_name", quoted(m_name)},
                                {"zone", quoted(m_zone)},
                                {"ip_address", m_ip},
                                {"listen_addrs.front", quoted(front.text())},
                                {"listen_addrs.ready", quoted(ready.text())},
                                {"listen_addrs.control", quoted(control.text())},
                                {"listen_addrs.directory", quoted(directory.text())},
                                {"platform.address", quoted(store.text())},
                                {"seed_nodes", seeds},
                                {"limits.cores", "1"},
                                {"limits.cpu_share", "0.25"},
                                {"bounds.retry_budget_ratio", "0.2"},
                                {"bounds.retry_budget_extra", "56"},
                                {"bounds.budget_window_s", "10"},
                                {"bootstrap", isFirstStart ? "true" : "false"},
                                {"bounds.drain_ms", "3000"},
                                {"bounds.grace_period_s", "6"},
                                {"bounds.ttl_max_s", "5"}};
        std::ofstream(settingsPath()) << fillIn(readFile("deploy/settings.json"), settings);
    }
    /// @return false if the program could not be started
    bool start()
    {
        const std::string program = "target/geraniumcart-gateway";
        const std::string variable = "GERANIUMCART_NODE_FILE=" + settingsPath();
        const std::string log = m_folder + '/' + m_name + ".log";
        char *const environment[] = {const_cast<char *>(variable.c_str()), nullptr};
        char *const arguments[] = {const_cast<char *>(program.c_str()), nullptr};
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        for (const int descriptor : {STDOUT_FILENO, STDERR_FILENO})
            posix_spawn_file_actions_addopen(&actions, descriptor, log.c_str(),
                                             O_WRONLY | O_CREAT | O_APPEND, 0644);
        const int error =
                posix_spawn(&m_process, program.c_str(), &actions, nullptr, arguments, environment);
        posix_spawn_file_actions_destroy(&actions);
        if (error != 0)
            m_process = 0;
        else
            replaceRunning(0, m_process);
        return error == 0;
    }
    void signal(int number) const
    {
        if (m_process > 0)
            ::kill(m_process, number);
    }
    /// Ends the process and waits for it.
    void end()
    {
        if (m_process <= 0)
            return;
        ::kill(m_process, SIGKILL);
        ::waitpid(m_process, nullptr, 0);
        replaceRunning(m_process, 0);
        m_process = 0;
    }
    /// @return the wait status if the process has ended by itself
    std::optional<int> ended()
    {
        int status = 0;
        if (m_process <= 0 || ::waitpid(m_process, &status, WNOHANG) != m_process)
            return std::nullopt;
        replaceRunning(m_process, 0);
        m_process = 0;
        return status;
    }
    bool isReady() const
    {
        return call(ready, "GET /api/readiness HTTP/1.1\r\nHost: " + ready.text() + "\r\n\r\n",
                    Seconds(1))
                       .status == 200;
    }
    const std::string &name() const { return m_name; }
    pid_t process() const { return m_process; }

private:
    std::string settingsPath() const { return m_folder + '/' + m_name + ".json"; }

    const std::string m_name;
    const std::string m_ip;
    const std::string m_zone;
    const std::string m_folder;
    pid_t m_process = 0;

public:
    const Address front;
    const Address ready;
    const Address control;
    const Address directory;
};

/// Waits until all are ready. @return false after @p limit
inline bool awaitReady(const std::vector<std::unique_ptr<Gateway>> &gateways, Seconds limit)
{
    const auto until = Clock::now() + std::chrono::duration_cast<Clock::duration>(limit);
    while (Clock::now() < until) {
        if (std::all_of(gateways.begin(), gateways.end(),
                        [](const auto &gateway) { return gateway->isReady(); }))
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    return false;
}

} // namespace review3
