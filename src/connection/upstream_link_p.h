#pragma once

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

/// Names of the header fields between this daemon and searchers that are not HTTP's own.
struct UpstreamHeaderNames
{
    std::string requestId;
    std::string deadline;
    std::string signature;
    std::string expectedInstance;
    std::string notRun;
    /// Fields of a searcher that concern this daemon only and are not passed on.
    std::string load;
};

class UpstreamLink;

/// Hears of one connection to a searcher.
class UpstreamLinkListener
{
public:
    virtual ~UpstreamLinkListener() = default;
    virtual void onLinkOpen(UpstreamLink &link) = 0;
    /// The whole answer is there. @p isReusable tells whether another request may follow.
    virtual void onLinkReply(UpstreamLink &link, UpstreamReply reply, bool isReusable) = 0;
    /// The connection ended; it is closed already.
    virtual void onLinkLost(UpstreamLink &link, ExchangeFailure failure) = 0;
};

/// One connection to a searcher; carries one request at a time. Belongs to one worker.
class UpstreamLink : public std::enable_shared_from_this<UpstreamLink>
{
public:
    UpstreamLink(boost::asio::io_context &context, const UpstreamHeaderNames &names,
                 UpstreamLinkListener &listener);
    ~UpstreamLink();

    void open(const boost::asio::ip::tcp::endpoint &endpoint);
    /// Writes a request.
    /// @param remaining time that the searcher may take
    /// @return false if no byte was written; the link is closed then
    bool start(const ForwardRequest &request, const std::string &instanceId, Duration remaining);
    /// Ends the connection; the listener hears nothing more.
    void close();
    /// For how long the searcher keeps the connection without a request, where it said so.
    std::optional<Duration> keepAlive() const;

private:
    class Parser;

    void encode(const ForwardRequest &request, const std::string &instanceId, Duration remaining);
    void writeRest(std::size_t offset);
    void read();
    void onRead(const boost::system::error_code &error, std::size_t size);
    void parse();
    void onMessage();
    void lose(ExchangeFailure failure);

    boost::asio::ip::tcp::socket m_socket;
    const UpstreamHeaderNames &m_names;
    UpstreamLinkListener *m_listener;
    std::string m_out;
    std::string m_requestId;
    bool m_isHead = false;
    bool m_isWriting = false;
    /// Another answer than the expected one came on this connection.
    bool m_isTainted = false;
    std::array<char, 8192> m_incoming;
    /// Bytes that were read and not parsed yet.
    std::string m_unparsed;
    /// Absent while no request is under way.
    std::unique_ptr<Parser> m_parser;
    std::optional<Duration> m_keepAlive;
};

} // namespace geraniumcart
