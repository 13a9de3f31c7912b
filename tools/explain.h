#pragma once

#include <istream>
#include <ostream>
#include <string>
#include <vector>

namespace geraniumcart::tools {

/// One log event with the process that wrote it.
struct LogLine
{
    /// What stands before the event on its line, for example a collector's time and host.
    std::string origin;
    std::string timestamp;
    std::string event;
    /// Names and values in alphabetical order of names.
    std::vector<std::pair<std::string, std::string>> fields;

    const std::string *find(const std::string &name) const;
};

/// Reads log lines; lines without an event are left out.
std::vector<LogLine> readLogLines(std::istream &input);

/// Prints the life of one request in order: its own events, and the changes of belief that came
/// shortly before or during it in the process that served it, as far as they concern its services
/// and searchers or the daemon as a whole.
/// @return false if no line names the request
bool explainRequest(const std::string &id, const std::vector<LogLine> &lines, std::ostream &output);

} // namespace geraniumcart::tools
