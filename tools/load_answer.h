#pragma once

#include "load_report.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumcart::tools {

/// An address to send requests to.
struct LoadTarget
{
    std::string address;
    std::uint32_t weight = 1;
    bool operator==(const LoadTarget &) const = default;
};

struct LoadTargets
{
    std::vector<LoadTarget> targets;
    Duration validFor{};
};

/// Fills in outcome, reason and coverage from a whole answer with the status that the record holds.
void readAnswer(std::string_view body, LoadRecord &record);
/// Reads the answer of `GET /v1/entries`.
std::optional<LoadTargets> parseEntries(std::string_view body);

/// Where requests go. Used by one thread.
class TargetSource
{
public:
    virtual ~TargetSource() = default;
    /// Blocks. @return nothing with @p reason when no list could be had
    virtual std::optional<LoadTargets> fetch(std::string &reason) = 0;
};

/// Asks the system, as callers do.
std::unique_ptr<TargetSource> makeEntriesSource(std::vector<std::string> addresses);
std::unique_ptr<TargetSource> makeFixedSource(std::vector<std::string> addresses);

/// Searches of @p service that all searchers behind the control ports have started.
std::optional<std::uint64_t> fetchSearchesStarted(const std::vector<std::string> &controls,
                                                  const std::string &service, std::string &reason);
/// Runs of each booking key at these searchers.
std::optional<std::unordered_map<std::string, std::uint32_t>>
fetchBookingRuns(const std::vector<std::string> &controls, std::string &reason);

} // namespace geraniumcart::tools
