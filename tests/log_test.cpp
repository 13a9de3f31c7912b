#include "support/captured_output.h"

#include <catch2/catch.hpp>

#include "process/log_p.h"

#include <geraniumcart/invariants.h>

#include <boost/json.hpp>

#include <cstdio>
#include <string>
#include <sys/wait.h>
#include <unistd.h>

using namespace geraniumcart;
using namespace geraniumcart::test;

// Guards against events that are missing on standard output, or whose lines are mixed up.
TEST_CASE("events go to standard output while a StandardOutputLog exists")
{
    const auto [failure, events] = GENERATE(table<const char *, int>({
            {"an event is lost", 1},
            {"lines of events are mixed up", 100},
    }));
    INFO(failure);
    const std::string text = capture(STDOUT_FILENO, [count = events] {
        const StandardOutputLog log;
        for (int i = 0; i < count; ++i)
            logEvent(LogLevel::Info, "event", {{"number", i}});
    });
    int lines = 0;
    for (std::size_t at = 0; at < text.size(); at = text.find('\n', at) + 1, ++lines) {
        const std::string line = text.substr(at, text.find('\n', at) - at);
        CHECK(boost::json::parse(line).at("context_map").at("number").as_string() ==
              std::to_string(lines));
    }
    CHECK(lines == events);
}

// Guards against log lines that a collector cannot parse, because a field contains quotes, line
// breaks, control characters or malformed UTF-8.
TEST_CASE("every log line is one JSON object for any field value")
{
    const auto [failure, fieldValue,
                logged] = GENERATE(table<const char *, std::string, std::string>({
            {"plain text is changed", "corte 127.0.0.1:80", "corte 127.0.0.1:80"},
            {"quotes are not escaped", "a\"b\\c", "a\"b\\c"},
            {"a line break splits the line", "a\nb\r\tc", "a?b??c"},
            {"a control character is not replaced", std::string("a\0\x01\x1f\x7f", 5), "a????"},
            {"malformed UTF-8 is not replaced", "a\xff\xc3", "a??"},
            {"an empty field is omitted", "", ""},
    }));
    INFO(failure);

    const std::string line = captureStderr([&value = fieldValue] {
        logEvent(LogLevel::Info, "searcherLost", {{"address", value}, {"failures", 3}});
    });
    REQUIRE(line.find('\n') == line.size() - 1);
    boost::system::error_code error;
    const boost::json::value parsed = boost::json::parse(line, error);
    REQUIRE_FALSE(error);
    CHECK(parsed.at("level") == "INFO");
    CHECK(parsed.at("message") == "searcherLost");
    CHECK(std::string(parsed.at("context_map").at("address").as_string()) == logged);
    CHECK(parsed.at("context_map").at("failures") == "3");
}

// Guards against fields of one event that also appear in the next event of the same thread, because
// they were not removed from the context.
TEST_CASE("fields belong to one event")
{
    const auto [failure, field] = GENERATE(table<const char *, const char *>({
            {"a field is kept", "address"},
            {"a field with the name of a layout field is kept", "message"},
    }));
    INFO(failure);

    const std::string lines = captureStderr([name = field] {
        logEvent(LogLevel::Warn, "first", {{name, "once"}});
        logEvent(LogLevel::Warn, "second");
    });
    CHECK(lines.find("once") != std::string::npos);
    CHECK(lines.find("once", lines.find("second")) == std::string::npos);
}

// Guards against a level setting that has no effect.
TEST_CASE("events below the level are dropped")
{
    const auto [name, level, isLogged] = GENERATE(table<std::string, LogLevel, bool>({
            {"trace", LogLevel::Trace, true},
            {"debug", LogLevel::Trace, false},
            {"info", LogLevel::Info, true},
            {"warn", LogLevel::Info, false},
            {"error", LogLevel::Warn, false},
            {"error", LogLevel::Error, true},
    }));
    INFO(name);

    configureLogging(parseLogLevel(name).value());
    const std::string line = captureStderr([used = level] { logEvent(used, "event"); });
    configureLogging(LogLevel::Info);
    CHECK(line.empty() != isLogged);
}

// Guards against an invariant violation in production that is not logged, or is counted for another
// invariant.
TEST_CASE("a violated invariant is logged and counted")
{
    const auto [invariant, name] = GENERATE(table<Invariant, const char *>({
            {Invariant::SingleSnapshot, "singleSnapshot"},
            {Invariant::TrueCoverage, "trueCoverage"},
            {Invariant::ColdBound, "coldBound"},
            {Invariant::ZoneOut, "zoneOut"},
            {Invariant::BadVersion, "badVersion"},
            {Invariant::OwnAnswer, "ownAnswer"},
            {Invariant::TrueNotRun, "trueNotRun"},
            {Invariant::AtMostOnce, "atMostOnce"},
            {Invariant::LeavingUpstream, "leavingUpstream"},
            {Invariant::GracefulStop, "gracefulStop"},
            {Invariant::ConfigurationMonotonic, "configurationMonotonic"},
    }));
    INFO(name);

    // Runs in a child process, since violations are counted per process.
    int status = -1;
    const std::string line = captureStderr([&status, violated = invariant] {
        const pid_t child = ::fork();
        if (child == 0) {
            abortOnViolation(false);
            checkInvariant(violated, true, "holds");
            checkInvariant(violated, false, "dispatch into cairo-b");
            ::_exit(invariantViolations(violated) == 1 ? 0 : 1);
        }
        ::waitpid(child, &status, 0);
    });
    CHECK(status == 0);
    const boost::json::value parsed = boost::json::parse(line);
    CHECK(parsed.at("message") == "invariantViolated");
    CHECK(parsed.at("context_map").at("invariant") == name);
    CHECK(parsed.at("context_map").at("detail") == "dispatch into cairo-b");
}
