#include "connection/frame_connection_p.h"

#include "connection/endpoint_p.h"

#include <geraniumcart/config.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>

namespace geraniumcart {

namespace asio = boost::asio;

namespace {

/// Limit on the bytes queued for one peer. A peer that does not read would otherwise make this
/// daemon buffer frames without bound.
constexpr std::size_t MaxQueuedBytes = 2 * MaxFrameBytes;
/// Memory that is reserved for a frame before the next part of its bytes arrives. Whatever listens
/// at an address that a peer had may announce the largest frame on every connection.
constexpr std::size_t BodyGrowth = 64 * 1024;

} // namespace

void FrameConnection::connect(const std::string &address, std::function<void()> onConnected)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint) {
        asio::post(m_socket.get_executor(), [self = shared_from_this(), address] {
            self->fail(FrameError::None, "not an IP:port address: " + address);
        });
        return;
    }
    m_connected = false;
    m_socket.async_connect(
            *endpoint, [self = shared_from_this(), onConnected = std::move(onConnected)](
                               const boost::system::error_code &error) {
                if (!self->m_open)
                    return;
                if (error) {
                    self->fail(FrameError::None, "connect failed: " + error.message());
                    return;
                }
                boost::system::error_code ignored;
                self->m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
                self->m_connected = true;
                self->m_lastReceived = std::chrono::steady_clock::now();
                self->readPrefix();
                self->write();
                onConnected();
            });
}

void FrameConnection::setCallbacks(MessageCallback onMessage, CloseCallback onClose)
{
    m_onMessage = std::move(onMessage);
    m_onClose = std::move(onClose);
}

void FrameConnection::start()
{
    m_lastReceived = std::chrono::steady_clock::now();
    boost::system::error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    readPrefix();
}

bool FrameConnection::send(const PeerMessage &message)
{
    if (!m_open)
        return false;
    std::vector<std::uint8_t> frame = encodePeerMessage(message);
    if (m_queuedBytes + frame.size() > MaxQueuedBytes)
        return false;
    m_queuedBytes += frame.size();
    m_queue.push_back(std::move(frame));
    write();
    return true;
}

void FrameConnection::close()
{
    m_open = false;
    m_onMessage = nullptr;
    m_onClose = nullptr;
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

asio::ip::tcp::socket::native_handle_type FrameConnection::release()
{
    m_open = false;
    m_onMessage = nullptr;
    m_onClose = nullptr;
    boost::system::error_code ignored;
    return m_socket.release(ignored);
}

void FrameConnection::readPrefix()
{
    asio::async_read(
            m_socket, asio::buffer(m_prefix),
            [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
                if (!self->m_open)
                    return;
                if (error) {
                    self->fail(FrameError::None, error.message());
                    return;
                }
                const auto length = decodeFrameLength(self->m_prefix);
                if (length)
                    self->readBody(*length);
                else
                    self->fail(FrameError::TooLong, "the frame is longer than MaxFrameBytes");
            });
}

void FrameConnection::readBody(std::uint32_t length)
{
    m_body.clear();
    readMore(length);
}

void FrameConnection::readMore(std::uint32_t length)
{
    const std::size_t start = m_body.size();
    m_body.resize(std::min<std::size_t>(length, start + BodyGrowth));
    asio::async_read(m_socket, asio::buffer(m_body) + start,
                     [self = shared_from_this(), length](const boost::system::error_code &error,
                                                         std::size_t) {
                         if (!self->m_open)
                             return;
                         if (error)
                             self->fail(FrameError::None, error.message());
                         else if (self->m_body.size() < length)
                             self->readMore(length);
                         else
                             self->onBody();
                     });
}

void FrameConnection::onBody()
{
    m_lastReceived = std::chrono::steady_clock::now();
    FrameError error{};
    std::optional<PeerMessage> message = decodePeerMessage(m_body, error);
    if (!message) {
        fail(error, toString(error));
        return;
    }
    // Copied, because the callback may call setCallbacks(), close() or release(), which replace
    // m_onMessage while it runs.
    const MessageCallback onMessage = m_onMessage;
    try {
        onMessage(*this, std::move(*message));
    } catch (...) {
        // A message that cannot be processed must not keep the later ones from being read.
        if (m_open)
            readPrefix();
        throw;
    }
    if (m_open)
        readPrefix();
}

void FrameConnection::write()
{
    if (m_writing || !m_connected || !m_open || m_queue.empty())
        return;
    m_writing = true;
    std::vector<asio::const_buffer> buffers;
    for (const std::vector<std::uint8_t> &frame : m_queue)
        buffers.push_back(asio::buffer(frame));
    const std::size_t count = m_queue.size();
    asio::async_write(m_socket, buffers,
                      [self = shared_from_this(), count](const boost::system::error_code &error,
                                                         std::size_t bytes) {
                          self->m_writing = false;
                          if (!self->m_open)
                              return;
                          if (error) {
                              self->fail(FrameError::None, error.message());
                              return;
                          }
                          self->m_queuedBytes -= bytes;
                          self->m_queue.erase(self->m_queue.begin(),
                                              self->m_queue.begin() +
                                                      static_cast<std::ptrdiff_t>(count));
                          self->write();
                      });
}

void FrameConnection::fail(FrameError error, std::string reason)
{
    if (!m_open)
        return;
    const CloseCallback onClose = std::move(m_onClose);
    close();
    if (onClose)
        onClose(*this, {error, std::move(reason)});
}

} // namespace geraniumcart
