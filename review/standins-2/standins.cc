#include "standins.hh"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <csignal>
#include <cstdarg>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace standins {

namespace {

constexpr int FrontPort = 8104;
constexpr int ReadyPort = 8108;
constexpr int ControlPort = 8106;
constexpr int DirectoryPort = 8100;
/// Number of the first machine in a group of addresses.
constexpr int FirstMachineHost = 10;
constexpr Milliseconds HeartbeatInterval{1200};
/// Number of missing heartbeats after which the entry of a searcher is removed.
constexpr int SilentHeartbeats = 3;
/// Interval at which a wait checks whether its connection has closed.
constexpr Milliseconds PollInterval{5};
constexpr Milliseconds ServerReadTimeout{60000};

std::string lower(std::string_view text)
{
    std::string result(text);
    std::ranges::transform(result, result.begin(),
                           [](unsigned char letter) { return std::tolower(letter); });
    return result;
}

std::string trimmed(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
        return {};
    return std::string(text.substr(first, text.find_last_not_of(" \t\r") - first + 1));
}

sockaddr_in socketAddress(const Address &address)
{
    const std::size_t colon = address.find(':');
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
    return result;
}

int millisecondsUntil(TimePoint time)
{
    const auto left = std::chrono::ceil<Milliseconds>(time - Clock::now()).count();
    return static_cast<int>(std::clamp<std::int64_t>(left, 0, 60000));
}

/// @return the value of a parameter in the query of @p target
std::optional<std::string> parameter(const std::string &target, const std::string &name)
{
    std::stringstream query(target.find('?') == std::string::npos
                                    ? std::string()
                                    : target.substr(target.find('?') + 1));
    for (std::string pair; std::getline(query, pair, '&');)
        if (pair.starts_with(name + '='))
            return pair.substr(name.size() + 1);
    return std::nullopt;
}

/// @return the text of the JSON value of @p name in an object; only for the bodies of one writer,
/// whose layout is known
std::string jsonValue(const std::string &object, const std::string &name)
{
    std::size_t at = object.find('"' + name + "\":");
    if (at == std::string::npos)
        return {};
    at += name.size() + 3;
    int depth = 0;
    std::size_t end = at;
    for (bool isText = false; end < object.size(); ++end) {
        const char letter = object[end];
        if (letter == '"' && object[end - 1] != '\\')
            isText = !isText;
        if (isText)
            continue;
        if (letter == '{' || letter == '[')
            ++depth;
        if ((letter == '}' || letter == ']') && depth-- == 0)
            break;
        if (letter == ',' && depth == 0)
            break;
    }
    return object.substr(at, end - at);
}

std::string answerText(int status, const std::string &fields, const std::string &body)
{
    return format("HTTP/1.1 %d %s\r\n%sContent-Length: %zu\r\n\r\n", status,
                  status < 300 ? "OK" : "Failed", fields.c_str(), body.size()) +
           body;
}

} // namespace

std::string format(const char *pattern, ...)
{
    va_list list;
    va_start(list, pattern);
    std::array<char, 4096> text{};
    vsnprintf(text.data(), text.size(), pattern, list);
    va_end(list);
    return text.data();
}

void sleepUntil(TimePoint time)
{
    std::this_thread::sleep_until(time);
}

bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return !value || std::string_view(value) != "0";
}

std::string newRequestId()
{
    static std::atomic<std::uint64_t> last{0};
    static const std::uint64_t Base = std::random_device{}();
    return format("%08llx%08llx", static_cast<unsigned long long>(Base),
                  static_cast<unsigned long long>(++last));
}

Record::Record(const std::string &path)
    : m_file(path, std::ios::trunc)
{
}

void Record::line(const std::string &text)
{
    const std::lock_guard lock(m_mutex);
    m_file << format("%9.3f s  ", seconds(Clock::now())) << text << std::endl;
}

void Record::event(TimePoint time, const std::string &text)
{
    const std::lock_guard lock(m_mutex);
    m_file << format("%9.3f s  ", seconds(time)) << text << '\n';
}

