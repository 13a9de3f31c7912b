#pragma once

#include "connection/open_answers_p.h"

#include <geraniumcart/sub_request.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace geraniumcart {

/// Calls of the searcher's HTTP interface.
enum class UpstreamCall : std::uint8_t { Search, Book, Cancel, Info };

/// Request of one exchange on a searcher connection.
struct UpstreamMessage
{
    UpstreamCall call = UpstreamCall::Info;
    /// The sub-request to run or cancel; unused by Info.
    SubRequestId id = 0;
    /// This field and the following ones are used by Search and Book only.
    std::uint32_t shard = 0;
    std::uint64_t indexVersion = 0;
    /// Time until the sub-request's deadline.
    Duration remaining{};
    std::shared_ptr<const std::string> body;
};

/// A searcher's answer that conforms to the protocol.
struct UpstreamAnswer
{
    std::uint16_t status = 0;
    /// This field and the other optional ones are empty if the answer lacks the header field.
    std::optional<SubRequestId> requestId;
    std::optional<std::uint32_t> shard;
    std::uint64_t indexVersion = 0;
    std::uint64_t documents = 0;
    std::optional<ServedVersions> served;
    /// Hash of the boot identity, which may be any text.
    std::optional<std::uint64_t> bootId;
    bool isDraining = false;
    /// True if the searcher reported that it did not run the request.
    bool isNotRun = false;
    std::string body;
};

/// How an open connection ended.
enum class ConnectionLoss : std::uint8_t {
    /// The searcher closed it without an error, while it was idle or before the answer was
    /// complete.
    Closed,
    /// Reading or writing failed.
    Reset,
    /// The received bytes violate the protocol or belong to another request.
    Malformed
};

class SearcherConnection;

/// Receives the events of a connection on the connection's worker, never from within a call to the
/// connection. After onOpenFailed() and onLost() the connection is closed and sends no more events.
class SearcherConnectionListener
{
public:
    virtual ~SearcherConnectionListener() = default;
    /// The connection is open and can carry a request.
    virtual void onOpen(SearcherConnection &connection) = 0;
    /// The connection failed to open.
    /// @param wasRefused true if the searcher's host refused the connection
    virtual void onOpenFailed(SearcherConnection &connection, bool wasRefused) = 0;
    /// The complete answer to the current request has arrived.
    /// @param isLast true if no further request can follow; the connection is then already closed
    virtual void onAnswer(SearcherConnection &connection, UpstreamAnswer &answer, bool isLast) = 0;
    /// The open connection ended while it was idle or before the answer was complete.
    virtual void onLost(SearcherConnection &connection, ConnectionLoss loss) = 0;
};

/// One HTTP/1.1 keep-alive connection to a searcher, with one exchange at a time. Belongs to one
/// worker. The listener must outlive the connection or call close() before it is destroyed.
class SearcherConnection : public std::enable_shared_from_this<SearcherConnection>
{
public:
    /// @param openAnswers must outlive the connection until close() or its end
    SearcherConnection(boost::asio::io_context &context, const std::string &address,
                       OpenAnswers &openAnswers, SearcherConnectionListener &listener);
    ~SearcherConnection();

    /// Starts to connect; onOpen() or onOpenFailed() follows.
    void open(const boost::asio::ip::tcp::endpoint &endpoint);
    /// Starts an exchange on an open connection that is idle; onAnswer() or onLost() follows.
    /// @return false if no byte of the request was written; the connection is then closed and sends
    ///     no more events
    bool start(const UpstreamMessage &message);
    /// Closes the connection immediately, without an event.
    void close();

private:
    using Socket = boost::asio::basic_stream_socket<boost::asio::ip::tcp,
                                                    boost::asio::io_context::executor_type>;
    class Codec;

    void read();
    void onRead(const boost::system::error_code &error, std::size_t size);
    /// Writes the part of the request from @p offset on, which start() could not write.
    void write(std::size_t offset);
    /// Closes the connection and calls onLost().
    void reportLoss(ConnectionLoss loss);

    Socket m_socket;
    /// Null once the connection is closed.
    SearcherConnectionListener *m_listener;
    std::unique_ptr<Codec> m_codec;
    std::shared_ptr<const std::string> m_body;
    bool m_isWriting = false;
};

} // namespace geraniumcart
