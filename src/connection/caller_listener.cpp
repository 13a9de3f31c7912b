#include "connection/caller_listener_p.h"

#include "connection/endpoint_p.h"
#include "process/log_p.h"

#include <geraniumcart/invariants.h>

#include <boost/asio/post.hpp>

#include <optional>
#include <sstream>
#include <utility>

namespace geraniumcart {

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

std::vector<std::unique_ptr<CallerHandler>> handlersOf(const std::vector<FrontEnd *> &frontEnds)
{
    std::vector<std::unique_ptr<CallerHandler>> handlers;
    for (FrontEnd *frontEnd : frontEnds)
        handlers.push_back(std::make_unique<FrontEndHandler>(*frontEnd));
    return handlers;
}

} // namespace

CallerListener::CallerListener(WorkerPool &workers, const std::vector<FrontEnd *> &frontEnds,
                               CallerListenerOptions options)
    : CallerListener(workers, handlersOf(frontEnds), std::move(options))
{
}

CallerListener::CallerListener(WorkerPool &workers,
                               std::vector<std::unique_ptr<CallerHandler>> handlers,
                               CallerListenerOptions options)
    : m_workers(workers)
    , m_handlers(std::move(handlers))
    , m_options(std::move(options))
    , m_acceptor(workers.worker(0).context)
    , m_sessions(workers.size())
{
}

CallerListener::~CallerListener()
{
    checkInvariant(Invariant::GracefulStop, !m_isDraining || openConnections() == 0,
                   "a graceful shutdown ended before all callers' connections were closed");
}

bool CallerListener::open(std::string &reason)
{
    const std::optional<tcp::endpoint> endpoint = parseEndpoint(m_options.address);
    if (!endpoint) {
        reason = m_options.address + ": not an IP:port address";
        return false;
    }
    error_code error;
    m_acceptor.open(endpoint->protocol(), error);
    if (!error)
        m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        m_acceptor.bind(*endpoint, error);
    if (!error)
        m_acceptor.listen(static_cast<int>(m_options.backlog), error);
    if (error) {
        reason = m_options.address + ": " + error.message();
        return false;
    }
    std::ostringstream bound;
    bound << m_acceptor.local_endpoint();
    m_address = bound.str();
    return true;
}

void CallerListener::start()
{
    boost::asio::post(m_workers.worker(0).context, [this] { accept(); });
}

void CallerListener::drain()
{
    boost::asio::post(m_workers.worker(0).context, [this] {
        m_isDraining = true;
        acceptPending();
        error_code ignored;
        m_acceptor.close(ignored);
        for (std::uint32_t i = 0; i < m_workers.size(); ++i)
            boost::asio::post(m_workers.worker(i).context, [this, i] {
                WorkerSessions &workerSessions = m_sessions[i];
                workerSessions.isDraining = true;
                for (const std::shared_ptr<CallerSession> &session : workerSessions.sessions)
                    session->drain();
            });
    });
}

void CallerListener::accept()
{
    if (!m_acceptor.is_open())
        return;
    if (m_openConnections.load(std::memory_order_acquire) >= m_options.maxConnections) {
        m_isPaused = true;
        // A connection may have closed between the comparison above and setting m_isPaused, in
        // which case nothing would resume accepting. Therefore the count is compared again.
        if (m_openConnections.load(std::memory_order_acquire) >= m_options.maxConnections)
            return;
        m_isPaused = false;
    }
    Worker &worker = nextWorker();
    m_acceptor.async_accept(worker.context, [this, &worker](error_code error, Socket socket) {
        onAccepted(error, worker, std::move(socket));
    });
}

void CallerListener::onAccepted(error_code error, Worker &worker, Socket socket)
{
    if (error == boost::asio::error::operation_aborted)
        return;
    if (error) {
        logEvent(LogLevel::Warn, "acceptFailed", {{"reason", error.message()}});
        m_workers.worker(0).timers.schedule(AcceptRetryDelay, [this] { accept(); });
        return;
    }
    m_openConnections.fetch_add(1, std::memory_order_acq_rel);
    accept();
    postSession(worker, std::move(socket));
}

void CallerListener::resumeAccepting()
{
    if (std::exchange(m_isPaused, false))
        accept();
}

void CallerListener::acceptPending()
{
    if (!m_acceptor.is_open())
        return;
    error_code error;
    m_acceptor.cancel(error);
    m_acceptor.non_blocking(true, error);
    while (!error) {
        Worker &worker = nextWorker();
        Socket socket(worker.context);
        m_acceptor.accept(socket, error);
        if (error)
            break;
        m_openConnections.fetch_add(1, std::memory_order_acq_rel);
        postSession(worker, std::move(socket));
    }
}

Worker &CallerListener::nextWorker()
{
    m_nextWorker = (m_nextWorker + 1) % m_workers.size();
    return m_workers.worker(m_nextWorker);
}

void CallerListener::postSession(Worker &worker, Socket socket)
{
    boost::asio::post(worker.context, [this, &worker, socket = std::move(socket)]() mutable {
        startSession(worker, std::move(socket));
    });
}

void CallerListener::startSession(Worker &worker, Socket socket)
{
    WorkerSessions &workerSessions = m_sessions[worker.index];
    auto session = std::make_shared<CallerSession>(
            std::move(socket), worker.timers, *m_handlers[worker.index], m_options.limits,
            [this, &worker](CallerSession &closed) { onSessionClosed(worker, closed); });
    workerSessions.sessions.insert(session);
    session->start();
    if (workerSessions.isDraining)
        session->drain();
}

void CallerListener::onSessionClosed(Worker &worker, CallerSession &session)
{
    m_sessions[worker.index].sessions.erase(session.shared_from_this());
    const std::uint32_t previous = m_openConnections.fetch_sub(1, std::memory_order_acq_rel);
    if (previous >= m_options.maxConnections)
        boost::asio::post(m_workers.worker(0).context, [this] { resumeAccepting(); });
}

} // namespace geraniumcart
