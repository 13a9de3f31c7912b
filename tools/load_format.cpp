#include "load_report.h"

#include <boost/json.hpp>

#include <cstdio>

namespace geraniumcart::tools {

namespace json = boost::json;

namespace {

double toMs(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

json::object toJson(const LatencySummary &latency)
{
    return {{"count", latency.count},        {"p50Ms", toMs(latency.p50)},
            {"p90Ms", toMs(latency.p90)},    {"p99Ms", toMs(latency.p99)},
            {"p99_9Ms", toMs(latency.p999)}, {"maxMs", toMs(latency.max)}};
}

json::object toJson(const BookingSummary &bookings)
{
    json::object object{{"sent", bookings.sent},
                        {"done", bookings.done},
                        {"notRun", bookings.notRun},
                        {"unknown", bookings.unknown},
                        {"lost", bookings.withoutOutcome}};
    if (bookings.isChecked) {
        object["ranTwice"] = bookings.ranTwice;
        object["doneButNotRun"] = bookings.doneButNotRun;
        object["notRunButRan"] = bookings.notRunButRan;
        object["unknownButRan"] = bookings.unknownButRan;
    }
    return object;
}

/// Appends a line in printf() format; text beyond 255 characters is cut.
template <typename... Values>
void append(std::string &text, const char *format, Values... values)
{
    char line[256];
    std::snprintf(line, sizeof line, format, values...);
    text += line;
}

void appendLatencyRow(std::string &text, const std::string &name, const LatencySummary &latency)
{
    append(text, "%-20.20s %9llu %9.2f %9.2f %9.2f %9.2f %9.2f\n", name.c_str(),
           static_cast<unsigned long long>(latency.count), toMs(latency.p50), toMs(latency.p90),
           toMs(latency.p99), toMs(latency.p999), toMs(latency.max));
}

void appendCountRow(std::string &text, const std::string &name, std::uint64_t count)
{
    append(text, "%-48.48s %9llu\n", name.c_str(), static_cast<unsigned long long>(count));
}

} // namespace

std::string formatLoadTable(const LoadReport &report)
{
    std::string text;
    appendCountRow(text, "sent", report.sent);
    appendCountRow(text, "answered", report.answered);
    appendCountRow(text, "  complete", report.complete);
    appendCountRow(text, "  partial", report.partial);
    appendCountRow(text, "refused", report.refused);
    for (const RefusalCount &refusal : report.refusals)
        appendCountRow(text, "  " + std::to_string(refusal.status) + " " + refusal.reason,
                       refusal.count);
    appendCountRow(text, "cut off", report.cutOff);
    appendCountRow(text, "  on a reused connection, no answer byte", report.idleCloseRaces);
    appendCountRow(text, "connect failed", report.connectFailed);
    appendCountRow(text, "timed out", report.timedOut);
    appendCountRow(text, "malformed", report.malformed);
    append(text, "%-48s %9.5f\n", "mean coverage", report.meanCoverage);
    append(text, "%-48s %9.5f\n", "service by weight", report.answeredWeightShare());
    if (report.extraUpstreamLoad)
        append(text, "%-48s %9.5f\n", "extra upstream load", *report.extraUpstreamLoad);
    append(text, "%-48s %9.2f\n", "largest send delay ms", toMs(report.largestSendDelay));
    append(text, "\n%-20s %9s %9s %9s %9s %9s %9s\n", "latency ms", "count", "p50", "p90", "p99",
           "p99.9", "max");
    appendLatencyRow(text, "all", report.latency);
    for (const ClassSummary &summary : report.classes)
        appendLatencyRow(text, summary.name, summary.latency);
    append(text, "\n%-20s %9s %9s %9s %9s\n", "class", "weight", "sent", "answered", "served");
    for (const ClassSummary &summary : report.classes)
        append(text, "%-20.20s %9u %9llu %9llu %9.5f\n", summary.name.c_str(), summary.weight,
               static_cast<unsigned long long>(summary.sent),
               static_cast<unsigned long long>(summary.answered), summary.answeredShare);
    const BookingSummary &bookings = report.bookings;
    if (bookings.sent == 0)
        return text;
    text += '\n';
    appendCountRow(text, "bookings", bookings.sent);
    appendCountRow(text, "  done", bookings.done);
    appendCountRow(text, "  not run", bookings.notRun);
    appendCountRow(text, "  unknown", bookings.unknown);
    appendCountRow(text, "  no outcome received", bookings.withoutOutcome);
    if (!bookings.isChecked)
        return text;
    appendCountRow(text, "  ran twice", bookings.ranTwice);
    appendCountRow(text, "  reported done, did not run", bookings.doneButNotRun);
    appendCountRow(text, "  reported not run, ran", bookings.notRunButRan);
    appendCountRow(text, "  reported unknown, ran", bookings.unknownButRan);
    return text;
}

std::string formatLoadJson(const LoadReport &report)
{
    json::array refusals;
    for (const RefusalCount &refusal : report.refusals)
        refusals.push_back(
                {{"status", refusal.status}, {"reason", refusal.reason}, {"count", refusal.count}});
    json::array classes;
    for (const ClassSummary &summary : report.classes)
        classes.push_back({{"name", summary.name},
                           {"weight", summary.weight},
                           {"sent", summary.sent},
                           {"answered", summary.answered},
                           {"served", summary.answeredShare},
                           {"latency", toJson(summary.latency)}});
    json::array series;
    for (const SeriesPoint &point : report.series)
        series.push_back({{"atMs", toMs(point.at)},
                          {"sent", point.sent},
                          {"answered", point.answered},
                          {"complete", point.complete},
                          {"p99Ms", toMs(point.p99)}});
    json::object root{
            {"durationMs", toMs(report.duration)},
            {"sent", report.sent},
            {"answered", report.answered},
            {"complete", report.complete},
            {"partial", report.partial},
            {"refused", report.refused},
            {"refusals", std::move(refusals)},
            {"cutOff", report.cutOff},
            {"idleCloseRaces", report.idleCloseRaces},
            {"connectFailed", report.connectFailed},
            {"timedOut", report.timedOut},
            {"malformed", report.malformed},
            {"latency", toJson(report.latency)},
            {"classes", std::move(classes)},
            {"meanCoverage", report.meanCoverage},
            {"offeredWeight", report.offeredWeight},
            {"answeredWeight", report.answeredWeight},
            {"serviceByWeight", report.answeredWeightShare()},
            {"bookings", toJson(report.bookings)},
            {"shardsOfAnswered", report.shardsOfAnswered},
            {"entriesRefreshes", report.entriesRefreshes},
            {"entriesFailures", report.entriesFailures},
            {"largestSendDelayMs", toMs(report.largestSendDelay)},
            {"series", std::move(series)},
    };
    if (report.extraUpstreamLoad)
        root["extraUpstreamLoad"] = *report.extraUpstreamLoad;
    return json::serialize(root);
}

} // namespace geraniumcart::tools
