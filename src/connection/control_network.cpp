#include "connection/control_network_p.h"

#include "process/log_p.h"

#include <geraniumcart/config.h>

namespace geraniumcart {

namespace {

/// A connection on which nothing was received for this long is replaced by one that receives
/// messages.
constexpr std::chrono::milliseconds StaleTimeout{500};
/// Peers send several heartbeats a second, so the peer of a connection that received none for a
/// minute no longer runs.
constexpr std::chrono::seconds IdleTimeout{60};

} // namespace

ControlNetwork::ControlNetwork(boost::asio::io_context &context, HelloSource hello, Handler handler)
    : m_context(context)
    , m_hello(std::move(hello))
    , m_handler(std::move(handler))
{
}

ControlNetwork::~ControlNetwork()
{
    for (const auto &[connection, peerAddress] : m_connections)
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
    m_connections[connection] = peerAddress;
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
    const TimePoint now = std::chrono::steady_clock::now();
    for (auto entry = m_connections.begin(); entry != m_connections.end();) {
        const ConnectionPtr connection = entry->first;
        if (now - connection->lastReceived() < IdleTimeout) {
            ++entry;
            continue;
        }
        const auto current = m_current.find(entry->second);
        if (current != m_current.end() && current->second == connection)
            m_current.erase(current);
        entry = m_connections.erase(entry);
        connection->close();
    }
}

} // namespace geraniumcart
