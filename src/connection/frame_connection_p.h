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
    /// FrameError::None if the connection failed for a reason other than an invalid frame.
    FrameError error = FrameError::None;
    std::string reason;
};

/// TCP connection between two daemons that carries frames in both directions. Used only on the
/// thread that runs the executor of its socket.
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

    /// Connects to @p address (IP:port) and calls @p onConnected. The close callback is called
    /// instead if that fails. Frames that are sent in the meantime stay in the queue.
    void connect(const std::string &address, std::function<void()> onConnected);
    /// Replaces the callbacks. They are called until close(), release() or the end of the
    /// connection.
    void setCallbacks(MessageCallback onMessage, CloseCallback onClose);
    /// Starts reading from an accepted socket. Not needed after connect().
    void start();
    /// Queues one frame. Drops it if the connection is closed or the queue is full.
    /// @return false if the frame was dropped
    bool send(const PeerMessage &message);
    /// Closes the connection without calling the close callback.
    void close();
    bool isOpen() const { return m_open; }
    /// Time at which the last frame was received or, before the first one, at which the connection
    /// was established or started; TimePoint{} until then.
    TimePoint lastReceived() const { return m_lastReceived; }

    /// Releases the socket, so that another thread can use it. May be called only from the message
    /// callback, where no read is pending and no byte of the next frame was read.
    /// @return the native handle, which the caller owns
    boost::asio::ip::tcp::socket::native_handle_type release();

private:
    void readPrefix();
    void readBody(std::uint32_t length);
    /// Reads the next part of a frame of @p length bytes.
    void readMore(std::uint32_t length);
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
    /// False while connect() is in progress.
    bool m_connected = true;
    /// A write is in progress. Only one may be, because concurrent writes could interleave frames.
    bool m_writing = false;
    TimePoint m_lastReceived{};
};

} // namespace geraniumcart
