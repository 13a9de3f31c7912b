#pragma once

#include "connection/answer_reader_p.h"

#include <geraniumcart/exchange.h>

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace geraniumcart {

class UpstreamLink;

/// Receives the events of a connection on the connection's worker, never from within a call to the
/// connection.
class UpstreamLinkListener
{
public:
    virtual ~UpstreamLinkListener() = default;
    /// The connection is open and can carry a request.
    virtual void onLinkOpen(UpstreamLink &link) = 0;
    /// The complete answer to the current request has arrived.
    /// @param isReusable true if another request may follow; otherwise the connection is already
    /// closed
    virtual void onLinkReply(UpstreamLink &link, UpstreamReply reply, bool isReusable) = 0;
    /// The connection failed to open, or ended while it was idle or before the answer was complete.
    /// It is already closed.
    virtual void onLinkLost(UpstreamLink &link, ExchangeFailure failure) = 0;
};

/// One HTTP/1.1 connection to a searcher, with one request at a time. Belongs to one worker.
class UpstreamLink : public std::enable_shared_from_this<UpstreamLink>
{
public:
    /// @param openAnswers must outlive the connection
    UpstreamLink(boost::asio::io_context &context, const UpstreamHeaderNames &names,
                 OpenAnswers &openAnswers, UpstreamLinkListener &listener);
    ~UpstreamLink();

    /// Starts to connect; onLinkOpen() or onLinkLost() follows.
    void open(const boost::asio::ip::tcp::endpoint &endpoint);
    /// Writes a request on an open connection that is idle; onLinkReply() or onLinkLost() follows.
    /// @param instanceId identity of the searcher that the request is meant for
    /// @param remaining time until the request's deadline; sent to the searcher
    /// @return false if no byte of the request was written; the connection is then closed and sends
    ///     no more events
    bool start(const ForwardRequest &request, const std::string &instanceId, Duration remaining);
    /// Asks the searcher for its health on an open connection that is idle, as start() does. The
    /// request names no instance, so that any searcher at the address answers for itself.
    /// @param host address of the searcher
    bool startHealthRequest(const std::string &path, const std::string &host);
    /// Closes the connection immediately, without an event.
    void close();
    /// Returns the idle timeout that the searcher announced in a Keep-Alive field, if any.
    std::optional<Duration> keepAlive() const;

private:
    void encode(const ForwardRequest &request, const std::string &instanceId, Duration remaining);
    /// Writes the encoded request; see start().
    bool write(const std::string &requestId, bool isHead);
    /// Writes the part of the request from @p offset on, which start() could not write.
    void writeRest(std::size_t offset);
    void read();
    void onRead(const boost::system::error_code &error, std::size_t size);
    void onProgress(AnswerReader::Progress progress);
    /// Closes the connection and calls onLinkLost().
    void reportLoss(ExchangeFailure failure);

    boost::asio::ip::tcp::socket m_socket;
    const UpstreamHeaderNames &m_names;
    /// Null once the connection is closed.
    UpstreamLinkListener *m_listener;
    /// The encoded request.
    std::string m_out;
    bool m_isWriting = false;
    /// True if a part of the answer to the current request has arrived.
    bool m_hasReceived = false;
    std::array<char, 8192> m_incoming;
    AnswerReader m_reader;
};

} // namespace geraniumcart
