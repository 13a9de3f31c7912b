#include "connection/control_network_p.h"

#include "process/log_p.h"

#include <geraniumcart/config.h>

#include <algorithm>

namespace geraniumcart {

namespace {

/// A connection on which nothing was received for this long is replaced by one that receives
/// messages.
constexpr std::chrono::milliseconds StaleTimeout{500};
/// Number of checks for idle connections in the time after which they are closed.
constexpr int IdleChecks = 4;

} // namespace

ControlNetwork::ControlNetwork(boost::asio::io_context &context, TimerService &timers,
                               HelloSource hello, Handler handler, Duration idleTime)
    : m_context(context)
    , m_timers(timers)
    , m_idleTime(idleTime)
    , m_hello(std::move(hello))
    , m_handler(std::move(handler))
{
    closeIdle();
}

ControlNetwork::~ControlNetwork()
{
    m_timers.cancel(m_idleTimer);
    for (const auto &[connection, peer] : m_connections)
        connection->close();
}

void ControlNetwork::send(const std::string &peerAddress, PeerMessage message)
{
    const auto found = m_current.find(peerAddress);
    const ConnectionPtr connection = found != m_current.end() ? found->second : open(peerAddress);
    if (connection && connection->send(message))
        ++m_messagesSent;
}

void ControlNetwork::reconnect(const std::string &peerAddress)
{
    const auto found = m_current.find(peerAddress);
    if (found == m_current.end())
        return;
    const ConnectionPtr connection = found->second;
    if (std::chrono::steady_clock::now() - connection->lastReceived() < StaleTimeout)
        return;
    m_current.erase(found);
    m_connections.erase(connection);
    connection->close();
}

ControlNetwork::ConnectionPtr ControlNetwork::open(const std::string &peerAddress)
{
    if (m_connections.size() >= 2 * MaxMembers)
        return nullptr;
    auto connection = std::make_shared<FrameConnection>(FrameConnection::Socket(m_context));
    m_current[peerAddress] = connection;
    start(connection, peerAddress);
    connection->connect(peerAddress, [] {});
    connection->send(m_hello());
    return connection;
}

void ControlNetwork::adopt(std::shared_ptr<FrameConnection> connection, const PeerHello &hello)
{
    const std::string &peerAddress = hello.self.peerAddress;
    m_current.try_emplace(peerAddress, connection);
    start(connection, peerAddress);
    m_handler(peerAddress, hello);
}

void ControlNetwork::start(const ConnectionPtr &connection, const std::string &peerAddress)
{
    m_connections[connection] = {peerAddress, std::chrono::steady_clock::now()};
    connection->setCallbacks(
            [this, peerAddress](FrameConnection &from, PeerMessage message) {
                onMessage(peerAddress, from, std::move(message));
            },
            [this, peerAddress](FrameConnection &from, const FrameClose &close) {
                onClosed(peerAddress, from, close);
            });
}

void ControlNetwork::onMessage(const std::string &peerAddress, FrameConnection &connection,
                               PeerMessage message)
{
    const ConnectionPtr source = connection.shared_from_this();
    ConnectionPtr &current = m_current[peerAddress];
    if (!current ||
        (current != source && source->lastReceived() - current->lastReceived() > StaleTimeout))
        current = source;
    m_handler(peerAddress, std::move(message));
}

void ControlNetwork::onClosed(const std::string &peerAddress, FrameConnection &connection,
                              const FrameClose &close)
{
    if (close.error != FrameError::None)
        logEvent(LogLevel::Warn, "peerFrameRefused",
                 {{"peer", peerAddress}, {"error", toString(close.error)}});
    const ConnectionPtr closed = connection.shared_from_this();
    const auto found = m_current.find(peerAddress);
    if (found != m_current.end() && found->second == closed)
        m_current.erase(found);
    m_connections.erase(closed);
}

void ControlNetwork::closeIdle()
{
    m_idleTimer = m_timers.schedule(m_idleTime / IdleChecks, [this] { closeIdle(); });
    const TimePoint now = std::chrono::steady_clock::now();
    std::erase_if(m_connections, [&](const auto &entry) {
        const auto &[connection, peer] = entry;
        if (now - std::max(connection->lastReceived(), peer.connectedAt) < m_idleTime)
            return false;
        const auto current = m_current.find(peer.address);
        if (current != m_current.end() && current->second == connection)
            m_current.erase(current);
        connection->close();
        return true;
    });
}

} // namespace geraniumcart
