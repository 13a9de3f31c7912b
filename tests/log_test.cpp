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

// Guards against a daemon whose log does not reach its standard output, or reaches it in pieces.
TEST_CASE("a daemon's events go to standard output while its log is open")
{
    const auto [failure, events] = GENERATE(table<const char *, int>({
            {"an event is lost", 1},
            {"events run into each other", 100},
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

// Guards against log lines that a collector cannot parse.
TEST_CASE("every log line is one JSON object whatever its fields hold")
{
    const auto [failure, fieldValue,
                logged] = GENERATE(table<const char *, std::string, std::string>({
            {"plain text is changed", "corte 127.0.0.1:80", "corte 127.0.0.1:80"},
            {"quotes end the string", "a\"b\\c", "a\"b\\c"},
            {"a line break splits the line", "a\nb\r\tc", "a?b??c"},
            {"a control character is passed on", std::string("a\0\x01\x1f\x7f", 5), "a????"},
            {"broken UTF-8 is passed on", "a\xff\xc3", "a??"},
            {"an empty field is left out", "", ""},
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

// Guards against fields of one event that appear in the next one of the thread.
TEST_CASE("fields belong to one event")
{
    const auto [failure, field] = GENERATE(table<const char *, const char *>({
            {"a field stays", "address"},
            {"a field named like one of the layout stays", "message"},
    }));
    INFO(failure);

    const std::string lines = captureStderr([name = field] {
        logEvent(LogLevel::Warn, "first", {{name, "once"}});
        logEvent(LogLevel::Warn, "second");
    });
    CHECK(lines.find("once") != std::string::npos);
    CHECK(lines.find("once", lines.find("second")) == std::string::npos);
}

// Guards against a level setting without effect.
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

// Guards against a violated guarantee that production neither logs nor counts, or counts as
// another.
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

    // In a process of its own, since violations are counted for the whole process.
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
