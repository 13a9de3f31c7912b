#pragma once

#include "connection/frame_connection_p.h"

#include <geraniumcart/peer_messages.h>
#include <geraniumcart/timer_service.h>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace geraniumcart {

/// Control connections to all peers; used only on the control thread. Both sides may open a
/// connection to the same peer. Messages are sent on one of them, the current one, no matter which
/// side opened it. If nothing is received on it any more, another one that still receives messages
/// becomes current, so a broken connection is replaced even if no error is reported for it. One on
/// which nothing is received for the idle time is closed: its peer has ended or has replaced it,
/// and after a network fault nothing else shows that.
class ControlNetwork final : public PeerNetwork
{
public:
    using Handler = std::function<void(const std::string &peerAddress, PeerMessage)>;
    using HelloSource = std::function<PeerHello()>;
    /// Longer than the time between two probes of one pair of daemons among some hundred.
    static constexpr std::chrono::minutes DefaultIdleTime{3};

    /// @param hello returns the first message of each connection that this daemon opens
    /// @param handler called with each message and the address of the peer that sent it
    ControlNetwork(boost::asio::io_context &context, TimerService &timers, HelloSource hello,
                   Handler handler, Duration idleTime = DefaultIdleTime);
    ~ControlNetwork() override;

    void send(const std::string &peerAddress, PeerMessage message) override;
    /// Closes the current connection if nothing was received on it for StaleTimeout (500 ms); the
    /// next send() opens a new one.
    void reconnect(const std::string &peerAddress) override;

    /// Adds a connection that a peer opened, after its @p hello was received.
    void adopt(std::shared_ptr<FrameConnection> connection, const PeerHello &hello);
    std::size_t connectionCount() const { return m_connections.size(); }
    std::uint64_t messagesSent() const { return m_messagesSent; }

private:
    using ConnectionPtr = std::shared_ptr<FrameConnection>;
    struct Peer
    {
        std::string address;
        TimePoint connectedAt{};
    };

    /// Closes the connections that have been idle for too long, now and again later.
    void closeIdle();
    /// Opens a connection and makes it current. @return null if there are 2 * MaxMembers
    /// connections already.
    ConnectionPtr open(const std::string &peerAddress);
    void start(const ConnectionPtr &connection, const std::string &peerAddress);
    void onMessage(const std::string &peerAddress, FrameConnection &connection,
                   PeerMessage message);
    void onClosed(const std::string &peerAddress, FrameConnection &connection,
                  const FrameClose &close);

    boost::asio::io_context &m_context;
    TimerService &m_timers;
    const Duration m_idleTime;
    TimerId m_idleTimer = 0;
    HelloSource m_hello;
    Handler m_handler;
    /// The current connection to each peer, by peer address.
    std::map<std::string, ConnectionPtr> m_current;
    /// All open connections.
    std::map<ConnectionPtr, Peer> m_connections;
    std::uint64_t m_messagesSent = 0;
};

} // namespace geraniumcart
