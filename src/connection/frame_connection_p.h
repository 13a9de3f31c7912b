#pragma once

#include "connection/peer_codec_p.h"

#include <geraniumcart/timer_service.h>

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace geraniumcart {

/// Why a connection between daemons ended.
struct FrameClose
{
    FrameError error = FrameError::None;
    std::string reason;
};

/// One TCP connection that carries frames both ways. Belongs to the thread of its socket.
class FrameConnection : public std::enable_shared_from_this<FrameConnection>
{
public:
    using Socket = boost::asio::ip::tcp::socket;
    using MessageCallback = std::function<void(FrameConnection &, PeerMessage)>;
    using CloseCallback = std::function<void(FrameConnection &, const FrameClose &)>;

    explicit FrameConnection(Socket socket)
        : m_socket(std::move(socket))
    {
    }

    /// Connects and calls @p connected when frames flow. A failure calls the close callback.
    void connect(const std::string &address, std::function<void()> connected);
    /// Replaces the callbacks. They run until close() or the end of the connection.
    void setCallbacks(MessageCallback onMessage, CloseCallback onClose);
    /// Starts to read from an accepted socket; connect() does so by itself.
    void start();
    /// Queues one frame; drops it when the connection is closed or its queue is full.
    /// @return false if the frame was dropped.
    bool send(const PeerMessage &message);
    /// Ends the connection; the close callback is not called.
    void close();
    bool isOpen() const { return m_open; }
    TimePoint lastReceived() const { return m_lastReceived; }

    /// Stops after the frame in hand and gives the socket up, so that another thread can take it.
    /// Only from the message callback, before any further frame was read.
    boost::asio::ip::tcp::socket::native_handle_type release();

private:
    void readPrefix();
    void readBody(std::uint32_t length);
    void onBody();
    void write();
    void fail(FrameError error, std::string reason);

    Socket m_socket;
    MessageCallback m_onMessage;
    CloseCallback m_onClose;
    std::array<std::uint8_t, 4> m_prefix{};
    std::vector<std::uint8_t> m_body;
    std::deque<std::vector<std::uint8_t>> m_queue;
    std::size_t m_queuedBytes = 0;
    bool m_open = true;
    bool m_connected = true;
    bool m_writing = false;
    TimePoint m_lastReceived{};
};

} // namespace geraniumcart
