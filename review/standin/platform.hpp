#pragma once

#include "http.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <array>
#include <atomic>
#include <csignal>
#include <cstdint>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <optional>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>
#include <vector>

namespace review {

namespace json = boost::json;

/// @return a loopback address for this process
inline std::string loopbackHost()
{
    const auto process = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(1 + process / 250 % 250) + '.' +
           std::to_string(1 + process % 250) + ".1";
}

/// Writes record.txt. Times are in milliseconds since the start.
class Record
{
public:
    explicit Record(const std::string &path)
        : m_file(path)
        , m_start(Clock::now())
    {
        if (!m_file)
            throw std::runtime_error("cannot write " + path);
    }
    std::int64_t now() const
    {
        return std::chrono::duration_cast<milliseconds>(Clock::now() - m_start).count();
    }
    void write(const std::string &line)
    {
        m_file << now() << " ms  " << line << '\n' << std::flush;
        std::cout << now() << " ms  " << line << '\n' << std::flush;
    }

private:
    std::ofstream m_file;
    Clock::time_point m_start;
};

/// Stand-in for the platform's store: objects by kind with one revision counter, lists in pages,
/// watches that wait, and statuses with a revision as condition.
class Store
{
public:
    Store(asio::io_context &context, const std::string &host)
        : m_context(context)
        , m_server(context, host, [this](const auto &session) { onRequest(session); })
    {
    }

    std::string address() const { return m_server.address; }
    /// Creates or replaces an object, and acknowledges it by returning.
    void put(const std::string &kind, const std::string &name, json::object spec)
    {
        Object &object = m_objects[kind][name];
        if (object.created == 0 || object.isDeleted)
            object.created = m_revision + 1;
        object.isDeleted = false;
        object.spec = std::move(spec);
        object.revision = ++m_revision;
        notify();
    }
    void remove(const std::string &kind, const std::string &name)
    {
        Object &object = m_objects[kind][name];
        object.isDeleted = true;
        object.revision = ++m_revision;
        notify();
    }
    json::value status(const std::string &kind, const std::string &name)
    {
        return m_objects[kind][name].status;
    }
    /// Called for each accepted status.
    std::function<void(const std::string &kind, const std::string &name, const json::value &status)>
            onStatus;

private:
    struct Object
    {
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        bool isDeleted = false;
        json::object spec;
        json::value status;
    };
    struct Watch
    {
        std::shared_ptr<Session> session;
        std::string kind;
        std::uint64_t revision = 0;
        asio::steady_timer timer;
    };

    static json::object encode(const std::string &name, const Object &object)
    {
        return {{"meta",
                 {{"name", name},
                  {"revision", object.revision},
                  {"create_revision", object.created},
                  {"finalizers", json::array()},
                  {"deleting", false}}},
                {"spec", object.spec},
                {"status", object.status}};
    }
    static std::string jsonAnswer(int status, const json::value &body)
    {
        return httpText(status, "Content-Type: application/json\r\n", json::serialize(body));
    }
    static std::string parameter(const std::string &target, const std::string &name)
    {
        std::size_t at = target.find('?');
        while (at != std::string::npos) {
            const std::size_t end = target.find('&', at + 1);
            const std::string part = target.substr(at + 1, end - at - 1);
            if (part.starts_with(name + "="))
                return part.substr(name.size() + 1);
            at = end;
        }
        return {};
    }

