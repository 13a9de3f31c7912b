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

/// Writes log lines on a thread of its own. A line that finds the queue full is dropped and
/// counted, so that nobody waits for a slow reader of the log.
class LogWriter
{
public:
    /// @param descriptor where lines are written; stays open
    /// @param capacity lines that may wait
    LogWriter(int descriptor, std::size_t capacity);
    /// Writes what waits.
    ~LogWriter();
    LogWriter(const LogWriter &) = delete;
    LogWriter &operator=(const LogWriter &) = delete;

    /// Takes one line with its line break. Thread-safe; never waits.
    void push(std::string line);
    /// Lines dropped so far.
    std::uint64_t dropped() const { return m_dropped.load(std::memory_order_relaxed); }

private:
    struct Queue;

    void run();
    void writeWaiting();
    void writeAll(const std::string &text) const;

    const int m_descriptor;
    std::unique_ptr<Queue> m_queue;
    std::atomic<std::uint64_t> m_dropped{0};
    std::uint64_t m_reported = 0;
    std::mutex m_stopMutex;
    std::condition_variable m_stopped;
    bool m_isStopping = false;
    std::thread m_thread;
};

} // namespace geraniumcart
