#include <geraniumcart/rules_apply.h>

#include <algorithm>

namespace geraniumcart {

namespace {

/// Maximum number of writes in one call of applyRules(). Each is conditional on the same version,
/// so at most one takes effect.
constexpr int WriteAttempts = 3;
/// Maximum number of reads after a lost answer; the store may take some time to recover.
constexpr int ReadBackAttempts = 5;
/// Pause before such a read.
constexpr std::chrono::milliseconds ReadBackPause{500};
/// Maximum size of the table of a diff, in cells. Larger texts are shown as completely replaced.
constexpr std::size_t MaxDiffCells = 16 * 1024 * 1024;

using Lines = std::vector<std::string_view>;

Lines splitLines(std::string_view text)
{
    Lines lines;
    while (!text.empty()) {
        const std::size_t end = text.find('\n');
        lines.push_back(text.substr(0, end));
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    }
    return lines;
}

void append(std::vector<std::string> &lines, char prefix, Lines::const_iterator begin,
            Lines::const_iterator end)
{
    for (; begin != end; ++begin)
        lines.push_back(prefix + std::string(*begin));
}

/// Appends the difference of two texts whose first and last lines differ.
void appendChanged(std::vector<std::string> &lines, const Lines &original, const Lines &edited)
{
    const std::size_t width = edited.size() + 1;
    if (width > MaxDiffCells / (original.size() + 1)) {
        append(lines, '-', original.begin(), original.end());
        append(lines, '+', edited.begin(), edited.end());
        return;
    }
    // at(i, j) is the length of the longest common subsequence of the lines from i and j on.
    std::vector<std::uint32_t> common((original.size() + 1) * width, 0);
    const auto at = [&](std::size_t i, std::size_t j) -> std::uint32_t & {
        return common[i * width + j];
    };
    for (std::size_t i = original.size(); i-- > 0;)
        for (std::size_t j = edited.size(); j-- > 0;)
            at(i, j) = original[i] == edited[j] ? at(i + 1, j + 1) + 1
                                                : std::max(at(i + 1, j), at(i, j + 1));

    std::size_t i = 0;
    std::size_t j = 0;
    while (i < original.size() || j < edited.size()) {
        const bool isSame = i < original.size() && j < edited.size() && original[i] == edited[j];
        const bool isRemoved = !isSame && i < original.size() &&
                               (j == edited.size() || at(i + 1, j) >= at(i, j + 1));
        const char prefix = isSame ? ' ' : isRemoved ? '-' : '+';
        lines.push_back(prefix + std::string(isSame || isRemoved ? original[i] : edited[j]));
        i += isSame || isRemoved;
        j += isSame || !isRemoved;
    }
}

/// Reads the rules after a write that did not succeed.
/// @param mayBeInFlight true if the write may still reach the store
/// @return false if the store answered no attempt
bool readBack(RulesStore &store, std::optional<StoredObject> &current, bool mayBeInFlight)
{
    for (int attempt = 0; attempt < ReadBackAttempts; ++attempt) {
        // A write whose answer was lost may still be in transit to a slow store.
        if (attempt > 0 || mayBeInFlight)
            store.pause(ReadBackPause);
        StoreError error{};
        current = store.read(error);
        if (current || error == StoreError::NotFound)
            return true;
    }
    return false;
}

} // namespace

ApplyResult applyRules(RulesStore &store, std::uint64_t baseVersion, const std::string &text)
{
    StoreError error{};
    std::optional<StoredObject> current = store.read(error);
    if (!current && error != StoreError::NotFound)
        return {ApplyState::Unreachable, 0, {}};
    if (current && current->value == text)
        return {ApplyState::Unchanged, current->version, {}};

    bool mayHaveApplied = false;
    for (int attempt = 0; attempt < WriteAttempts; ++attempt) {
        const std::uint64_t version = current ? current->version : 0;
        if (version != baseVersion && current && current->value == text)
            return {ApplyState::Accepted, version, {}};
        if (version != baseVersion)
            return {ApplyState::Conflict, version, current ? current->value : "", mayHaveApplied};
        const std::optional<std::uint64_t> written = store.write(baseVersion, text, error);
        if (written)
            return {ApplyState::Accepted, *written, {}};
        mayHaveApplied = mayHaveApplied || error == StoreError::Unknown;
        const bool isRefused = error != StoreError::Unknown && error != StoreError::Conflict;
        if (isRefused && !mayHaveApplied)
            return {ApplyState::Unreachable, baseVersion, {}};
        if (!readBack(store, current, error == StoreError::Unknown))
            break;
    }
    // A read after the last write may show whether the write took effect.
    const std::uint64_t version = current ? current->version : baseVersion;
    if (current && version != baseVersion)
        return current->value == text
                       ? ApplyResult{ApplyState::Accepted, version, {}}
                       : ApplyResult{ApplyState::Conflict, version, current->value, mayHaveApplied};
    return {mayHaveApplied ? ApplyState::Unknown : ApplyState::Unreachable, baseVersion, {}};
}

std::vector<std::string> diffLines(std::string_view before, std::string_view after)
{
    const Lines original = splitLines(before);
    const Lines edited = splitLines(after);
    // Edits change few lines of a long file, so equal lines at both ends are not compared again.
    const auto [originalBegin, editedBegin] =
            std::mismatch(original.begin(), original.end(), edited.begin(), edited.end());
    const auto [originalTail, editedTail] =
            std::mismatch(original.rbegin(), std::make_reverse_iterator(originalBegin),
                          edited.rbegin(), std::make_reverse_iterator(editedBegin));

    std::vector<std::string> lines;
    append(lines, ' ', original.begin(), originalBegin);
    appendChanged(lines, Lines(originalBegin, originalTail.base()),
                  Lines(editedBegin, editedTail.base()));
    append(lines, ' ', originalTail.base(), original.end());
    return lines;
}

} // namespace geraniumcart
