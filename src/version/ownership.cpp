#include <geraniumcart/ownership.h>

#include <xxhash.h>

#include <algorithm>
#include <map>

namespace geraniumcart {

namespace {

/// Rendezvous hash of a searcher and a member.
std::uint64_t score(const SearcherEntry &searcher, const Member &member)
{
    const std::uint64_t seed = XXH3_64bits(member.name.data(), member.name.size());
    return XXH3_64bits_withSeed(searcher.address.data(), searcher.address.size(), seed);
}

/// @return indices of the members in order of preference for one searcher: members of its zone
/// first, then by rendezvous score
std::vector<std::uint32_t> rank(const SearcherEntry &searcher, std::span<const Member> members)
{
    struct Candidate
    {
        bool isRemote;
        std::uint64_t score;
        std::uint32_t index;
    };
    std::vector<Candidate> candidates;
    candidates.reserve(members.size());
    for (std::uint32_t i = 0; i < members.size(); ++i)
        candidates.push_back({members[i].zone != searcher.zone, score(searcher, members[i]), i});
    std::sort(candidates.begin(), candidates.end(), [](const Candidate &a, const Candidate &b) {
        if (a.isRemote != b.isRemote)
            return !a.isRemote;
        return a.score != b.score ? a.score > b.score : a.index < b.index;
    });
    std::vector<std::uint32_t> order;
    for (const Candidate &candidate : candidates)
        order.push_back(candidate.index);
    return order;
}

} // namespace

std::vector<std::uint32_t> assignOwners(std::span<const SearcherEntry> searchers,
                                        std::span<const Member> members)
{
    if (members.empty())
        return {};

    // Searchers are assigned in order of shard and address, so that the result does not depend
    // on the order of the host list.
    std::vector<std::uint32_t> order(searchers.size());
    for (std::uint32_t i = 0; i < order.size(); ++i)
        order[i] = i;
    std::sort(order.begin(), order.end(), [&](std::uint32_t a, std::uint32_t b) {
        return std::tie(searchers[a].shard, searchers[a].address) <
               std::tie(searchers[b].shard, searchers[b].address);
    });

    std::vector<std::uint32_t> owners(searchers.size(), 0);
    std::vector<std::uint32_t> ownedInShard;
    for (std::size_t i = 0; i < order.size(); ++i) {
        const SearcherEntry &searcher = searchers[order[i]];
        if (i == 0 || searchers[order[i - 1]].shard != searcher.shard)
            ownedInShard.clear();
        const std::vector<std::uint32_t> ranked = rank(searcher, members);
        // Replicas of one shard get different owners, so that after the loss of one owner the
        // replicas of the other owners are still available for hedges and retries.
        auto chosen = std::find_if(ranked.begin(), ranked.end(), [&](std::uint32_t member) {
            return std::find(ownedInShard.begin(), ownedInShard.end(), member) ==
                   ownedInShard.end();
        });
        if (chosen == ranked.end()) {
            ownedInShard.clear();
            chosen = ranked.begin();
        }
        ownedInShard.push_back(*chosen);
        owners[order[i]] = *chosen;
    }
    return owners;
}

} // namespace geraniumcart
