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

/// Changes of belief that are printed, at most, from before the request's first event.
constexpr std::size_t MaxBeliefsBefore = 40;

/// Events that concern every request of a daemon.
constexpr std::array<std::string_view, 14> DaemonEvents{
        "started",    "stopped",    "ready",           "leaving",         "routesInForce",
        "zoneOut",    "zoneBack",   "storeLost",       "storeRegained",   "storeHistoryGone",
        "workerBusy", "workerIdle", "logLinesDropped", "stoppedWithWork",
};

std::string textOf(const json::value &value)
{
    return value.is_string() ? std::string(value.get_string().c_str()) : json::serialize(value);
}

std::string processOf(const std::string &origin)
{
    // A collector puts its own time first and the process last.
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

struct Subject
{
    std::set<std::string> processes;
    std::set<std::string> instances;
    std::set<std::string> services;
};

Subject subjectOf(const std::string &id, const std::vector<LogLine> &lines)
{
    Subject subject;
    for (const LogLine &line : lines) {
        const std::string *named = line.find("id");
        if (!named || *named != id)
            continue;
        subject.processes.insert(processOf(line.origin));
        if (const std::string *instance = line.find("instance"))
            subject.instances.insert(*instance);
        if (const std::string *service = line.find("service"))
            subject.services.insert(*service);
    }
    return subject;
}

bool concerns(const LogLine &line, const Subject &subject)
{
    if (line.find("id") || !subject.processes.contains(processOf(line.origin)))
        return false;
    if (std::find(DaemonEvents.begin(), DaemonEvents.end(), line.event) != DaemonEvents.end())
        return true;
    const std::string *instance = line.find("instance");
    const std::string *service = line.find("service");
    return (instance && subject.instances.contains(*instance)) ||
           (service && subject.services.contains(*service));
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
        line.event = textOf(*event);
        if (const json::value *timestamp = object->if_contains("timestamp"))
            line.timestamp = textOf(*timestamp);
        const json::value *fields = object->if_contains("context_map");
        if (fields && fields->is_object())
            for (const auto &field : fields->get_object())
                line.fields.emplace_back(field.key(), textOf(field.value()));
        std::sort(line.fields.begin(), line.fields.end());
        lines.push_back(std::move(line));
    }
    return lines;
}

bool explainRequest(const std::string &id, const std::vector<LogLine> &lines, std::ostream &output)
{
    const Subject subject = subjectOf(id, lines);
    if (subject.processes.empty())
        return false;
    std::vector<const LogLine *> before;
    std::vector<const LogLine *> life;
    std::size_t lifeEnd = 0;
    for (const LogLine &line : lines) {
        const std::string *named = line.find("id");
        if (named && *named == id) {
            life.push_back(&line);
            lifeEnd = life.size();
        } else if (concerns(line, subject)) {
            (life.empty() ? before : life).push_back(&line);
        }
    }
    // What the daemon learned after the request's last event did not matter to it.
    life.resize(lifeEnd);
    const std::size_t skipped =
            before.size() > MaxBeliefsBefore ? before.size() - MaxBeliefsBefore : 0;
    output << "what the daemon knew:\n";
    for (std::size_t i = skipped; i < before.size(); ++i)
        print(*before[i], output);
    output << "request " << id << ":\n";
    for (const LogLine *line : life)
        print(*line, output);
    return true;
}

} // namespace geraniumcart::tools
