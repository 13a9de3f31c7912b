#include <geraniumcart/version_split.h>

#include <algorithm>

namespace geraniumcart {

namespace {

/// Number of requests over which the shares are restored after a version served a request because
/// no other version could.
constexpr double ShareHorizon = 64;
/// Maximum credit or debt of a version, in requests. Without this limit, a version that served all
/// requests alone for a long time would then receive none for an equally long time.
constexpr double MaxCredit = 256;

} // namespace

VersionSplit::VersionSplit(std::vector<VersionShare> shares)
{
    for (VersionShare &share : shares)
        m_entries.push_back({std::move(share.version), share.share, 0});
}

bool VersionSplit::matches(const std::vector<VersionShare> &shares) const
{
    return std::ranges::equal(m_entries, shares, [](const Entry &entry, const VersionShare &s) {
        return entry.version == s.version && entry.share == s.share;
    });
}

const std::string *VersionSplit::pick(const std::function<bool(const std::string &)> &canServe,
                                      std::mt19937_64 &random) const
{
    const Entry *best = nullptr;
    const Entry *drawn = nullptr;
    double weights = 0;
    std::uniform_real_distribution<double> unit;
    for (const Entry &entry : m_entries) {
        if (entry.share <= 0 || !canServe(entry.version))
            continue;
        if (!best || entry.credit > best->credit)
            best = &entry;
        const double weight = std::max(0.0, entry.share * ShareHorizon + entry.credit);
        weights += weight;
        if (weight > 0 && unit(random) * weights < weight)
            drawn = &entry;
    }
    const Entry *picked = drawn ? drawn : best;
    return picked ? &picked->version : nullptr;
}

void VersionSplit::charge(const std::string &version)
{
    double total = 0;
    for (const Entry &entry : m_entries)
        total += entry.share;
    for (Entry &entry : m_entries)
        entry.credit =
                std::clamp(entry.credit + entry.share / total - (entry.version == version ? 1 : 0),
                           -MaxCredit, MaxCredit);
}

VersionSplit &VersionSplits::of(const std::string &service, const std::vector<VersionShare> &shares)
{
    const auto found = m_splits.find(service);
    if (found == m_splits.end())
        return m_splits.emplace(service, VersionSplit(shares)).first->second;
    if (!found->second.matches(shares))
        found->second = VersionSplit(shares);
    return found->second;
}

} // namespace geraniumcart
