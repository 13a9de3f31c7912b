#pragma once

#include "connection/frame_connection_p.h"
#include "process/worker_pool_p.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace geraniumcart {

/// Accepts connections from peers on the control thread and waits for the hello on each. Control
/// connections stay on the control thread; data connections are passed to the workers, round robin.
class PeerListener
{
public:
    /// Called on the control thread.
    using ControlCallback =
            std::function<void(std::shared_ptr<FrameConnection>, const PeerHello &)>;
    /// Called on the worker's thread. The connection has not been started; the callee starts it.
    using DataCallback = std::function<void(Worker &, std::shared_ptr<FrameConnection>)>;

    /// @param cell name of this deployment; connections whose hello names another are refused
    PeerListener(boost::asio::io_context &context, WorkerPool &workers, std::string cell,
                 ControlCallback onControl, DataCallback onData);
    ~PeerListener();

    /// Binds @p address (IP:port) and starts accepting. @return the bound address, or std::nullopt
    /// with the cause in @p reason.
    std::optional<std::string> open(const std::string &address, std::string &reason);
    /// Stops accepting and closes the connections that have not sent their hello.
    void close();

private:
    void accept();
    void onHello(FrameConnection &connection, const PeerMessage &message);
    void passToWorker(FrameConnection &connection);

    boost::asio::io_context &m_context;
    WorkerPool &m_workers;
    std::string m_cell;
    ControlCallback m_onControl;
    DataCallback m_onData;
    boost::asio::ip::tcp::acceptor m_acceptor;
    /// Connections that have not sent their hello.
    std::set<std::shared_ptr<FrameConnection>> m_awaitingHello;
    std::uint32_t m_nextWorker = 0;
};

} // namespace geraniumcart
