#pragma once

#include <boost/asio/io_context.hpp>

#include <cstdint>

namespace geraniumcart {

/// Runs the handlers of @p context until it is stopped or has no more work. An exception that a
/// handler throws is logged and counted, and the next handler runs: one unexpected error must not
/// end the requests of all callers. What the handler was responsible for ends by its timeouts.
void runEvents(boost::asio::io_context &context);

/// Number of exceptions that handlers have thrown since the process started. Thread-safe.
std::uint64_t unexpectedErrors();

} // namespace geraniumcart
