#pragma once

// Stand-ins for the platform's store, searchers and callers, and a starter of gateway processes.
// All of them use loopback addresses and the real clock. Every function blocks; each server runs
// one thread per connection.

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <thread>
#include <utility>
#include <vector>

namespace standins {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;
using Milliseconds = std::chrono::milliseconds;

/// The case cannot run, for example because an address is taken.
struct CannotRun
{
    std::string reason;
};

/// Writes lines with the time since the start of the case. Thread-safe.
class Record
{
public:
    explicit Record(const std::string &path);
    void line(const std::string &text);
    /// Writes a line with the time of an event that lies in the past.
    void event(TimePoint time, const std::string &text);
    /// Seconds from the start of the case to @p time.
    double seconds(TimePoint time) const;

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    const TimePoint m_start = Clock::now();
};

struct Message
{
    std::string startLine;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    /// @return the value of the first field of this name, in any case of letters
    std::optional<std::string> field(std::string_view name) const;
    std::string method() const;
    std::string target() const;
    int status() const;
};

enum class ReadResult { Message, Closed, Incomplete, TimedOut, NotHttp };
const char *toString(ReadResult result);

/// One connection with HTTP/1.1 messages. Closes its descriptor.
class Stream
{
public:
    explicit Stream(int descriptor);
    ~Stream();
    Stream(const Stream &) = delete;
    Stream &operator=(const Stream &) = delete;

    ReadResult readRequest(Message &message, TimePoint until);
    /// @param isHead true for the answer to a HEAD request, which has no body
    ReadResult readAnswer(Message &message, bool isHead, TimePoint until);
    bool write(const std::string &bytes);
    /// Bytes that arrive until @p until without being read as a message.
    std::string rawBytes(TimePoint until);
    /// True if the peer has closed or reset the connection.
    bool isPeerGone();
    /// Makes all later reads and writes fail. May be called from another thread.
    void shutdown();
    /// Closes with a reset.
    void reset();

private:
    bool fill(TimePoint until, bool &timedOut);
    ReadResult readHead(Message &message, TimePoint until);
    ReadResult readBody(Message &message, bool mayEndWithConnection, TimePoint until);

    const int m_descriptor;
    std::string m_buffer;
};

/// Address in the form IP:port.
using Address = std::string;

/// @return a connection, or null if it was refused or not established in time
std::unique_ptr<Stream> connectTo(const Address &address, Duration timeout);

/// Accepts connections and runs a handler for each on a thread of its own.
class Server
{
public:
    using Handler = std::function<void(Stream &)>;
    /// @throw CannotRun if the address cannot be bound
    Server(const Address &address, Handler handler);
    ~Server();
    /// Stops accepting, closes all connections and waits for the handlers.
    void stop();
    /// Accepts no further connections.
    void stopAccepting();

private:
    void run();

    int m_listener = -1;
    Handler m_handler;
    std::mutex m_mutex;
    std::set<Stream *> m_open;
    std::vector<std::thread> m_threads;
    std::thread m_acceptThread;
    std::atomic<bool> m_isStopped{false};
};

/// A group of loopback addresses that no other run uses.
class Addresses
{
public:
    Addresses();
    /// @return address of host @p host, 1 to 250, with this port
    Address of(int host, int port) const;
    std::string ip(int host) const;

private:
    std::string m_prefix;
};

/// The platform's store: objects by kind and name, lists, watches, and changes of a status.
class Store
{
public:
    Store(const Address &address, Record &record);

    /// Creates or replaces the spec of an object. @return time of the acknowledgement
    TimePoint put(const std::string &kind, const std::string &name, const std::string &spec);
    TimePoint remove(const std::string &kind, const std::string &name);
    /// @return the status of an object as JSON; empty if it has none
    std::string status(const std::string &kind, const std::string &name);
    void stop();

private:
    struct Object
    {
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::string spec = "null";
        std::string status = "null";
    };
    struct Event
    {
        std::uint64_t revision = 0;
        std::string kind;
        std::string text;
    };

    void serve(Stream &stream);
    std::string answer(const Message &request, int &status);
    std::string list(const std::string &kind);
    std::string watch(const std::string &kind, std::uint64_t since, Duration wait);
    std::string putStatus(const std::string &kind, const std::string &name, const std::string &body,
                          int &status);
    static std::string text(const std::string &name, const Object &object);
    void addEvent(const std::string &kind, const std::string &name, const Object &object,
                  bool isDeleted);

