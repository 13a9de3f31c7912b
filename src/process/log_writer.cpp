#include "process/log_writer_p.h"

#include <boost/lockfree/queue.hpp>

#include <cerrno>
#include <chrono>
#include <unistd.h>

namespace geraniumcart {

namespace {

/// Lines are written together this often; a crash loses no more than what came in between.
constexpr std::chrono::milliseconds WriteInterval{50};
/// Bytes that are written at once.
constexpr std::size_t WriteBytes = 64 * 1024;

} // namespace

struct LogWriter::Queue
{
    explicit Queue(std::size_t capacity)
        : lines(capacity)
    {
    }
    boost::lockfree::queue<std::string *, boost::lockfree::fixed_sized<true>> lines;
};

LogWriter::LogWriter(int descriptor, std::size_t capacity)
    : m_descriptor(descriptor)
    , m_queue(std::make_unique<Queue>(capacity))
    , m_thread([this] { run(); })
{
}

LogWriter::~LogWriter()
{
    {
        const std::lock_guard lock(m_stopMutex);
        m_isStopping = true;
    }
    m_stopped.notify_one();
    m_thread.join();
    writeWaiting();
}

void LogWriter::push(std::string line)
{
    auto owned = std::make_unique<std::string>(std::move(line));
    if (m_queue->lines.bounded_push(owned.get()))
        owned.release();
    else
        m_dropped.fetch_add(1, std::memory_order_relaxed);
}

void LogWriter::run()
{
    std::unique_lock lock(m_stopMutex);
    while (!m_stopped.wait_for(lock, WriteInterval, [this] { return m_isStopping; })) {
        lock.unlock();
        writeWaiting();
        lock.lock();
    }
}

void LogWriter::writeWaiting()
{
    std::string batch;
    std::string *line = nullptr;
    while (m_queue->lines.pop(line)) {
        batch += *line;
        delete line;
        if (batch.size() >= WriteBytes) {
            writeAll(batch);
            batch.clear();
        }
    }
    const std::uint64_t lost = dropped();
    if (lost != m_reported) {
        batch += R"({"level":"WARN","logger":"geraniumcart","message":"logLinesDropped",)"
                 R"("context_map":{"lines":")" +
                 std::to_string(lost - m_reported) + R"(","total":")" + std::to_string(lost) +
                 "\"}}\n";
        m_reported = lost;
    }
    writeAll(batch);
}

void LogWriter::writeAll(const std::string &text) const
{
    std::size_t written = 0;
    while (written < text.size()) {
        const ssize_t count = ::write(m_descriptor, text.data() + written, text.size() - written);
        // Nobody reads any more; there is no other place to say so.
        if (count < 0 && errno != EINTR)
            return;
        written += count > 0 ? static_cast<std::size_t>(count) : 0;
    }
}

} // namespace geraniumcart
