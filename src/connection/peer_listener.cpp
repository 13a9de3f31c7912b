#include "connection/peer_listener_p.h"

#include "connection/endpoint_p.h"
#include "process/log_p.h"

#include <boost/asio/post.hpp>

namespace geraniumcart {

namespace asio = boost::asio;

namespace {

/// Connections that have not said hello; anyone who can reach the port could open more.
constexpr std::size_t MaxWaiting = 1024;

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
    for (const auto &connection : m_waiting)
        connection->close();
    m_waiting.clear();
}

void PeerListener::accept()
{
    m_acceptor.async_accept(m_context, [this](const boost::system::error_code &error,
                                              FrameConnection::Socket socket) {
        if (error == asio::error::operation_aborted || !m_acceptor.is_open())
            return;
        if (!error && m_waiting.size() < MaxWaiting) {
            auto connection = std::make_shared<FrameConnection>(std::move(socket));
            m_waiting.insert(connection);
            connection->setCallbacks([this](FrameConnection &from,
                                            const PeerMessage &message) { onHello(from, message); },
                                     [this](FrameConnection &from, const FrameClose &close) {
                                         if (close.error != FrameError::None)
                                             logEvent(LogLevel::Warn, "peerFrameRefused",
                                                      {{"error", toString(close.error)}});
                                         m_waiting.erase(from.shared_from_this());
                                     });
            connection->start();
        }
        accept();
    });
}

void PeerListener::onHello(FrameConnection &connection, const PeerMessage &message)
{
    const std::shared_ptr<FrameConnection> held = connection.shared_from_this();
    m_waiting.erase(held);
    const auto *hello = std::get_if<PeerHello>(&message);
    if (!hello || hello->cell != m_cell) {
        logEvent(LogLevel::Warn, "peerRefused",
                 {{"reason", hello ? "another cell" : "no hello first"}});
        held->close();
        return;
    }
    if (hello->plane == PeerPlane::Control)
        m_onControl(held, *hello);
    else
        passToWorker(*held);
}

void PeerListener::passToWorker(FrameConnection &connection)
{
    Worker &worker = m_workers.worker(m_nextWorker++ % m_workers.size());
    const auto handle = connection.release();
    asio::post(worker.context, [this, &worker, handle] {
        FrameConnection::Socket socket(worker.context);
        boost::system::error_code error;
        // Only the family matters for a connected socket.
        socket.assign(asio::ip::tcp::v4(), handle, error);
        if (!error)
            m_onData(worker, std::make_shared<FrameConnection>(std::move(socket)));
    });
}

} // namespace geraniumcart