double Record::seconds(TimePoint time) const
{
    return std::chrono::duration<double>(time - m_start).count();
}

std::optional<std::string> Message::field(std::string_view name) const
{
    for (const auto &[key, value] : fields)
        if (lower(key) == lower(name))
            return value;
    return std::nullopt;
}

std::string Message::method() const
{
    return startLine.substr(0, startLine.find(' '));
}

std::string Message::target() const
{
    const std::size_t first = startLine.find(' ') + 1;
    return startLine.substr(first, startLine.find(' ', first) - first);
}

int Message::status() const
{
    return startLine.size() > 11 ? std::atoi(startLine.substr(9, 3).c_str()) : 0;
}

const char *toString(ReadResult result)
{
    switch (result) {
    case ReadResult::Message:
        return "message";
    case ReadResult::Closed:
        return "closed";
    case ReadResult::Incomplete:
        return "incomplete";
    case ReadResult::TimedOut:
        return "timed out";
    case ReadResult::NotHttp:
        return "bytes that are no answer";
    }
    return "unknown";
}

Stream::Stream(int descriptor)
    : m_descriptor(descriptor)
{
    const int on = 1;
    setsockopt(m_descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

Stream::~Stream()
{
    ::close(m_descriptor);
}

bool Stream::fill(TimePoint until, bool &timedOut)
{
    pollfd waiting{m_descriptor, POLLIN, 0};
    if (::poll(&waiting, 1, millisecondsUntil(until)) <= 0) {
        timedOut = true;
        return false;
    }
    std::array<char, 65536> bytes;
    const ssize_t count = ::recv(m_descriptor, bytes.data(), bytes.size(), 0);
    if (count <= 0)
        return false;
    m_buffer.append(bytes.data(), static_cast<std::size_t>(count));
    return true;
}

ReadResult Stream::readHead(Message &message, TimePoint until)
{
    bool timedOut = false;
    while (m_buffer.find("\r\n\r\n") == std::string::npos) {
        if (m_buffer.size() > 16 && !message.startLine.empty())
            return ReadResult::NotHttp;
        if (!fill(until, timedOut))
            return timedOut           ? ReadResult::TimedOut
                   : m_buffer.empty() ? ReadResult::Closed
                                      : ReadResult::Incomplete;
    }
    const std::size_t end = m_buffer.find("\r\n\r\n");
    std::stringstream head(m_buffer.substr(0, end));
    m_buffer.erase(0, end + 4);
    message = Message();
    std::getline(head, message.startLine);
    message.startLine = trimmed(message.startLine);
    for (std::string line; std::getline(head, line);)
        if (const std::size_t colon = line.find(':'); colon != std::string::npos)
            message.fields.emplace_back(line.substr(0, colon), trimmed(line.substr(colon + 1)));
    return ReadResult::Message;
}

ReadResult Stream::readBody(Message &message, bool mayEndWithConnection, TimePoint until)
{
    bool timedOut = false;
    const auto length = message.field("Content-Length");
    if (!length && !mayEndWithConnection)
        return ReadResult::Message;
    const std::size_t wanted = length ? std::stoul(*length) : std::string::npos;
    while (m_buffer.size() < wanted) {
        if (fill(until, timedOut))
            continue;
        if (timedOut)
            return ReadResult::TimedOut;
        if (length)
            return ReadResult::Incomplete;
        break;
    }
    message.body = m_buffer.substr(0, wanted);
    m_buffer.erase(0, message.body.size());
    return ReadResult::Message;
}

ReadResult Stream::readRequest(Message &message, TimePoint until)
{
    const ReadResult head = readHead(message, until);
    return head == ReadResult::Message ? readBody(message, false, until) : head;
}

ReadResult Stream::readAnswer(Message &message, bool isHead, TimePoint until)
{
    // The start of an answer shows at once whether it is one.
    constexpr std::string_view Start = "HTTP/1.";
    bool timedOut = false;
    while (m_buffer.size() < Start.size())
        if (!fill(until, timedOut))
            return timedOut           ? ReadResult::TimedOut
                   : m_buffer.empty() ? ReadResult::Closed
                                      : ReadResult::NotHttp;
    if (!m_buffer.starts_with(Start))
        return ReadResult::NotHttp;
    const ReadResult head = readHead(message, until);
    if (head != ReadResult::Message)
        return head;
    const int status = message.status();
    if (isHead || status == 204 || status == 304)
        return head;
    return readBody(message, true, until);
}

bool Stream::write(const std::string &bytes)
{
    std::size_t written = 0;
    while (written < bytes.size()) {
        const ssize_t count =
                ::send(m_descriptor, bytes.data() + written, bytes.size() - written, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        written += static_cast<std::size_t>(count);
    }
    return true;
}

std::string Stream::rawBytes(TimePoint until)
{
    bool timedOut = false;
    while (fill(until, timedOut)) {
    }
    return std::exchange(m_buffer, {});
}

bool Stream::isPeerGone()
{
    pollfd state{m_descriptor, POLLRDHUP, 0};
    return ::poll(&state, 1, 0) > 0;
}

void Stream::shutdown()
{
    ::shutdown(m_descriptor, SHUT_RDWR);
}

void Stream::reset()
{
    const linger now{1, 0};
    setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &now, sizeof now);
}

std::unique_ptr<Stream> connectTo(const Address &address, Duration timeout)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    auto stream = std::make_unique<Stream>(descriptor);
    const sockaddr_in peer = socketAddress(address);
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&peer), sizeof peer) != 0) {
        pollfd waiting{descriptor, POLLOUT, 0};
        int error = 0;
        socklen_t size = sizeof error;
        if (errno != EINPROGRESS ||
            ::poll(&waiting, 1, millisecondsUntil(Clock::now() + timeout)) <= 0 ||
            getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0)
            return nullptr;
    }
    fcntl(descriptor, F_SETFL, 0);
    return stream;
}

