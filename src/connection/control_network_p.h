#pragma once

#include "connection/frame_connection_p.h"

#include <geraniumcart/peer_messages.h>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace geraniumcart {

/// Control connections to peers, on the control thread. For each peer the connection on which it
/// was heard last is used, whoever opened it, so that one that went silent is left by itself.
class ControlNetwork final : public PeerNetwork
{
public:
    using Handler = std::function<void(const std::string &peerAddress, PeerMessage)>;
    using HelloSource = std::function<PeerHello()>;

    ControlNetwork(boost::asio::io_context &context, HelloSource hello, Handler handler);
    ~ControlNetwork() override;

    void send(const std::string &peerAddress, PeerMessage message) override;
    void renew(const std::string &peerAddress) override;

    /// Takes a connection that a peer opened, after its hello.
    void adopt(std::shared_ptr<FrameConnection> connection, const PeerHello &hello);
    /// Closes connections that carried nothing for a while, such as those to hosts long gone.
    void closeIdle();
    std::size_t connectionCount() const { return m_connections.size(); }
    std::uint64_t messagesSent() const { return m_messagesSent; }

private:
    using ConnectionPtr = std::shared_ptr<FrameConnection>;

    ConnectionPtr open(const std::string &peerAddress);
    void start(const ConnectionPtr &connection, const std::string &peerAddress);
    void onMessage(const std::string &peerAddress, FrameConnection &connection,
                   PeerMessage message);
    void onClosed(const std::string &peerAddress, FrameConnection &connection,
                  const FrameClose &close);

    boost::asio::io_context &m_context;
    HelloSource m_hello;
    Handler m_handler;
    std::map<std::string, ConnectionPtr> m_current;
    /// All open connections, with the peer at their other end.
    std::map<ConnectionPtr, std::string> m_connections;
    std::uint64_t m_messagesSent = 0;
};

} // namespace geraniumcart
