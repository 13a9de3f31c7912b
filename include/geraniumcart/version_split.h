#pragma once

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace geraniumcart {

/// Share of a service's requests that a back-end version receives during a rollout.
struct VersionShare
{
    std::string version;
    double share = 1.0;
    bool operator==(const VersionShare &) const = default;
};

/// Divides the requests of one service among back-end versions. Picks are random, weighted by share
/// and corrected by what each version has received before. Requests that only one version can serve
/// therefore do not add up to more than its share. Used by one worker only.
class VersionSplit
{
public:
    explicit VersionSplit(std::vector<VersionShare> shares);

    /// True if this split was created with @p shares.
    bool matches(const std::vector<VersionShare> &shares) const;
    /// @param canServe returns whether a version has a searcher for this request
    /// @return the version to serve the request; null if no version with a share above 0 can
    const std::string *pick(const std::function<bool(const std::string &)> &canServe,
                            std::mt19937_64 &random) const;
    /// Counts one request that was sent to @p version.
    void charge(const std::string &version);

private:
    struct Entry
    {
        std::string version;
        double share = 0;
        /// Number of requests by which the version is below its share; negative if it is above.
        double credit = 0;
    };

    std::vector<Entry> m_entries;
};

/// The splits of all services that have a rollout. Used by one worker only.
class VersionSplits
{
public:
    /// @return the split of @p service, replaced by a new one if @p shares differ from its own
    VersionSplit &of(const std::string &service, const std::vector<VersionShare> &shares);

private:
    std::map<std::string, VersionSplit, std::less<>> m_splits;
};

} // namespace geraniumcart
