#include "process/worker_pool_p.h"

#include "process/event_loop_p.h"

#include <xxhash.h>

namespace geraniumcart {

Worker::Worker(std::uint32_t workerIndex)
    : index(workerIndex)
    , keepRunning(boost::asio::make_work_guard(context))
{
}

WorkerPool::WorkerPool(std::uint32_t count)
{
    for (std::uint32_t i = 0; i < count; ++i)
        m_workers.push_back(std::make_unique<Worker>(i));
}

WorkerPool::~WorkerPool()
{
    stop();
}

Worker &WorkerPool::homeOf(std::string_view key)
{
    return *m_workers[XXH3_64bits(key.data(), key.size()) % m_workers.size()];
}

void WorkerPool::start()
{
    for (const auto &worker : m_workers)
        worker->thread = std::thread([context = &worker->context] { runEvents(*context); });
}

void WorkerPool::stop()
{
    for (const auto &worker : m_workers)
        worker->context.stop();
    for (const auto &worker : m_workers)
        if (worker->thread.joinable())
            worker->thread.join();
}

} // namespace geraniumcart
