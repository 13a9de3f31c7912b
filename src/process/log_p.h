#pragma once

#include <chrono>
#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

namespace geraniumcart {

enum class LogLevel : std::uint8_t { Trace, Debug, Info, Warn, Error };
/// Parses the lower-case name of a level, as used in settings.
/// @return nothing if @p name is not the name of a level
std::optional<LogLevel> parseLogLevel(std::string_view name);

/// One named value of a log event. Durations are logged in microseconds.
struct LogField
{
    LogField(const char *fieldName, std::string_view fieldValue)
        : name(fieldName)
        , value(fieldValue)
    {
    }
    LogField(const char *fieldName, const char *fieldValue)
        : LogField(fieldName, std::string_view(fieldValue))
    {
    }
    LogField(const char *fieldName, bool fieldValue)
        : LogField(fieldName, fieldValue ? "true" : "false")
    {
    }
    template <std::integral Number>
    LogField(const char *fieldName, Number fieldValue)
        : name(fieldName)
        , value(std::to_string(fieldValue))
    {
    }
    template <class Rep, class Period>
    LogField(const char *fieldName, std::chrono::duration<Rep, Period> fieldValue)
        : LogField(fieldName,
                   std::chrono::duration_cast<std::chrono::microseconds>(fieldValue).count())
    {
    }

    const char *name;
    std::string value;
};

/// Sets the lowest level that is logged; the default is Info. Events go to stderr, one JSON object
/// per line, unless a StandardOutputLog exists. Thread-safe.
void configureLogging(LogLevel level);

/// Redirects log events to stdout during the lifetime of the object, through a bounded queue that
/// never blocks the logging thread. At most one object may exist at a time.
class StandardOutputLog
{
public:
    StandardOutputLog();
    ~StandardOutputLog();
    StandardOutputLog(const StandardOutputLog &) = delete;
    StandardOutputLog &operator=(const StandardOutputLog &) = delete;
};

/// @return number of log lines dropped because the reader of the log was too slow; 0 without a
/// StandardOutputLog
std::uint64_t droppedLogLines();

/// Logs one event. @p event is its stable name in camel case; all values that vary belong in
/// @p fields. Thread-safe. Formatting takes a few microseconds, so ordinary requests log nothing.
void logEvent(LogLevel level, const char *event, std::initializer_list<LogField> fields = {});

} // namespace geraniumcart