Server::Server(const Address &address, Handler handler)
    : m_handler(std::move(handler))
{
    m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in own = socketAddress(address);
    if (::bind(m_listener, reinterpret_cast<const sockaddr *>(&own), sizeof own) != 0 ||
        ::listen(m_listener, 512) != 0)
        throw CannotRun{address + ": " + std::strerror(errno)};
    m_acceptThread = std::thread([this] { run(); });
}

Server::~Server()
{
    stop();
}

void Server::run()
{
    while (!m_isStopped) {
        const int descriptor = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0)
            return;
        const std::lock_guard lock(m_mutex);
        m_threads.emplace_back([this, descriptor] {
            Stream stream(descriptor);
            {
                const std::lock_guard openLock(m_mutex);
                m_open.insert(&stream);
            }
            if (!m_isStopped)
                m_handler(stream);
            const std::lock_guard openLock(m_mutex);
            m_open.erase(&stream);
        });
    }
}

void Server::stopAccepting()
{
    m_isStopped = true;
    ::shutdown(m_listener, SHUT_RDWR);
    if (m_acceptThread.joinable())
        m_acceptThread.join();
    if (m_listener >= 0)
        ::close(std::exchange(m_listener, -1));
}

void Server::stop()
{
    stopAccepting();
    {
        const std::lock_guard lock(m_mutex);
        for (Stream *stream : m_open)
            stream->shutdown();
    }
    for (std::thread &thread : m_threads)
        thread.join();
    m_threads.clear();
}

Addresses::Addresses()
{
    std::random_device random;
    m_prefix = format("127.%u.%u.", 16 + random() % 200, random() % 250);
}

std::string Addresses::ip(int host) const
{
    return m_prefix + std::to_string(host);
}

Address Addresses::of(int host, int port) const
{
    return ip(host) + ':' + std::to_string(port);
}

Store::Store(const Address &address, Record &record)
    : m_record(record)
    , m_server(address, [this](Stream &stream) { serve(stream); })
{
}

void Store::stop()
{
    m_isStopping = true;
    m_changed.notify_all();
    m_server.stop();
}

