// Minimal blocking HTTP/1.1 over loopback sockets, for the stand-ins of this review.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <strings.h>
#include <thread>
#include <utility>
#include <vector>

namespace review3 {

using Clock = std::chrono::steady_clock;
using Seconds = std::chrono::duration<double>;

struct Address
{
    std::string ip;
    std::uint16_t port = 0;

    std::string text() const { return ip + ':' + std::to_string(port); }
};

inline sockaddr_in toNative(const Address &address)
{
    sockaddr_in native{};
    native.sin_family = AF_INET;
    native.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &native.sin_addr);
    return native;
}

/// @return a listening socket; fills in the port if it is 0
inline int listenOn(Address &address)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in native = toNative(address);
    socklen_t size = sizeof native;
    if (bind(socket, reinterpret_cast<sockaddr *>(&native), size) != 0 ||
        listen(socket, 512) != 0) {
        ::close(socket);
        return -1;
    }
    getsockname(socket, reinterpret_cast<sockaddr *>(&native), &size);
    address.port = ntohs(native.sin_port);
    return socket;
}

/// @return a port that is free on @p ip now and was not returned before
inline std::uint16_t freePort(const std::string &ip)
{
    static std::set<std::string> used;
    while (true) {
        Address address{ip, 0};
        const int socket = listenOn(address);
        if (socket < 0)
            return 0;
        ::close(socket);
        if (used.insert(address.text()).second)
            return address.port;
    }
}

inline bool isFree(Address address)
{
    const int socket = listenOn(address);
    if (socket >= 0)
        ::close(socket);
    return socket >= 0;
}

inline bool sendAll(int socket, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count =
                ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

/// Closes so that the peer sees a reset.
inline void resetSocket(int socket)
{
    const linger now{1, 0};
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    ::close(socket);
}

struct Message
{
    std::string startLine;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    std::string field(const char *name) const
    {
        for (const auto &[key, value] : fields)
            if (strcasecmp(key.c_str(), name) == 0)
                return value;
        return {};
    }
    std::string method() const { return startLine.substr(0, startLine.find(' ')); }
    std::string target() const
    {
        const std::size_t start = startLine.find(' ') + 1;
        return startLine.substr(start, startLine.find(' ', start) - start);
    }
    int status() const { return startLine.size() < 12 ? 0 : std::atoi(startLine.c_str() + 9); }
};

enum class ReadEnd { Message, Closed, Reset, TimedOut };

/// Reads one message with a Content-Length or without a body. @p buffer keeps what follows it.
inline ReadEnd readMessage(int socket, std::string &buffer, Message &message,
                           Clock::time_point until)
{
    std::optional<std::size_t> headEnd;
    std::size_t length = 0;
    while (true) {
        if (!headEnd) {
            const std::size_t end = buffer.find("\r\n\r\n");
            if (end != std::string::npos) {
                headEnd = end + 4;
                message = {};
                std::size_t at = buffer.find("\r\n");
                message.startLine = buffer.substr(0, at);
                while (at < end) {
                    const std::size_t start = at + 2;
                    at = buffer.find("\r\n", start);
                    const std::string line = buffer.substr(start, at - start);
                    const std::size_t colon = line.find(':');
                    if (colon == std::string::npos)
                        continue;
                    std::size_t value = colon + 1;
                    while (value < line.size() && line[value] == ' ')
                        ++value;
                    message.fields.emplace_back(line.substr(0, colon), line.substr(value));
                }
                length = std::strtoul(message.field("Content-Length").c_str(), nullptr, 10);
            }
        }
        if (headEnd && buffer.size() >= *headEnd + length) {
            message.body = buffer.substr(*headEnd, length);
            buffer.erase(0, *headEnd + length);
            return ReadEnd::Message;
        }
        const auto left =
                std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now()).count();
        pollfd ready{socket, POLLIN, 0};
        if (left <= 0 || poll(&ready, 1, static_cast<int>(left)) <= 0)
            return ReadEnd::TimedOut;
        char bytes[16384];
        const ssize_t count = recv(socket, bytes, sizeof bytes, 0);
        if (count == 0)
            return ReadEnd::Closed;
        if (count < 0)
            return ReadEnd::Reset;
        buffer.append(bytes, static_cast<std::size_t>(count));
    }
}

/// Listens on a loopback address and runs one thread for each connection.
class Server
{
public:
    using Serve = std::function<void(int socket)>;

    Server(Address address, Serve serve)
        : m_address(std::move(address))
        , m_serve(std::move(serve))
    {
        m_listener = listenOn(m_address);
        if (m_listener < 0)
            return;
        m_thread = std::thread([this] { accept(); });
    }
    ~Server() { stop(); }

    bool isListening() const { return m_listener >= 0; }
    const Address &address() const { return m_address; }
    void stop()
    {
        if (m_isStopped.exchange(true) || m_listener < 0)
            return;
        shutdown(m_listener, SHUT_RDWR);
        m_thread.join();
        ::close(m_listener);
        resetConnections();
        while (m_running > 0)
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    /// Shuts all open connections down; their threads then end.
    void resetConnections()
    {
        const std::lock_guard lock(m_mutex);
        for (const int socket : m_sockets)
            shutdown(socket, SHUT_RDWR);
    }

private:
    void accept()
    {
        while (true) {
            const int socket = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0)
                return;
            const int on = 1;
            setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            {
                const std::lock_guard lock(m_mutex);
                m_sockets.insert(socket);
            }
            ++m_running;
            std::thread([this, socket] {
                m_serve(socket);
                {
                    const std::lock_guard lock(m_mutex);
                    m_sockets.erase(socket);
                }
                ::close(socket);
                --m_running;
            }).detach();
        }
    }

    Address m_address;
    Serve m_serve;
    int m_listener = -1;
    std::thread m_thread;
    std::mutex m_mutex;
    std::set<int> m_sockets;
    std::atomic<int> m_running{0};
    std::atomic<bool> m_isStopped{false};
};

struct Answer
{
    /// 0 if there was no complete answer.
    int status = 0;
    ReadEnd end = ReadEnd::TimedOut;
    Message message;
};

inline int connectTo(const Address &address)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in native = toNative(address);
    const timeval limit{1, 0};
    setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    if (connect(socket, reinterpret_cast<const sockaddr *>(&native), sizeof native) != 0) {
        ::close(socket);
        return -1;
    }
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return socket;
}

/// Sends one request on a new connection.
inline Answer call(const Address &address, const std::string &request, Seconds limit)
{
    Answer answer;
    const int socket = connectTo(address);
    if (socket < 0) {
        answer.end = ReadEnd::Reset;
        return answer;
    }
    std::string buffer;
    if (sendAll(socket, request))
        answer.end = readMessage(socket, buffer, answer.message,
                                 Clock::now() + std::chrono::duration_cast<Clock::duration>(limit));
    if (answer.end == ReadEnd::Message)
        answer.status = answer.message.status();
    ::close(socket);
    return answer;
}

} // namespace review3
