#include "explain.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <array>
#include <set>
#include <string_view>

namespace geraniumcart::tools {

namespace json = boost::json;

namespace {

/// Limit on the state changes that are printed from before the request's first event; the latest
/// ones are kept.
constexpr std::size_t MaxPrecedingEvents = 40;

/// State changes that affect every request of the daemon that logs them.
constexpr std::array<std::string_view, 14> DaemonEvents{
        "started",    "stopped",    "ready",           "leaving",         "routesInForce",
        "zoneOut",    "zoneBack",   "storeLost",       "storeRegained",   "storeHistoryGone",
        "workerBusy", "workerIdle", "logLinesDropped", "stoppedWithWork",
};

/// @return strings without quotes, other values as JSON
std::string toText(const json::value &value)
{
    return value.is_string() ? std::string(value.get_string().c_str()) : json::serialize(value);
}

/// @return the last word of @p origin, empty if there is none
std::string processOf(const std::string &origin)
{
    // A log collector writes its own time first and the name of the process last.
    const std::size_t end = origin.find_last_not_of(' ');
    if (end == std::string::npos)
        return {};
    const std::size_t start = origin.find_last_of(' ', end);
    return origin.substr(start + 1, end - start);
}

void print(const LogLine &line, std::ostream &output)
{
    output << line.origin << line.timestamp << "  " << line.event;
    for (const auto &[name, value] : line.fields)
        if (name != "id" && !value.empty())
            output << ' ' << name << '=' << value;
    output << '\n';
}

/// Processes, instances and services that the events of one request name. isRelevant() compares
/// state changes with them.
struct RequestScope
{
    std::set<std::string> processes;
    std::set<std::string> instances;
    std::set<std::string> services;
};

RequestScope scopeOf(const std::string &id, const std::vector<LogLine> &lines)
{
    RequestScope scope;
    for (const LogLine &line : lines) {
        const std::string *requestId = line.find("id");
        if (!requestId || *requestId != id)
            continue;
        scope.processes.insert(processOf(line.origin));
        if (const std::string *instance = line.find("instance"))
            scope.instances.insert(*instance);
        if (const std::string *service = line.find("service"))
            scope.services.insert(*service);
    }
    return scope;
}

/// @return whether @p line is a state change that may have affected the request
bool isRelevant(const LogLine &line, const RequestScope &scope)
{
    if (line.find("id") || !scope.processes.contains(processOf(line.origin)))
        return false;
    if (std::find(DaemonEvents.begin(), DaemonEvents.end(), line.event) != DaemonEvents.end())
        return true;
    const std::string *instance = line.find("instance");
    const std::string *service = line.find("service");
    return (instance && scope.instances.contains(*instance)) ||
           (service && scope.services.contains(*service));
}

} // namespace

const std::string *LogLine::find(const std::string &name) const
{
    const auto found = std::find_if(fields.begin(), fields.end(),
                                    [&name](const auto &field) { return field.first == name; });
    return found == fields.end() ? nullptr : &found->second;
}

std::vector<LogLine> readLogLines(std::istream &input)
{
    std::vector<LogLine> lines;
    for (std::string text; std::getline(input, text);) {
        const std::size_t brace = text.find('{');
        if (brace == std::string::npos)
            continue;
        boost::system::error_code error;
        const json::value value = json::parse(std::string_view(text).substr(brace), error);
        const json::object *object = error ? nullptr : value.if_object();
        const json::value *event = object ? object->if_contains("message") : nullptr;
        if (!event)
            continue;
        LogLine line;
        line.origin = text.substr(0, brace);
        line.event = toText(*event);
        if (const json::value *timestamp = object->if_contains("timestamp"))
            line.timestamp = toText(*timestamp);
        const json::value *fields = object->if_contains("context_map");
        if (fields && fields->is_object())
            for (const auto &field : fields->get_object())
                line.fields.emplace_back(field.key(), toText(field.value()));
        std::sort(line.fields.begin(), line.fields.end());
        lines.push_back(std::move(line));
    }
    return lines;
}

bool explainRequest(const std::string &id, const std::vector<LogLine> &lines, std::ostream &output)
{
    const RequestScope scope = scopeOf(id, lines);
    if (scope.processes.empty())
        return false;
    std::vector<const LogLine *> precedingEvents;
    std::vector<const LogLine *> requestEvents;
    std::size_t lastOwnEventEnd = 0;
    for (const LogLine &line : lines) {
        const std::string *requestId = line.find("id");
        if (requestId && *requestId == id) {
            requestEvents.push_back(&line);
            lastOwnEventEnd = requestEvents.size();
        } else if (isRelevant(line, scope)) {
            (requestEvents.empty() ? precedingEvents : requestEvents).push_back(&line);
        }
    }
    // Later state changes cannot have affected the request.
    requestEvents.resize(lastOwnEventEnd);
    const std::size_t skipped = precedingEvents.size() > MaxPrecedingEvents
                                        ? precedingEvents.size() - MaxPrecedingEvents
                                        : 0;
    output << "state changes before the request:\n";
    for (std::size_t i = skipped; i < precedingEvents.size(); ++i)
        print(*precedingEvents[i], output);
    output << "request " << id << ":\n";
    for (const LogLine *line : requestEvents)
        print(*line, output);
    return true;
}

} // namespace geraniumcart::tools
