#include <geraniumcart/rules_apply.h>

#include <algorithm>

namespace geraniumcart {

namespace {

/// Reads after a lost answer; the store may be slow to come back.
constexpr int ReadBackAttempts = 5;

std::vector<std::string_view> splitLines(std::string_view text)
{
    std::vector<std::string_view> lines;
    while (!text.empty()) {
        const std::size_t end = text.find('\n');
        lines.push_back(text.substr(0, end));
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    }
    return lines;
}

/// Finds out by reading whether a write whose answer was lost took effect.
ApplyResult resolveByReading(RulesStore &store, std::uint64_t baseVersion, const std::string &text)
{
    for (int attempt = 0; attempt < ReadBackAttempts; ++attempt) {
        StoreError error{};
        const std::optional<StoredObject> object = store.read(error);
        const std::uint64_t version = object ? object->version : 0;
        if (object && object->value == text && version != baseVersion)
            return {ApplyState::Accepted, version, {}};
        if (object && version != baseVersion)
            return {ApplyState::Conflict, version, object->value};
        // The write may still be on its way to a slow store, so an unchanged object proves nothing.
    }
    return {ApplyState::Unknown, baseVersion, {}};
}

} // namespace

ApplyResult applyRules(RulesStore &store, std::uint64_t baseVersion, const std::string &text)
{
    StoreError error{};
    const std::optional<StoredObject> current = store.read(error);
    if (!current && error != StoreError::NotFound)
        return {ApplyState::Unreachable, 0, {}};
    if (current && current->value == text)
        return {ApplyState::Unchanged, current->version, {}};
    if (current && current->version != baseVersion)
        return {ApplyState::Conflict, current->version, current->value};

    const std::optional<std::uint64_t> written =
            store.write(current ? baseVersion : 0, text, error);
    if (written)
        return {ApplyState::Accepted, *written, {}};
    if (error == StoreError::Unavailable)
        return {ApplyState::Unreachable, baseVersion, {}};
    return resolveByReading(store, current ? baseVersion : 0, text);
}

std::vector<std::string> diffLines(std::string_view before, std::string_view after)
{
    const std::vector<std::string_view> old = splitLines(before);
    const std::vector<std::string_view> fresh = splitLines(after);
    // Length of the longest common subsequence of the tails from (i, j) on.
    std::vector<std::vector<std::size_t>> common(old.size() + 1,
                                                 std::vector<std::size_t>(fresh.size() + 1, 0));
    for (std::size_t i = old.size(); i-- > 0;)
        for (std::size_t j = fresh.size(); j-- > 0;)
            common[i][j] = old[i] == fresh[j] ? common[i + 1][j + 1] + 1
                                              : std::max(common[i + 1][j], common[i][j + 1]);

    std::vector<std::string> lines;
    std::size_t i = 0;
    std::size_t j = 0;
    while (i < old.size() || j < fresh.size()) {
        const bool isSame = i < old.size() && j < fresh.size() && old[i] == fresh[j];
        const bool isRemoved = !isSame && i < old.size() &&
                               (j == fresh.size() || common[i + 1][j] >= common[i][j + 1]);
        const char mark = isSame ? ' ' : isRemoved ? '-' : '+';
        lines.push_back(mark + std::string(isSame || isRemoved ? old[i] : fresh[j]));
        i += isSame || isRemoved;
        j += isSame || !isRemoved;
    }
    return lines;
}

} // namespace geraniumcart
