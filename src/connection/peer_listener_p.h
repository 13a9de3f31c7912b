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

/// Accepts connections of peers on the control thread, waits for the hello and passes control
/// connections on there and data connections to the workers in turn.
class PeerListener
{
public:
    using ControlCallback =
            std::function<void(std::shared_ptr<FrameConnection>, const PeerHello &)>;
    /// Runs on the worker's thread.
    using DataCallback = std::function<void(Worker &, std::shared_ptr<FrameConnection>)>;

    PeerListener(boost::asio::io_context &context, WorkerPool &workers, std::string cell,
                 ControlCallback onControl, DataCallback onData);
    ~PeerListener();

    /// Binds IP:port. @return the bound address, or nothing with @p reason.
    std::optional<std::string> open(const std::string &address, std::string &reason);
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
    std::set<std::shared_ptr<FrameConnection>> m_waiting;
    std::uint32_t m_nextWorker = 0;
};

} // namespace geraniumcart
