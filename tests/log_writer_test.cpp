#include "process/log_writer_p.h"

#include <geraniumcart/request_trace.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <fcntl.h>
#include <string>
#include <thread>
#include <unistd.h>

using namespace geraniumcart;
using namespace std::chrono_literals;

namespace {

/// Pipe to which the log is written; the test reads it in place of a log collector.
struct Pipe
{
    Pipe()
    {
        std::array<int, 2> ends{};
        REQUIRE(::pipe(ends.data()) == 0);
        reader = ends[0];
        writer = ends[1];
    }
    ~Pipe()
    {
        ::close(reader);
        ::close(writer);
    }
    /// Reads until no data has arrived for 200 ms.
    std::string drain() const
    {
        ::fcntl(reader, F_SETFL, O_NONBLOCK);
        std::string text;
        std::array<char, 65536> buffer{};
        for (int emptyReads = 0; emptyReads < 20;) {
            const ssize_t count = ::read(reader, buffer.data(), buffer.size());
            emptyReads = count > 0 ? 0 : emptyReads + 1;
            text.append(buffer.data(), count > 0 ? static_cast<std::size_t>(count) : 0);
            if (count <= 0)
                std::this_thread::sleep_for(10ms);
        }
        return text;
    }

    int reader = -1;
    int writer = -1;
};

} // namespace

// Guards against threads that block on a slow reader of the log, and against lines that are dropped
// without being counted.
TEST_CASE("logging does not block when the reader is slow")
{
    const auto [failure, lines, drops] = GENERATE(table<const char *, std::size_t, bool>({
            {"a few lines are dropped", 100, false},
            {"many lines block until the reader has read them", 50000, true},
    }));
    INFO(failure);
    Pipe pipe;
    std::string text;
    std::uint64_t dropped = 0;
    {
        LogWriter writer(pipe.writer, 512);
        const auto start = std::chrono::steady_clock::now();
        // The pipe holds 64 KiB and is not read during the loop.
        for (std::size_t i = 0; i < lines; ++i)
            writer.push("line " + std::string(200, 'x') + "\n");
        CHECK(std::chrono::steady_clock::now() - start < 1s);
        dropped = writer.dropped();
        CHECK((dropped > 0) == drops);
        text = pipe.drain();
    }
    text += pipe.drain();
    std::size_t written = 0;
    for (std::size_t at = text.find("line "); at != std::string::npos;
         at = text.find("line ", at + 1))
        ++written;
    CHECK(written + dropped == lines);
    CHECK((text.find("logLinesDropped") != std::string::npos) == drops);
}

// Guards against failed requests that are not logged, and against a log that grows with the rate of
// requests, good or failed.
TEST_CASE("failed requests are logged up to a maximum rate")
{
    const auto [failure, requests, isGood, lowest, highest] =
            GENERATE(table<const char *, int, bool, int, int>({
                    {"a failed request is not logged", 10, false, 10, 10},
                    {"every good request is logged", 100, true, 2, 2},
                    {"every one of many failed requests is logged", 5000, false, 60, 200},
            }));
    INFO(failure);
    TraceLogPolicy policy;
    TimePoint now = TimePoint() + 1h;
    int logged = 0;
    for (int i = 0; i < requests; ++i) {
        logged += policy.shouldLog(now, isGood) ? 1 : 0;
        now += 1ms;
    }
    CHECK(logged >= lowest);
    CHECK(logged <= highest);
    if (!isGood)
        CHECK(policy.takeSuppressed() == static_cast<std::uint32_t>(requests - logged));
}

// Guards against a trace that grows without bound, and against steps that are omitted without being
// counted.
TEST_CASE("a trace is bounded and counts the omitted steps")
{
    const auto [failure, steps, kept, omitted] =
            GENERATE(table<const char *, std::size_t, std::size_t, std::uint32_t>({
                    {"a step is lost", 3, 3, 0},
                    {"a trace grows without bound", 100, RequestTrace::MaxEntries, 36},
            }));
    INFO(failure);
    RequestTrace trace(TimePoint() + 1s);
    for (std::size_t i = 0; i < steps; ++i)
        trace.record(TimePoint() + 1s + i * 1ms, TraceStep::Hedged, "desk");
    CHECK(trace.entries().size() == kept);
    CHECK(trace.omitted() == omitted);
    CHECK(trace.entries()[2].at == 2ms);
}