    void onRequest(const std::shared_ptr<Session> &session)
    {
        const std::string &head = session->head;
        const std::size_t space = head.find(' ');
        const std::string method = head.substr(0, space);
        const std::string target = head.substr(space + 1, head.find(' ', space + 1) - space - 1);
        constexpr std::string_view Prefix = "/api/objects/";
        if (!target.starts_with(Prefix)) {
            session->answer(jsonAnswer(404, json::object()));
            return;
        }
        const std::string path = target.substr(Prefix.size(), target.find('?') - Prefix.size());
        const std::size_t slash = path.find('/');
        const std::string kind = path.substr(0, slash);
        if (method == "GET" && slash == std::string::npos) {
            const std::string watched = parameter(target, "watch");
            if (watched.empty())
                list(session, kind, parameter(target, "after"));
            else
                watch(session, kind, std::strtoull(watched.c_str(), nullptr, 10),
                      milliseconds(
                              std::strtoul(parameter(target, "wait_ms").c_str(), nullptr, 10)));
            return;
        }
        if (method == "PUT" && path.ends_with("/status")) {
            putStatus(session, kind, path.substr(slash + 1, path.size() - slash - 8));
            return;
        }
        session->answer(jsonAnswer(404, json::object()));
    }

    void list(const std::shared_ptr<Session> &session, const std::string &kind,
              const std::string &after)
    {
        constexpr std::size_t PageSize = 500;
        json::array items;
        bool hasMore = false;
        for (const auto &[name, object] : m_objects[kind]) {
            if (object.isDeleted || name <= after)
                continue;
            if (items.size() == PageSize) {
                hasMore = true;
                break;
            }
            items.push_back(encode(name, object));
        }
        session->answer(jsonAnswer(200, json::object{{"items", std::move(items)},
                                                     {"has_more", hasMore},
                                                     {"current_rev", m_revision}}));
    }

    void watch(const std::shared_ptr<Session> &session, const std::string &kind,
               std::uint64_t revision, milliseconds wait)
    {
        if (answerWatch(session, kind, revision, wait.count() == 0))
            return;
        const auto watch = std::make_shared<Watch>(
                Watch{session, kind, revision, asio::steady_timer(m_context)});
        m_watches.push_back(watch);
        watch->timer.expires_after(wait);
        watch->timer.async_wait([this, watch](Error error) {
            // The watch may have been answered since the timer expired.
            if (error || std::erase(m_watches, watch) == 0)
                return;
            answerWatch(watch->session, watch->kind, watch->revision, true);
        });
    }
    /// @return false if there is nothing to say yet
    bool answerWatch(const std::shared_ptr<Session> &session, const std::string &kind,
                     std::uint64_t revision, bool isDue)
    {
        json::array events;
        for (const auto &[name, object] : m_objects[kind])
            if (object.revision > revision)
                events.push_back(json::object{{"deleted", object.isDeleted},
                                              {"object", encode(name, object)}});
        if (events.empty() && !isDue)
            return false;
        session->answer(jsonAnswer(
                200, json::object{{"events", std::move(events)}, {"current_rev", m_revision}}));
        return true;
    }
    void notify()
    {
        std::erase_if(m_watches, [this](const std::shared_ptr<Watch> &watch) {
            if (!answerWatch(watch->session, watch->kind, watch->revision, false))
                return false;
            watch->timer.cancel();
            return true;
        });
    }

    void putStatus(const std::shared_ptr<Session> &session, const std::string &kind,
                   const std::string &name)
    {
        Error error;
        const json::value body = json::parse(session->body, error);
        Object &object = m_objects[kind][name];
        if (error || object.revision == 0 || object.isDeleted) {
            session->answer(jsonAnswer(404, json::object()));
            return;
        }
        if (body.at("meta").at("revision").to_number<std::uint64_t>() != object.revision) {
            session->answer(jsonAnswer(409, encode(name, object)));
            return;
        }
        if (object.status != body.at("status")) {
            object.status = body.at("status");
            object.revision = ++m_revision;
            if (onStatus)
                onStatus(kind, name, object.status);
        }
        session->answer(jsonAnswer(200, encode(name, object)));
        notify();
    }

    asio::io_context &m_context;
    std::map<std::string, std::map<std::string, Object>> m_objects;
    std::uint64_t m_revision = 10;
    std::vector<std::shared_ptr<Watch>> m_watches;
    Server m_server;
};

/// Stand-in for a searcher. The case decides what it does with a request.
class Searcher
{
public:
    using Handler = std::function<void(Searcher &searcher, const std::shared_ptr<Session> &session,
                                       const std::string &requestId)>;