std::string Store::text(const std::string &name, const Object &object)
{
    return format(R"({"meta":{"name":"%s","revision":%llu,"create_revision":%llu,)", name.c_str(),
                  static_cast<unsigned long long>(object.revision),
                  static_cast<unsigned long long>(object.created)) +
           R"("finalizers":[],"deleting":false},"spec":)" + object.spec +
           ",\"status\":" + object.status + '}';
}

void Store::addEvent(const std::string &kind, const std::string &name, const Object &object,
                     bool isDeleted)
{
    m_events.push_back({m_revision, kind,
                        std::string("{\"deleted\":") + (isDeleted ? "true" : "false") +
                                ",\"object\":" + text(name, object) + '}'});
    m_changed.notify_all();
}

TimePoint Store::put(const std::string &kind, const std::string &name, const std::string &spec)
{
    const std::lock_guard lock(m_mutex);
    Object &object = m_objects[kind][name];
    if (object.spec != spec) {
        object.spec = spec;
        object.revision = ++m_revision;
        if (object.created == 0)
            object.created = m_revision;
        addEvent(kind, name, object, false);
    }
    return Clock::now();
}

TimePoint Store::remove(const std::string &kind, const std::string &name)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_objects[kind].find(name);
    if (found != m_objects[kind].end()) {
        Object object = found->second;
        m_objects[kind].erase(found);
        object.revision = ++m_revision;
        addEvent(kind, name, object, true);
    }
    return Clock::now();
}

std::string Store::status(const std::string &kind, const std::string &name)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_objects[kind].find(name);
    return found == m_objects[kind].end() ? std::string() : found->second.status;
}

std::string Store::list(const std::string &kind)
{
    std::string items;
    for (const auto &[name, object] : m_objects[kind])
        items += (items.empty() ? "" : ",") + text(name, object);
    return "{\"items\":[" + items +
           "],\"has_more\":false,\"current_rev\":" + std::to_string(m_revision) + '}';
}

std::string Store::watch(const std::string &kind, std::uint64_t since, Duration wait)
{
    std::unique_lock lock(m_mutex);
    std::string events;
    const auto collect = [&] {
        events.clear();
        for (const Event &event : m_events)
            if (event.kind == kind && event.revision > since)
                events += (events.empty() ? "" : ",") + event.text;
        return !events.empty() || m_isStopping;
    };
    m_changed.wait_for(lock, wait, collect);
    return "{\"events\":[" + events + "],\"current_rev\":" + std::to_string(m_revision) + '}';
}

std::string Store::putStatus(const std::string &kind, const std::string &name,
                             const std::string &body, int &status)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_objects[kind].find(name);
    if (found == m_objects[kind].end()) {
        status = 404;
        return "{}";
    }
    const std::string revision = jsonValue(jsonValue(body, "meta"), "revision");
    if (!revision.empty() && std::stoull(revision) != found->second.revision) {
        status = 409;
        return text(name, found->second);
    }
    found->second.status = jsonValue(body, "status");
    found->second.revision = ++m_revision;
    addEvent(kind, name, found->second, false);
    m_record.line("store: status of " + kind + '/' + name + " is " + found->second.status);
    return text(name, found->second);
}

std::string Store::answer(const Message &request, int &status)
{
    constexpr std::string_view Path = "/api/objects/";
    const std::string target = request.target();
    std::string path = target.substr(0, target.find('?'));
    status = 200;
    if (!path.starts_with(Path)) {
        status = 404;
        return "{}";
    }
    path.erase(0, Path.size());
    const std::string kind = path.substr(0, path.find('/'));
    if (request.method() == "PUT" && path.ends_with("/status")) {
        const std::string rest = path.substr(kind.size() + 1);
        return putStatus(kind, rest.substr(0, rest.find('/')), request.body, status);
    }
    if (request.method() != "GET" || path != kind) {
        status = 404;
        return "{}";
    }
    if (const auto since = parameter(target, "watch"))
        return watch(kind, std::stoull(*since),
                     Milliseconds(std::stoi(parameter(target, "wait_ms").value_or("0"))));
    const std::lock_guard lock(m_mutex);
    return list(kind);
}

