#include "connection/peer_listener_p.h"

#include "connection/endpoint_p.h"
#include "process/log_p.h"

#include <boost/asio/post.hpp>

namespace geraniumcart {

namespace asio = boost::asio;

namespace {

/// Limit on the connections that have not sent their hello. Without it, anyone who can reach the
/// port could open any number of them.
constexpr std::size_t MaxAwaitingHello = 1024;

} // namespace

PeerListener::PeerListener(asio::io_context &context, WorkerPool &workers, std::string cell,
                           ControlCallback onControl, DataCallback onData)
    : m_context(context)
    , m_workers(workers)
    , m_cell(std::move(cell))
    , m_onControl(std::move(onControl))
    , m_onData(std::move(onData))
    , m_acceptor(context)
{
}

PeerListener::~PeerListener()
{
    close();
}

std::optional<std::string> PeerListener::open(const std::string &address, std::string &reason)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint) {
        reason = "not an IP:port address: " + address;
        return std::nullopt;
    }
    boost::system::error_code error;
    m_acceptor.open(endpoint->protocol(), error);
    if (!error)
        m_acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true), error);
    if (!error)
        m_acceptor.bind(*endpoint, error);
    if (!error)
        m_acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error) {
        reason = address + ": " + error.message();
        return std::nullopt;
    }
    accept();
    const auto bound = m_acceptor.local_endpoint(error);
    return bound.address().to_string() + ':' + std::to_string(bound.port());
}

void PeerListener::close()
{
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    for (const auto &connection : m_awaitingHello)
        connection->close();
    m_awaitingHello.clear();
}

void PeerListener::accept()
{
    m_acceptor.async_accept(m_context, [this](const boost::system::error_code &error,
                                              FrameConnection::Socket socket) {
        if (error == asio::error::operation_aborted || !m_acceptor.is_open())
            return;
        accept();
        if (!error && m_awaitingHello.size() < MaxAwaitingHello) {
            auto connection = std::make_shared<FrameConnection>(std::move(socket));
            m_awaitingHello.insert(connection);
            connection->setCallbacks([this](FrameConnection &from,
                                            const PeerMessage &message) { onHello(from, message); },
                                     [this](FrameConnection &from, const FrameClose &close) {
                                         if (close.error != FrameError::None)
                                             logEvent(LogLevel::Warn, "peerFrameRefused",
                                                      {{"error", toString(close.error)}});
                                         m_awaitingHello.erase(from.shared_from_this());
                                     });
            connection->start();
        }
    });
}

void PeerListener::onHello(FrameConnection &connection, const PeerMessage &message)
{
    const std::shared_ptr<FrameConnection> accepted = connection.shared_from_this();
    m_awaitingHello.erase(accepted);
    const auto *hello = std::get_if<PeerHello>(&message);
    if (!hello || hello->cell != m_cell) {
        logEvent(LogLevel::Warn, "peerRefused",
                 {{"reason",
                   hello ? "the hello names another cell" : "the first message is not a hello"}});
        accepted->close();
        return;
    }
    if (hello->plane == PeerPlane::Control)
        m_onControl(accepted, *hello);
    else
        passToWorker(*accepted);
}

void PeerListener::passToWorker(FrameConnection &connection)
{
    Worker &worker = m_workers.worker(m_nextWorker++ % m_workers.size());
    const auto handle = connection.release();
    asio::post(worker.context, [this, &worker, handle] {
        FrameConnection::Socket socket(worker.context);
        boost::system::error_code error;
        // The socket of a peer with an IPv6 address has another address family than v4(), which has
        // no effect on a connected socket.
        socket.assign(asio::ip::tcp::v4(), handle, error);
        if (!error)
            m_onData(worker, std::make_shared<FrameConnection>(std::move(socket)));
    });
}

} // namespace geraniumcart