    Searcher(asio::io_context &context, const std::string &host, std::string ownService,
             std::string ownId, std::string ownZone, Record &record, Handler handler)
        : service(std::move(ownService))
        , id(std::move(ownId))
        , zone(std::move(ownZone))
        , m_context(context)
        , m_record(record)
        , m_handler(std::move(handler))
        , m_server(context, host, [this](const auto &session) { onRequest(session); })
        , m_born(std::chrono::duration_cast<milliseconds>(
                         std::chrono::system_clock::now().time_since_epoch())
                         .count())
    {
    }

    std::string address() const { return m_server.address; }
    json::object entry(const std::string &state)
    {
        return {{"service", service},  {"address", m_server.address},
                {"zone", zone},        {"config_version", "v1"},
                {"slots", 3},          {"state", state},
                {"warmup_left_ms", 0}, {"sequence_number", ++m_sequence},
                {"born", m_born}};
    }
    /// Answers with success after @p time, unless the searcher ended or the connection was closed.
    void run(const std::shared_ptr<Session> &session, const std::string &requestId,
             milliseconds time)
    {
        m_record.write("request " + requestId + " runs at " + id + " for " +
                       std::to_string(time.count()) + " ms");
        auto timer = std::make_shared<asio::steady_timer>(m_context);
        timer->expires_after(time);
        timer->async_wait([this, timer, session, requestId](Error) {
            if (isEnded)
                return;
            m_record.write(id + " answers " + requestId);
            const std::string body = "result of " + requestId;
            session->answer(httpText(200,
                                     "Request-Id: " + requestId + "\r\nServer-Stamp: " + id + "." +
                                             requestId + "\r\nServer-Load: 0,0,2\r\n" +
                                             (isLeaving ? "Server-Leaving: 1\r\n" : ""),
                                     body));
        });
    }
    void refuse(const std::shared_ptr<Session> &session, const std::string &requestId,
                const std::string &fields = {})
    {
        session->answer(httpText(503,
                                 "Request-Id: " + requestId +
                                         "\r\nNot-Executed: 1\r\nServer-Load: 2,12,2\r\n" + fields +
                                         (isLeaving ? "Server-Leaving: 1\r\n" : ""),
                                 ""));
    }
    /// Ends the searcher as the end of its process does: connections are reset.
    void end()
    {
        isEnded = true;
        m_server.stop();
    }

    const std::string service;
    const std::string id;
    const std::string zone;
    bool isEnded = false;
    bool isLeaving = false;

private:
    void onRequest(const std::shared_ptr<Session> &session)
    {
        const std::string requestId = headerValue(session->head, "Request-Id");
        const std::string expected = headerValue(session->head, "Expected-Instance");
        if (!expected.empty() && expected != id) {
            session->answer(httpText(
                    421, "Request-Id: " + requestId + "\r\nInstance-Id: " + id + "\r\n", ""));
            return;
        }
        m_handler(*this, session, requestId);
    }