void Store::serve(Stream &stream)
{
    Message request;
    while (stream.readRequest(request, Clock::now() + ServerReadTimeout) == ReadResult::Message) {
        int status = 0;
        const std::string body = answer(request, status);
        if (!stream.write(answerText(status, "Content-Type: application/json\r\n", body)))
            return;
    }
}

std::size_t Arrivals::add(Arrival arrival)
{
    const std::lock_guard lock(m_mutex);
    m_arrivals.push_back(std::move(arrival));
    return m_arrivals.size() - 1;
}

void Arrivals::setRun(std::size_t index)
{
    const std::lock_guard lock(m_mutex);
    m_arrivals[index].hasRun = true;
}

void Arrivals::setEnd(std::size_t index, const std::string &end)
{
    const std::lock_guard lock(m_mutex);
    m_arrivals[index].end = end;
    m_arrivals[index].endedAt = Clock::now();
}

std::vector<Arrival> Arrivals::all()
{
    const std::lock_guard lock(m_mutex);
    return m_arrivals;
}

Searcher::Searcher(SearcherOptions options, Store &store, Arrivals &arrivals, Record &record)
    : m_options(std::move(options))
    , m_store(store)
    , m_arrivals(arrivals)
    , m_record(record)
    , m_born(std::chrono::duration_cast<Milliseconds>(
                     std::chrono::system_clock::now().time_since_epoch())
                     .count())
    , m_coldUntil(Clock::now() + m_options.cold)
{
    m_server = std::make_unique<Server>(m_options.address, [this](Stream &s) { serve(s); });
    m_heartbeat = std::thread([this] { heartbeat(); });
}

Searcher::~Searcher()
{
    m_isDestroyed = true;
    m_isEnded = true;
    m_server->stop();
    m_heartbeat.join();
}

TimePoint Searcher::writeEntry()
{
    const auto cold = std::chrono::duration_cast<Milliseconds>(m_coldUntil - Clock::now()).count();
    return m_store.put(
            "servers", m_options.id,
            format(R"({"service":"%s","address":"%s","zone":"%s","config_version":"%s","slots":%d,)"
                   R"("state":"ready","warmup_left_ms":%lld,"sequence_number":%llu,"born":%lld})",
                   m_options.service.c_str(), m_options.address.c_str(), m_options.zone.c_str(),
                   m_options.version.c_str(), m_options.slots,
                   static_cast<long long>(std::max<std::int64_t>(cold, 0)),
                   static_cast<unsigned long long>(++m_sequence), static_cast<long long>(m_born)));
}

void Searcher::heartbeat()
{
    while (!m_isEnded) {
        {
            const std::lock_guard lock(m_mutex);
            if (m_isRegistered)
                writeEntry();
        }
        const TimePoint next = Clock::now() + HeartbeatInterval;
        while (!m_isEnded && Clock::now() < next)
            std::this_thread::sleep_for(PollInterval);
    }
    const TimePoint expiry = Clock::now() + SilentHeartbeats * HeartbeatInterval;
    while (!m_isDestroyed && Clock::now() < expiry)
        std::this_thread::sleep_for(PollInterval);
    if (!m_isDestroyed)
        m_store.remove("servers", m_options.id);
}

TimePoint Searcher::becomeCold(Duration time)
{
    const std::lock_guard lock(m_mutex);
    m_coldUntil = Clock::now() + time;
    return writeEntry();
}

void Searcher::crash()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isRegistered = false;
    }
    m_record.line("searcher " + m_options.id + ": crashes");
    m_isEnded = true;
    m_server->stop();
}

void Searcher::serve(Stream &stream)
{
    Message request;
    while (!m_isEnded &&
           stream.readRequest(request, Clock::now() + ServerReadTimeout) == ReadResult::Message)
        run(stream, request);
}

bool Searcher::waitForSlot(Stream &stream)
{
    while (true) {
        {
            const std::lock_guard lock(m_mutex);
            if (m_running < m_options.slots) {
                ++m_running;
                return true;
            }
        }
        if (m_isEnded || stream.isPeerGone())
            return false;
        std::this_thread::sleep_for(PollInterval);
    }
}

