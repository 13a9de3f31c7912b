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
/// Reads a level's name as settings give it, in lower case.
std::optional<LogLevel> parseLogLevel(std::string_view name);

/// One named value of a log event. Durations are given in microseconds.
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

/// Sends log events at @p level and above to stderr, one JSON object a line. Without this call the
/// level is Info. Thread-safe.
void configureLogging(LogLevel level);

/// Sends log events to stdout instead, through a bounded queue that never makes a caller wait, for
/// as long as the object lives. One object at a time.
class StandardOutputLog
{
public:
    StandardOutputLog();
    ~StandardOutputLog();
    StandardOutputLog(const StandardOutputLog &) = delete;
    StandardOutputLog &operator=(const StandardOutputLog &) = delete;
};

/// Log lines that were dropped because the reader of the log was too slow.
std::uint64_t droppedLogLines();

/// Writes one event. @p event is its stable name in camel case; everything that varies belongs in
/// @p fields. Thread-safe. Formatting takes some microseconds, so an ordinary request logs nothing.
void logEvent(LogLevel level, const char *event, std::initializer_list<LogField> fields = {});

} // namespace geraniumcart
