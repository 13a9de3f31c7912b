#pragma once

#include "connection/caller_session_p.h"
#include "process/worker_pool_p.h"

#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_set>
#include <vector>

namespace geraniumcart {

struct CallerListenerOptions
{
    /// IP:port to bind; with port 0 the kernel picks a free port.
    std::string address;
    std::uint32_t maxConnections = 10000;
    std::uint32_t backlog = 1024;
    CallerLimits limits;
};

/// Accepts callers' connections on worker 0 and distributes them over all workers, round robin.
/// Must be destroyed after WorkerPool::stop() and before the pool.
class CallerListener
{
public:
    /// Creates a listener for geraniumcart's own interface.
    /// @param frontEnds one for each worker, in the order of the workers
    CallerListener(WorkerPool &workers, const std::vector<FrontEnd *> &frontEnds,
                   CallerListenerOptions options);
    /// Creates a listener whose requests are served by @p handlers.
    /// @param handlers one for each worker, in the order of the workers
    CallerListener(WorkerPool &workers, std::vector<std::unique_ptr<CallerHandler>> handlers,
                   CallerListenerOptions options);
    ~CallerListener();
    CallerListener(const CallerListener &) = delete;
    CallerListener &operator=(const CallerListener &) = delete;

    /// Binds and listens. @return false, with the cause in @p reason, if the address is invalid or
    /// cannot be bound.
    bool open(std::string &reason);
    /// The bound address, as IP:port; valid after open().
    const std::string &address() const { return m_address; }
    /// Starts accepting connections. Must be called once, after open().
    void start();
    /// Stops accepting connections and closes each open one after its current response.
    /// Thread-safe.
    void drain();
    /// Number of open connections. A graceful shutdown waits until it is 0. Thread-safe.
    std::uint32_t openConnections() const
    {
        return m_openConnections.load(std::memory_order_acquire);
    }

private:
    using Socket = boost::asio::ip::tcp::socket;

    /// Sessions of one worker; accessed only on its thread.
    struct WorkerSessions
    {
        std::unordered_set<std::shared_ptr<CallerSession>> sessions;
        bool isDraining = false;
    };

    void accept();
    void onAccepted(boost::system::error_code error, Worker &worker, Socket socket);
    void resumeAccepting();
    /// Accepts the connections that are already in the kernel's accept queue. Closing the listening
    /// socket would reset them.
    void acceptPending();
    Worker &nextWorker();
    /// Starts a session on @p worker. The connection is counted already.
    void postSession(Worker &worker, Socket socket);
    void startSession(Worker &worker, Socket socket);
    void onSessionClosed(Worker &worker, CallerSession &session);

    WorkerPool &m_workers;
    const std::vector<std::unique_ptr<CallerHandler>> m_handlers;
    const CallerListenerOptions m_options;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::string m_address;
    std::vector<WorkerSessions> m_sessions;
    std::uint32_t m_nextWorker = 0;
    /// Accepting is paused at the connection limit until a connection closes. Accessed only by
    /// worker 0.
    bool m_isPaused = false;
    /// Accessed only by worker 0, and by the destructor after the workers have ended.
    bool m_isDraining = false;
    std::atomic<std::uint32_t> m_openConnections{0};
};

} // namespace geraniumcart
