#pragma once

#include <istream>
#include <ostream>
#include <string>
#include <vector>

namespace geraniumcart::tools {

/// One log event and the text that precedes it on its line.
struct LogLine
{
    /// Text of the line before the JSON event, for example the time and process name that a log
    /// collector adds.
    std::string origin;
    std::string timestamp;
    std::string event;
    /// Pairs of field name and value, sorted by name.
    std::vector<std::pair<std::string, std::string>> fields;

    /// @return the value of the field @p name, or nullptr if the event has no such field
    const std::string *find(const std::string &name) const;
};

/// Parses log events, one per line. Lines without a valid event are skipped.
std::vector<LogLine> readLogLines(std::istream &input);

/// Prints the events that explain the outcome of one request, in the order of @p lines: the events
/// of the request itself, and the state changes that the processes which served it logged before
/// its last event. State changes are printed only if they concern a service or searcher of the
/// request, or every request of the daemon; at most 40 from before the first event of the request.
/// @return false if no line has the id of the request
bool explainRequest(const std::string &id, const std::vector<LogLine> &lines, std::ostream &output);

} // namespace geraniumcart::tools
