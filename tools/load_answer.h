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
    /// Share of the requests, relative to the weights of the other targets.
    std::uint32_t weight = 1;
    bool operator==(const LoadTarget &) const = default;
};

/// The addresses to send requests to, and how long the list is valid.
struct LoadTargets
{
    std::vector<LoadTarget> targets;
    /// Time after which the list must be fetched again.
    Duration validFor{};
};

/// Fills in the outcome, the reason and the coverage of a record from the body of a complete
/// answer.
/// @param record must hold the status of the answer and whether the request is a booking
void readAnswer(std::string_view body, LoadRecord &record);
/// Parses the answer to `GET /v1/entries`; entries with an invalid address or weight 0 are skipped.
/// @return std::nullopt if the body is malformed or no entry remains
std::optional<LoadTargets> parseEntries(std::string_view body);

/// Provides the addresses that requests are sent to. Not thread-safe.
class TargetSource
{
public:
    virtual ~TargetSource() = default;
    /// Blocks until the addresses are known or could not be fetched.
    /// @return std::nullopt with @p reason on failure
    virtual std::optional<LoadTargets> fetch(std::string &reason) = 0;
};

/// Fetches `/v1/entries` from the daemons, as callers do. Tries the addresses of the last list and
/// @p addresses in turn; the first one to be tried changes after each successful fetch.
std::unique_ptr<TargetSource> makeEntriesSource(std::vector<std::string> addresses);
/// Always provides @p addresses, with equal weights.
std::unique_ptr<TargetSource> makeFixedSource(std::vector<std::string> addresses);

/// Adds up the searches of @p service that the searchers have started. Blocks.
/// @param controls addresses of the fake searchers' control ports
/// @return std::nullopt with @p reason if a control port gave no valid answer
std::optional<std::uint64_t> fetchSearchesStarted(const std::vector<std::string> &controls,
                                                  const std::string &service, std::string &reason);
/// Adds up how often each booking key was run at the searchers. Blocks.
/// @param controls addresses of the fake searchers' control ports
/// @return std::nullopt with @p reason if a control port gave no valid answer
std::optional<std::unordered_map<std::string, std::uint32_t>>
fetchBookingRuns(const std::vector<std::string> &controls, std::string &reason);

} // namespace geraniumcart::tools