bool Searcher::work(Stream &stream)
{
    const TimePoint start = Clock::now();
    while (Clock::now() - start < m_options.work) {
        if (m_isEnded || stream.isPeerGone())
            return false;
        std::this_thread::sleep_for(PollInterval);
    }
    return true;
}

void Searcher::run(Stream &stream, const Message &request)
{
    const std::string id = request.field("Request-Id").value_or("");
    const std::string echo = "Request-Id: " + id + "\r\n";
    const std::size_t index = m_arrivals.add({Clock::now(),
                                              m_options.id,
                                              id,
                                              request.method(),
                                              request.target(),
                                              request.body,
                                              false,
                                              {}});
    if (request.field("Expected-Instance").value_or(m_options.id) != m_options.id) {
        m_arrivals.setEnd(index, "other instance");
        stream.write(answerText(421, echo + "Instance-Id: " + m_options.id + "\r\n", ""));
        return;
    }
    {
        std::unique_lock lock(m_mutex);
        if (m_running >= m_options.slots && m_waiting >= m_options.queue) {
            lock.unlock();
            m_arrivals.setEnd(index, "not executed");
            stream.write(answerText(503, echo + "Not-Executed: 1\r\n", ""));
            return;
        }
        ++m_waiting;
    }
    const bool hasSlot = waitForSlot(stream);
    {
        const std::lock_guard lock(m_mutex);
        --m_waiting;
    }
    bool isDone = false;
    if (hasSlot) {
        m_arrivals.setRun(index);
        isDone = work(stream);
        const std::lock_guard lock(m_mutex);
        --m_running;
    }
    if (!isDone) {
        m_arrivals.setEnd(index, m_isEnded ? "cut by the end of the searcher" : "dropped");
        return;
    }
    std::uint64_t number = 0;
    {
        const std::lock_guard lock(m_mutex);
        number = ++m_answers;
    }
    const std::string body = "record of " + request.target() + " from " + m_options.id + '\n';
    const std::string fields = echo + "Server-Stamp: " + m_options.id + '.' +
                               std::to_string(number) + "\r\nServer-Load: 0,0," +
                               std::to_string(m_options.slots) + "\r\n";
    m_arrivals.setEnd(index, "answered");
    const std::string answer = answerText(m_isBad && number % 2 == 0 ? 500 : 200, fields, body);
    stream.write(request.method() == "HEAD" ? answer.substr(0, answer.size() - body.size())
                                            : answer);
}

Gateways::Gateways(const Addresses &addresses, const std::vector<std::string> &zones,
                   const Address &store, Record &record)
    : m_record(record)
    , m_store(store)
{
    std::string folder = (std::filesystem::temp_directory_path() / "review-2-XXXXXX").string();
    if (!mkdtemp(folder.data()))
        throw CannotRun{"cannot create a temporary folder"};
    m_folder = folder;
    std::map<std::string, int> inZone;
    for (std::size_t i = 0; i < zones.size(); ++i) {
        const int host = FirstMachineHost + static_cast<int>(i);
        m_ips.push_back(addresses.ip(host));
        m_machines.push_back({"frontend-" + zones[i] + '-' + std::to_string(++inZone[zones[i]]),
                              zones[i], addresses.of(host, FrontPort),
                              addresses.of(host, ReadyPort), addresses.of(host, DirectoryPort)});
        if (i < 3)
            m_seeds += (i == 0 ? "\"" : ",\"") + addresses.of(host, ControlPort) + '"';
    }
}

Gateways::~Gateways()
{
    for (std::size_t i = 0; i < m_machines.size(); ++i)
        kill(i);
    std::error_code ignored;
    if (!std::getenv("KEEP_LOGS"))
        std::filesystem::remove_all(m_folder, ignored);
}

