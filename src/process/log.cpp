#include "process/log_p.h"

#include "process/log_writer_p.h"

#include <log4cxx/appenderskeleton.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/mdc.h>
#include <log4cxx/spi/loggerrepository.h>

#include <algorithm>
#include <array>
#include <unistd.h>

namespace geraniumcart {

namespace {

log4cxx::LevelPtr levelOf(LogLevel level)
{
    switch (level) {
    case LogLevel::Trace:
        return log4cxx::Level::getTrace();
    case LogLevel::Debug:
        return log4cxx::Level::getDebug();
    case LogLevel::Info:
        return log4cxx::Level::getInfo();
    case LogLevel::Warn:
        return log4cxx::Level::getWarn();
    case LogLevel::Error:
        return log4cxx::Level::getError();
    }
    return log4cxx::Level::getInfo();
}

log4cxx::LoggerPtr makeLogger()
{
    // Must come first: log4cxx otherwise searches the working directory for a configuration file.
    log4cxx::LogManager::getLoggerRepository()->setConfigured(true);
    const auto layout = std::make_shared<log4cxx::JSONLayout>();
    const auto appender = std::make_shared<log4cxx::ConsoleAppender>(
            layout, log4cxx::ConsoleAppender::getSystemErr());
    log4cxx::LoggerPtr logger = log4cxx::Logger::getLogger("geraniumcart");
    logger->setAdditivity(false);
    logger->addAppender(appender);
    logger->setLevel(log4cxx::Level::getInfo());
    return logger;
}

const log4cxx::LoggerPtr &logger()
{
    static const log4cxx::LoggerPtr Instance = makeLogger();
    return Instance;
}

/// Maximum number of lines queued for writing; about a megabyte.
constexpr std::size_t MaxQueuedLines = 4096;

/// Formats events on the logging thread and passes the lines to a LogWriter.
class QueueAppender final : public log4cxx::AppenderSkeleton
{
public:
    explicit QueueAppender(const log4cxx::LayoutPtr &lineLayout)
        : m_lineLayout(lineLayout)
        , m_writer(STDOUT_FILENO, MaxQueuedLines)
    {
    }

    void append(const log4cxx::spi::LoggingEventPtr &event, log4cxx::helpers::Pool &pool) override
    {
        log4cxx::LogString line;
        m_lineLayout->format(line, event, pool);
        m_writer.push(std::move(line));
    }
    void close() override {}
    bool requiresLayout() const override { return false; }
    std::uint64_t dropped() const { return m_writer.dropped(); }

private:
    const log4cxx::LayoutPtr m_lineLayout;
    LogWriter m_writer;
};

std::shared_ptr<QueueAppender> &queueAppender()
{
    static std::shared_ptr<QueueAppender> instance;
    return instance;
}

/// Replaces all characters except printable ASCII. JSONLayout does not escape some control
/// characters and malformed UTF-8, which would make the line invalid JSON.
std::string printable(std::string_view text)
{
    std::string result(text);
    for (char &letter : result)
        if (letter < 0x20 || letter > 0x7e)
            letter = '?';
    return result;
}

} // namespace

std::optional<LogLevel> parseLogLevel(std::string_view name)
{
    struct Entry
    {
        std::string_view name;
        LogLevel level;
    };
    constexpr std::array Entries{
            Entry{"trace", LogLevel::Trace}, Entry{"debug", LogLevel::Debug},
            Entry{"info", LogLevel::Info},   Entry{"warn", LogLevel::Warn},
            Entry{"error", LogLevel::Error},
    };
    const auto found = std::ranges::find(Entries, name, &Entry::name);
    if (found == Entries.end())
        return std::nullopt;
    return found->level;
}

void configureLogging(LogLevel level)
{
    logger()->setLevel(levelOf(level));
}

StandardOutputLog::StandardOutputLog()
{
    queueAppender() = std::make_shared<QueueAppender>(std::make_shared<log4cxx::JSONLayout>());
    logger()->removeAllAppenders();
    logger()->addAppender(queueAppender());
}

StandardOutputLog::~StandardOutputLog()
{
    logger()->removeAllAppenders();
    logger()->addAppender(std::make_shared<log4cxx::ConsoleAppender>(
            std::make_shared<log4cxx::JSONLayout>(), log4cxx::ConsoleAppender::getSystemErr()));
    queueAppender().reset();
}

std::uint64_t droppedLogLines()
{
    return queueAppender() ? queueAppender()->dropped() : 0;
}

void logEvent(LogLevel level, const char *event, std::initializer_list<LogField> fields)
{
    const log4cxx::LevelPtr threshold = levelOf(level);
    if (!logger()->isEnabledFor(threshold))
        return;
    for (const LogField &field : fields)
        log4cxx::MDC::putLS(field.name, printable(field.value));
    logger()->forcedLog(threshold, std::string(event), log4cxx::spi::LocationInfo());
    std::string removed;
    for (const LogField &field : fields)
        log4cxx::MDC::remove(field.name, removed);
}

} // namespace geraniumcart