    asio::io_context &m_context;
    Record &m_record;
    Handler m_handler;
    Server m_server;
    std::int64_t m_born;
    std::uint64_t m_sequence = 0;
};

/// Processes that were started and have not been waited for, for the signal handler.
inline std::array<std::atomic<pid_t>, 16> startedProcesses{};

/// Ends all processes that were started if a signal ends this one.
inline void endProcessesOnSignal()
{
    for (const int signal : {SIGTERM, SIGINT, SIGHUP, SIGSEGV, SIGABRT})
        std::signal(signal, [](int) {
            for (const auto &process : startedProcesses)
                if (const pid_t id = process.load(); id > 0)
                    ::kill(id, SIGKILL);
            ::_exit(2);
        });
}

inline void replaceStarted(pid_t from, pid_t to)
{
    for (auto &process : startedProcesses) {
        pid_t expected = from;
        if (process.compare_exchange_strong(expected, to))
            return;
    }
}

/// Figures of the settings that a small deployment of our pages has.
struct GatewayOptions
{
    std::string program = "target/geraniumcart-gateway";
    std::string folder;
    std::string host;
    bool isFirstStart = true;
};

/// A gateway process, started with the command and the settings template of the deploy file.
class Gateway
{
public:
    Gateway(asio::io_context &context, const GatewayOptions &options, std::string ownName,
            std::string ownZone)
        : name(std::move(ownName))
        , zone(std::move(ownZone))
        , m_options(options)
    {
        // Ports that were chosen before are not chosen again. They are below the range from which
        // the system takes the ports of outgoing connections.
        static std::uint16_t port = 10000 + static_cast<std::uint16_t>(::getpid() % 200) * 100;
        for (std::string *address : {&callers, &directory, &ready, &metrics, &peers}) {
            const auto host = asio::ip::make_address(options.host);
            Error error;
            do {
                Tcp::acceptor acceptor(context);
                acceptor.open(Tcp::v4());
                acceptor.bind(Tcp::endpoint(host, ++port), error);
            } while (error);
            *address = options.host + ":" + std::to_string(port);
        }
    }
    ~Gateway() { kill(SIGKILL); }
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    void start(const std::string &store, const std::vector<std::string> &seeds)
    {
        json::array seedList;
        for (const std::string &seed : seeds)
            seedList.push_back(json::value(seed));
        const json::object settings{{"name", name},
                                    {"availabilityZone", zone},
                                    {"callerAddress", callers},
                                    {"directoryAddress", directory},
                                    {"readyAddress", ready},
                                    {"metricsAddress", metrics},
                                    {"peerAddress", peers},
                                    {"storeAddress", store},
                                    {"seeds", seedList},
                                    {"cores", 1},
                                    {"processorShare", 0.25},
                                    {"retryShare", 0.2},
                                    {"retryExtra", 54},
                                    {"retryWindowSeconds", 10},
                                    {"firstStart", m_options.isFirstStart},
                                    {"searcherDrainMs", 3000},
                                    {"stopGraceSeconds", 6},
                                    {"entriesValidSeconds", 5},
                                    {"callerRoundTripMs", 6}};
        const std::string settingsFile = m_options.folder + "/" + name + ".json";
        std::ofstream(settingsFile) << json::serialize(settings);
        const std::string log = m_options.folder + "/" + name + ".log";
        const std::string variable = "GERANIUMCART_NODE_FILE=" + settingsFile;
        char *const environment[] = {const_cast<char *>(variable.c_str()), nullptr};
        char *const arguments[] = {const_cast<char *>(m_options.program.c_str()), nullptr};
        posix_spawn_file_actions_t actions;
        ::posix_spawn_file_actions_init(&actions);
        for (const int descriptor : {STDOUT_FILENO, STDERR_FILENO})
            ::posix_spawn_file_actions_addopen(&actions, descriptor, log.c_str(),
                                               O_WRONLY | O_CREAT | O_APPEND, 0644);
        const int failed =
                ::posix_spawn(&process, arguments[0], &actions, nullptr, arguments, environment);
        ::posix_spawn_file_actions_destroy(&actions);
        if (failed != 0) {
            process = 0;
            throw std::runtime_error("cannot start " + m_options.program);
        }
        replaceStarted(0, process);
    }
    /// Sends a signal, and waits for the end of the process after SIGKILL.
    void kill(int signal)
    {
        if (process <= 0)
            return;
        ::kill(process, signal);
        if (signal != SIGKILL)
            return;
        ::waitpid(process, nullptr, 0);
        replaceStarted(process, 0);
        process = 0;
    }
    bool isRunning() const { return process > 0 && ::waitpid(process, nullptr, WNOHANG) == 0; }

    const std::string name;
    const std::string zone;
    std::string callers;
    std::string directory;
    std::string ready;
    std::string metrics;
    std::string peers;
    pid_t process = 0;

private:
    GatewayOptions m_options;
};

} // namespace review
