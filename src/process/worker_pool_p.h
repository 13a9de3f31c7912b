#pragma once

#include "process/asio_timer_service_p.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>
#include <string_view>
#include <thread>
#include <vector>

namespace geraniumcart {

/// One thread with its own io_context and timers.
struct Worker
{
    explicit Worker(std::uint32_t workerIndex);

    /// Position in the pool.
    const std::uint32_t index;
    boost::asio::io_context context{1};
    AsioTimerService timers{context};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> keepRunning;
    std::thread thread;
};

/// Threads that handle requests. Each request and each connection stays on one worker.
class WorkerPool
{
public:
    explicit WorkerPool(std::uint32_t count);
    ~WorkerPool();

    std::uint32_t size() const { return static_cast<std::uint32_t>(m_workers.size()); }
    Worker &worker(std::uint32_t index) { return *m_workers[index]; }
    /// Worker that owns the objects identified by @p key: the connections to the searcher at that
    /// address, or the admission policy of the service of that name.
    Worker &homeOf(std::string_view key);

    void start();
    /// Stops each thread after the handler that it is running, and joins it. Pending handlers are
    /// dropped.
    void stop();

private:
    std::vector<std::unique_ptr<Worker>> m_workers;
};

} // namespace geraniumcart
