#pragma once

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace geraniumcart {

/// Writes log lines on its own thread. A line is dropped and counted if the queue is full, so that
/// a slow reader of the log never blocks the threads that log.
class LogWriter
{
public:
    /// @param descriptor file descriptor to write to; the writer does not close it
    /// @param capacity maximum number of queued lines
    LogWriter(int descriptor, std::size_t capacity);
    /// Stops the thread and writes all queued lines.
    ~LogWriter();
    LogWriter(const LogWriter &) = delete;
    LogWriter &operator=(const LogWriter &) = delete;

    /// Queues one line, which includes its line break. Thread-safe; never blocks.
    void push(std::string line);
    /// Number of lines dropped so far. Thread-safe.
    std::uint64_t dropped() const { return m_dropped.load(std::memory_order_relaxed); }

private:
    struct Queue;

    void run();
    /// Writes all queued lines, and a line with the number of newly dropped ones.
    void writeQueued();
    void writeAll(const std::string &text) const;

    const int m_descriptor;
    std::unique_ptr<Queue> m_queue;
    std::atomic<std::uint64_t> m_dropped{0};
    std::uint64_t m_reportedDrops = 0;
    std::mutex m_stopMutex;
    std::condition_variable m_stopped;
    bool m_isStopping = false;
    std::thread m_thread;
};

} // namespace geraniumcart
