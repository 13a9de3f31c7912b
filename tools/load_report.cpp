#include "load_report.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace geraniumcart::tools {

namespace {

/// Length of the interval that one SeriesPoint covers.
constexpr std::chrono::milliseconds SeriesInterval{250};

/// @return whether the request had a valid answer that is neither a refusal nor an error
bool isAnswered(const LoadRecord &record)
{
    return record.status == 200 && record.outcome != LoadOutcome::Malformed;
}

/// Counts the outcome, except for refusals and bookings, which the caller counts.
void countOutcome(const LoadRecord &record, LoadReport &report)
{
    switch (record.outcome) {
    case LoadOutcome::Complete:
        ++report.complete;
        break;
    case LoadOutcome::Partial:
        ++report.partial;
        break;
    case LoadOutcome::CutOff:
        ++report.cutOff;
        report.idleCloseRaces += record.isIdleCloseRace;
        break;
    case LoadOutcome::ConnectFailed:
        ++report.connectFailed;
        break;
    case LoadOutcome::TimedOut:
        ++report.timedOut;
        break;
    case LoadOutcome::Malformed:
        ++report.malformed;
        break;
    case LoadOutcome::Refused:
    case LoadOutcome::BookingDone:
    case LoadOutcome::BookingNotRun:
    case LoadOutcome::BookingUnknown:
        break;
    }
}

void countBooking(const LoadRecord &record, BookingSummary &bookings)
{
    ++bookings.sent;
    if (record.outcome == LoadOutcome::BookingDone)
        ++bookings.done;
    else if (record.outcome == LoadOutcome::BookingNotRun)
        ++bookings.notRun;
    else if (record.outcome == LoadOutcome::BookingUnknown)
        ++bookings.unknown;
    else
        ++bookings.withoutOutcome;
}

std::vector<SeriesPoint> makeSeries(std::span<const LoadRecord> records)
{
    std::vector<SeriesPoint> points;
    std::vector<std::vector<Duration>> latencies;
    for (const LoadRecord &record : records) {
        const auto index = static_cast<std::size_t>(record.intendedStart / SeriesInterval);
        while (points.size() <= index) {
            points.push_back({SeriesInterval * points.size()});
            latencies.emplace_back();
        }
        ++points[index].sent;
        if (!isAnswered(record))
            continue;
        ++points[index].answered;
        points[index].complete += record.outcome == LoadOutcome::Complete;
        latencies[index].push_back(record.latency);
    }
    for (std::size_t i = 0; i < points.size(); ++i)
        points[i].p99 = summarizeLatency(std::move(latencies[i])).p99;
    return points;
}

std::vector<ClassSummary> summarizeClasses(std::span<const LoadRecord> records,
                                           const std::vector<ClassShare> &classes)
{
    std::vector<ClassSummary> summaries;
    std::vector<std::vector<Duration>> latencies(classes.size());
    for (const ClassShare &share : classes)
        summaries.push_back({share.name, share.weight, 0, 0, {}, 0});
    for (const LoadRecord &record : records) {
        ClassSummary &summary = summaries[record.classIndex];
        ++summary.sent;
        if (!isAnswered(record))
            continue;
        ++summary.answered;
        latencies[record.classIndex].push_back(record.latency);
    }
    for (std::size_t i = 0; i < summaries.size(); ++i) {
        ClassSummary &summary = summaries[i];
        summary.latency = summarizeLatency(std::move(latencies[i]));
        if (summary.sent > 0)
            summary.answeredShare =
                    static_cast<double>(summary.answered) / static_cast<double>(summary.sent);
    }
    return summaries;
}

} // namespace

const char *toString(LoadOutcome outcome)
{
    switch (outcome) {
    case LoadOutcome::Complete:
        return "complete";
    case LoadOutcome::Partial:
        return "partial";
    case LoadOutcome::BookingDone:
        return "done";
    case LoadOutcome::BookingNotRun:
        return "notRun";
    case LoadOutcome::BookingUnknown:
        return "unknown";
    case LoadOutcome::Refused:
        return "refused";
    case LoadOutcome::CutOff:
        return "cutOff";
    case LoadOutcome::ConnectFailed:
        return "connectFailed";
    case LoadOutcome::TimedOut:
        return "timedOut";
    case LoadOutcome::Malformed:
        return "malformed";
    }
    return "";
}

Duration quantileOf(std::span<const Duration> sorted, double quantile)
{
    if (sorted.empty())
        return {};
    const double rank = std::ceil(quantile * static_cast<double>(sorted.size()));
    const auto index = static_cast<std::size_t>(std::max(rank, 1.0)) - 1;
    return sorted[std::min(index, sorted.size() - 1)];
}

LatencySummary summarizeLatency(std::vector<Duration> latencies)
{
    std::ranges::sort(latencies);
    LatencySummary summary;
    summary.count = latencies.size();
    summary.p50 = quantileOf(latencies, 0.5);
    summary.p90 = quantileOf(latencies, 0.9);
    summary.p99 = quantileOf(latencies, 0.99);
    summary.p999 = quantileOf(latencies, 0.999);
    summary.max = quantileOf(latencies, 1);
    return summary;
}

LoadReport summarizeLoad(std::span<const LoadRecord> records,
                         const std::vector<ClassShare> &classes)
{
    LoadReport report;
    std::map<std::pair<std::uint32_t, std::string>, std::uint64_t> refusals;
    std::vector<Duration> latencies;
    std::uint64_t searches = 0;
    double coverageSum = 0;
    for (const LoadRecord &record : records) {
        const double weight = classes[record.classIndex].weight;
        ++report.sent;
        report.offeredWeight += weight;
        countOutcome(record, report);
        if (record.isBooking)
            countBooking(record, report.bookings);
        if (record.status != 0 && record.status != 200) {
            ++report.refused;
            ++refusals[{record.status, record.reason}];
        }
        if (!isAnswered(record))
            continue;
        ++report.answered;
        report.answeredWeight += weight;
        latencies.push_back(record.latency);
        if (record.isBooking)
            continue;
        ++searches;
        coverageSum += record.coverage;
        report.shardsOfAnswered += record.shardsTotal;
    }
    for (const auto &[key, count] : refusals)
        report.refusals.push_back({key.first, key.second, count});
    if (searches > 0)
        report.meanCoverage = coverageSum / static_cast<double>(searches);
    report.latency = summarizeLatency(std::move(latencies));
    report.classes = summarizeClasses(records, classes);
    report.series = makeSeries(records);
    return report;
}

void checkBookings(std::span<const LoadRecord> records,
                   const std::unordered_map<std::string, std::uint32_t> &runsByKey,
                   BookingSummary &summary)
{
    summary.isChecked = true;
    for (const LoadRecord &record : records) {
        if (!record.isBooking)
            continue;
        const auto found = runsByKey.find(record.bookingKey);
        const std::uint32_t runs = found == runsByKey.end() ? 0 : found->second;
        summary.ranTwice += runs > 1;
        summary.doneButNotRun += record.outcome == LoadOutcome::BookingDone && runs == 0;
        // BookingNotRun includes refusals before dispatch, which also state that the booking did
        // not run.
        summary.notRunButRan += record.outcome == LoadOutcome::BookingNotRun && runs > 0;
        summary.unknownButRan += record.outcome == LoadOutcome::BookingUnknown && runs > 0;
    }
}

} // namespace geraniumcart::tools
