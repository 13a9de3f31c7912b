#include "process/log_writer_p.h"

#include <boost/lockfree/queue.hpp>

#include <cerrno>
#include <chrono>
#include <unistd.h>

namespace geraniumcart {

namespace {

/// Interval at which queued lines are written. A crash loses at most the lines of one interval.
constexpr std::chrono::milliseconds WriteInterval{50};
/// Number of bytes after which a batch of lines is written.
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
    writeQueued();
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
        writeQueued();
        lock.lock();
    }
}

void LogWriter::writeQueued()
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
    const std::uint64_t droppedLines = dropped();
    if (droppedLines != m_reportedDrops) {
        batch += R"({"level":"WARN","logger":"geraniumcart","message":"logLinesDropped",)"
                 R"("context_map":{"lines":")" +
                 std::to_string(droppedLines - m_reportedDrops) + R"(","total":")" +
                 std::to_string(droppedLines) + "\"}}\n";
        m_reportedDrops = droppedLines;
    }
    writeAll(batch);
}

void LogWriter::writeAll(const std::string &text) const
{
    std::size_t written = 0;
    while (written < text.size()) {
        const ssize_t count = ::write(m_descriptor, text.data() + written, text.size() - written);
        // The reader has closed the log, and there is no other place to report it.
        if (count < 0 && errno != EINTR)
            return;
        written += count > 0 ? static_cast<std::size_t>(count) : 0;
    }
}

} // namespace geraniumcart
