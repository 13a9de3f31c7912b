#pragma once

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

enum class UpstreamCall : std::uint8_t { Search, Book, Cancel, Info };

/// What one exchange on a searcher connection asks.
struct UpstreamMessage
{
    UpstreamCall call = UpstreamCall::Info;
    /// The sub-request meant; unused by Info.
    SubRequestId id = 0;
    /// The rest is used by Search and Book only.
    std::uint32_t shard = 0;
    std::uint64_t indexVersion = 0;
    Duration remaining{};
    std::shared_ptr<const std::string> body;
};

/// A searcher's answer that kept the protocol.
struct UpstreamAnswer
{
    std::uint16_t status = 0;
    std::optional<SubRequestId> requestId;
    std::optional<std::uint32_t> shard;
    std::uint64_t indexVersion = 0;
    std::uint64_t documents = 0;
    std::optional<ServedVersions> served;
    /// Digest of the boot identity; the identity itself may be any text.
    std::optional<std::uint64_t> bootId;
    bool isDraining = false;
    /// The searcher states that it did not run the request.
    bool isNotRun = false;
    std::string body;
};

enum class ConnectionLoss : std::uint8_t { Closed, Reset, Malformed };

class SearcherConnection;

/// Is told of what happens on a connection, on the connection's worker, never from within a call
/// to it. After onOpenFailed() and onLost() the connection is closed and calls no more.
class SearcherConnectionListener
{
public:
    virtual ~SearcherConnectionListener() = default;
    virtual void onOpen(SearcherConnection &connection) = 0;
    virtual void onOpenFailed(SearcherConnection &connection, bool wasRefused) = 0;
    /// @param isLast true if the searcher closes the connection after this answer
    virtual void onAnswer(SearcherConnection &connection, UpstreamAnswer &answer, bool isLast) = 0;
    virtual void onLost(SearcherConnection &connection, ConnectionLoss loss) = 0;
};

/// One HTTP/1.1 keep-alive connection to a searcher, with one exchange at a time. Stays on one
/// worker; the listener must outlive it or close() it.
class SearcherConnection : public std::enable_shared_from_this<SearcherConnection>
{
public:
    SearcherConnection(boost::asio::io_context &context, const std::string &address,
                       SearcherConnectionListener &listener);
    ~SearcherConnection();

    /// Connects; ends with onOpen() or onOpenFailed().
    void open(const boost::asio::ip::tcp::endpoint &endpoint);
    /// Starts an exchange on an open connection that has none. It ends with onAnswer() or onLost().
    /// @return false if no byte of it was accepted for sending; the connection is then closed, and
    ///     nothing more is called
    bool start(const UpstreamMessage &message);
    /// Closes at once, without a call.
    void close();

private:
    using Socket = boost::asio::basic_stream_socket<boost::asio::ip::tcp,
                                                    boost::asio::io_context::executor_type>;
    class Codec;

    void read();
    void onRead(const boost::system::error_code &error, std::size_t size);
    void write(std::size_t offset);
    void lose(ConnectionLoss loss);

    Socket m_socket;
    SearcherConnectionListener *m_listener;
    std::unique_ptr<Codec> m_codec;
    std::shared_ptr<const std::string> m_body;
    bool m_isWriting = false;
};

} // namespace geraniumcart
