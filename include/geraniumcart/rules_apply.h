#pragma once

#include <geraniumcart/object_store.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumcart {

/// The object that holds the rules text, read and written one call at a time.
class RulesStore
{
public:
    virtual ~RulesStore() = default;
    /// @return the object, or nothing with @p error; NotFound where no rules were ever written
    virtual std::optional<StoredObject> read(StoreError &error) = 0;
    /// Writes if the object's version is @p expected; 0 creates it.
    /// @return the new version, or nothing with @p error
    virtual std::optional<std::uint64_t> write(std::uint64_t expected, const std::string &text,
                                               StoreError &error) = 0;
    /// Blocks for @p time, between attempts.
    virtual void pause(Duration time) = 0;
};

enum class ApplyState : std::uint8_t {
    /// The store confirmed the write, or a later read showed that it took effect.
    Accepted,
    /// The stored text is already this one; nothing was written.
    Unchanged,
    /// Another edit came between.
    Conflict,
    /// The store did not answer or refused the write; nothing was written.
    Unreachable,
    /// The answer to the write was lost and reading back did not settle it.
    Unknown,
};

struct ApplyResult
{
    ApplyState state = ApplyState::Unreachable;
    /// Object version in force, as far as known.
    std::uint64_t version = 0;
    /// The other operator's text, for Conflict.
    std::string theirs;
    /// For Conflict: an answer was lost, so the text may have been in force before the other edit.
    bool mayHaveApplied = false;
};

/// Writes @p text on condition that the stored version is @p baseVersion, the one that the operator
/// last read; 0 where there were no rules. A lost answer is resolved by reading back; while the
/// object is unchanged the write is repeated under the same condition.
ApplyResult applyRules(RulesStore &store, std::uint64_t baseVersion, const std::string &text);

/// Lines that differ, each with `-` (only in @p before), `+` (only in @p after) or a blank before
/// it.
std::vector<std::string> diffLines(std::string_view before, std::string_view after);

} // namespace geraniumcart
