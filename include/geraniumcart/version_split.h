#pragma once

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace geraniumcart {

/// Share of a service's requests that a back-end version receives while a move is under way.
struct VersionShare
{
    std::string version;
    double share = 1.0;
    bool operator==(const VersionShare &) const = default;
};

/// Divides the requests of one service among back-end versions. Picks are random by share and
/// corrected by what each version got before, so that fallbacks of requests that only one version
/// can serve do not add up to more than its share. Belongs to one worker.
class VersionSplit
{
public:
    explicit VersionSplit(std::vector<VersionShare> shares);

    bool matches(const std::vector<VersionShare> &shares) const;
    /// @param canServe tells whether a version has a searcher for this request
    /// @return the version that serves the request; null where none with a share can
    const std::string *pick(const std::function<bool(const std::string &)> &canServe,
                            std::mt19937_64 &random) const;
    /// Counts a request that @p version received.
    void charge(const std::string &version);

private:
    struct Entry
    {
        std::string version;
        double share = 0;
        /// Requests by which the version is behind its share.
        double credit = 0;
    };

    std::vector<Entry> m_entries;
};

/// The splits of all services that are under a move. Belongs to one worker.
class VersionSplits
{
public:
    /// @return the split of @p service, a new one after its shares changed
    VersionSplit &of(const std::string &service, const std::vector<VersionShare> &shares);

private:
    std::map<std::string, VersionSplit, std::less<>> m_splits;
};

} // namespace geraniumcart
