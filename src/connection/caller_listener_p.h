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
    /// IP:port; port 0 lets the kernel pick.
    std::string address;
    std::uint32_t maxConnections = 10000;
    std::uint32_t backlog = 1024;
    CallerLimits limits;
};

/// Accepts callers' connections on worker 0 and spreads them over the workers, round robin. Must be
/// destroyed after WorkerPool::stop() and before the pool.
class CallerListener
{
public:
    /// Serves geraniumcart's own interface.
    /// @param frontEnds one for each worker, in the order of the workers
    CallerListener(WorkerPool &workers, const std::vector<FrontEnd *> &frontEnds,
                   CallerListenerOptions options);
    /// @param handlers one for each worker, in the order of the workers
    CallerListener(WorkerPool &workers, std::vector<std::unique_ptr<CallerHandler>> handlers,
                   CallerListenerOptions options);
    ~CallerListener();
    CallerListener(const CallerListener &) = delete;
    CallerListener &operator=(const CallerListener &) = delete;

    /// Binds and listens. @return false with @p reason if the address cannot be bound.
    bool open(std::string &reason);
    /// Where callers connect, as IP:port; valid after open().
    const std::string &address() const { return m_address; }
    /// Starts to accept. Call once.
    void start();
    /// Accepts no further connection and closes each one after its current answer. Thread-safe.
    void drain();
    /// Connections that are not closed yet. A planned stop waits until this is 0. Thread-safe.
    std::uint32_t openConnections() const { return m_open.load(std::memory_order_acquire); }

private:
    using Socket = boost::asio::ip::tcp::socket;

    /// What one worker keeps; only its thread touches it.
    struct Share
    {
        std::unordered_set<std::shared_ptr<CallerSession>> sessions;
        bool isDraining = false;
    };

    void accept();
    void onAccepted(boost::system::error_code error, Worker &worker, Socket socket);
    void resume();
    /// Takes what the kernel has already accepted, so that closing the listener resets no caller.
    void acceptPending();
    Worker &nextWorker();
    void addSession(Worker &worker, Socket socket);
    void startSession(Worker &worker, Socket socket);
    void onSessionClosed(Worker &worker, CallerSession &session);

    WorkerPool &m_workers;
    const std::vector<std::unique_ptr<CallerHandler>> m_handlers;
    const CallerListenerOptions m_options;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::string m_address;
    std::vector<Share> m_shares;
    std::uint32_t m_nextWorker = 0;
    /// Accepting waits for a connection to close. Only worker 0 touches it.
    bool m_isPaused = false;
    /// Only worker 0 touches it, and the destructor once the workers have ended.
    bool m_isDraining = false;
    std::atomic<std::uint32_t> m_open{0};
};

} // namespace geraniumcart