std::string Gateways::settings(std::size_t index, bool isFirstStart) const
{
    const Machine &machine = m_machines[index];
    const auto quoted = [](const std::string &text) { return '"' + text + '"'; };
    const std::map<std::string, std::string> values{
            {"node_name|json", quoted(machine.name)},
            {"zone|json", quoted(machine.zone)},
            {"listen_addrs.front|json", quoted(machine.front)},
            {"listen_addrs.directory|json", quoted(machine.directory)},
            {"listen_addrs.ready|json", quoted(machine.ready)},
            {"listen_addrs.control|json", quoted(m_ips[index] + ':' + std::to_string(ControlPort))},
            {"ip_address", m_ips[index]},
            {"platform.address|json", quoted(m_store)},
            {"seed_nodes|json", '[' + m_seeds + ']'},
            {"limits.cores|json", "1"},
            {"limits.cpu_share|json", "0.25"},
            {"bounds.retry_budget_ratio|json", "0.2"},
            {"bounds.retry_budget_extra|json", "54"},
            {"bounds.budget_window_s|json", "10"},
            {"bootstrap|json", isFirstStart ? "true" : "false"},
            {"bounds.drain_ms|json", "3000"},
            {"bounds.grace_period_s|json", "6"},
            {"bounds.ttl_max_s|json", "5"},
    };
    std::ifstream file("deploy/settings.json");
    std::string text{std::istreambuf_iterator<char>(file), {}};
    for (std::size_t at = text.find("{{"); at != std::string::npos; at = text.find("{{")) {
        const std::size_t end = text.find("}}", at);
        const auto found = values.find(text.substr(at + 2, end - at - 2));
        if (found == values.end())
            throw CannotRun{"deploy/settings.json has the unknown placeholder " +
                            text.substr(at, end + 2 - at)};
        text.replace(at, end + 2 - at, found->second);
    }
    return text;
}

void Gateways::start(std::size_t index, bool isFirstStart)
{
    Machine &machine = m_machines[index];
    const std::string path = m_folder + '/' + machine.name + ".json";
    std::ofstream(path) << settings(index, isFirstStart);
    const std::string log = m_folder + '/' + machine.name + ".log";
    const std::string variable = "GERANIUMCART_NODE_FILE=" + path;
    const std::string searchPath = std::string("PATH=") + std::getenv("PATH");
    machine.process = fork();
    if (machine.process == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        std::string program = "target/geraniumcart-gateway";
        std::array<char *, 2> arguments{program.data(), nullptr};
        std::array<char *, 3> environment{const_cast<char *>(variable.c_str()),
                                          const_cast<char *>(searchPath.c_str()), nullptr};
        execve(program.c_str(), arguments.data(), environment.data());
        _exit(127);
    }
    m_record.line("gateway " + machine.name + ": starts");
}

void Gateways::kill(std::size_t index)
{
    Machine &machine = m_machines[index];
    if (machine.process <= 0)
        return;
    ::kill(machine.process, SIGKILL);
    ::waitpid(machine.process, nullptr, 0);
    machine.process = -1;
    m_record.line("gateway " + machine.name + ": killed");
}

void Gateways::awaitReady(Duration timeout)
{
    const TimePoint until = Clock::now() + timeout;
    const auto get = [](const Address &address, const std::string &target) {
        Message answer;
        const auto stream = connectTo(address, Milliseconds(500));
        if (stream && stream->write("GET " + target + " HTTP/1.1\r\nHost: platform\r\n\r\n"))
            stream->readAnswer(answer, false, Clock::now() + Milliseconds(500));
        return answer;
    };
    for (const Machine &machine : m_machines) {
        while (true) {
            const Message listed = get(machine.directory, "/api/resolution?name=shop.example");
            const bool namesAll = std::ranges::all_of(m_machines, [&](const Machine &other) {
                return listed.body.find('"' + other.front + '"') != std::string::npos;
            });
            if (namesAll && get(machine.ready, "/api/readiness").status() == 200)
                break;
            if (Clock::now() > until)
                throw CannotRun{"the gateways were not ready in time"};
            std::this_thread::sleep_for(Milliseconds(50));
        }
    }
    m_record.line("all gateways are ready and listed");
}

} // namespace standins
