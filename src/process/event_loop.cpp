#include "process/event_loop_p.h"

#include "process/log_p.h"

#include <atomic>
#include <exception>

namespace geraniumcart {

namespace {

std::atomic<std::uint64_t> errorCount{0};

void report(const char *reason)
{
    errorCount.fetch_add(1, std::memory_order_relaxed);
    logEvent(LogLevel::Error, "unexpectedError", {{"reason", reason}});
}

} // namespace

void runEvents(boost::asio::io_context &context)
{
    while (true) {
        try {
            context.run();
            return;
        } catch (const std::exception &error) {
            report(error.what());
        } catch (...) {
            report("an exception of unknown type");
        }
    }
}

std::uint64_t unexpectedErrors()
{
    return errorCount.load(std::memory_order_relaxed);
}

} // namespace geraniumcart