    Record &m_record;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, Object>> m_objects;
    std::vector<Event> m_events;
    std::uint64_t m_revision = 100;
    std::atomic<bool> m_isStopping{false};
    Server m_server;
};

/// A request as it reached a searcher.
struct Arrival
{
    TimePoint at{};
    std::string searcher;
    std::string requestId;
    std::string method;
    std::string target;
    std::string body;
    /// True once the searcher began to work on it.
    bool hasRun = false;
    /// How the searcher ended it: "answered", "not executed", "other instance", "dropped" or
    /// "cut by the end of the searcher"; empty while it is open.
    std::string end;
    TimePoint endedAt{};
};

/// Everything that reached any searcher. Thread-safe.
class Arrivals
{
public:
    std::size_t add(Arrival arrival);
    void setRun(std::size_t index);
    void setEnd(std::size_t index, const std::string &end);
    std::vector<Arrival> all();

private:
    std::mutex m_mutex;
    std::vector<Arrival> m_arrivals;
};

struct SearcherOptions
{
    std::string id;
    std::string service;
    std::string zone;
    std::string version = "v1";
    Address address;
    int slots = 2;
    int queue = 12;
    Duration work = Milliseconds(160);
    /// Time for which it reports itself cold after its start.
    Duration cold{};
};

/// One searcher. It runs `slots` requests at a time, queues `queue` more and rejects the rest with
/// Not-Executed. It drops a request whose connection closes.
class Searcher
{
public:
    Searcher(SearcherOptions options, Store &store, Arrivals &arrivals, Record &record);
    ~Searcher();

    /// Makes it answer every other request with 500.
    void setBad() { m_isBad = true; }
    /// Reports itself cold for this long from now on.
    TimePoint becomeCold(Duration time);
    /// Ends as a killed process does: all connections are reset, and new ones are refused. The
    /// store keeps the entry.
    void crash();
    const std::string &id() const { return m_options.id; }

private:
    void serve(Stream &stream);
    void run(Stream &stream, const Message &request);
    /// @return false if the connection was closed or the searcher ended meanwhile
    bool work(Stream &stream);
    bool waitForSlot(Stream &stream);
    TimePoint writeEntry();
    void heartbeat();

    const SearcherOptions m_options;
    Store &m_store;
    Arrivals &m_arrivals;
    Record &m_record;
    const std::int64_t m_born;
    std::mutex m_mutex;
    int m_running = 0;
    int m_waiting = 0;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_answers = 0;
    bool m_isRegistered = true;
    TimePoint m_coldUntil{};
    std::atomic<bool> m_isEnded{false};
    std::atomic<bool> m_isDestroyed{false};
    std::atomic<bool> m_isBad{false};
    std::thread m_heartbeat;
    std::unique_ptr<Server> m_server;
};

/// Machines that run the gateway with the command and the settings template of the deploy file.
class Gateways
{
public:
    struct Machine
    {
        std::string name;
        std::string zone;
        Address front;
        Address ready;
        Address directory;
        pid_t process = -1;
    };

    /// @param zones zone of each machine
    Gateways(const Addresses &addresses, const std::vector<std::string> &zones,
             const Address &store, Record &record);
    ~Gateways();

    void start(std::size_t index, bool isFirstStart);
    void kill(std::size_t index);
    /// Waits until all machines are ready and each names all of them in its directory.
    /// @throw CannotRun after @p timeout
    void awaitReady(Duration timeout);
    const std::vector<Machine> &machines() const { return m_machines; }
    /// Folder with the settings and logs, which is removed at the end.
    const std::string &folder() const { return m_folder; }

private:
    std::string settings(std::size_t index, bool isFirstStart) const;

    Record &m_record;
    std::vector<Machine> m_machines;
    std::vector<std::string> m_ips;
    Address m_store;
    std::string m_seeds;
    std::string m_folder;
};

/// @return an id that no other request has
std::string newRequestId();
void sleepUntil(TimePoint time);
/// @return true unless the environment variable TROUBLE is 0
bool hasTrouble();
std::string format(const char *pattern, ...) __attribute__((format(printf, 1, 2)));

} // namespace standins
