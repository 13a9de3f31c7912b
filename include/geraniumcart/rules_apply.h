#pragma once

#include <geraniumcart/object_store.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumcart {

/// Reads and writes the object that holds the rules text. Calls block until the store answers.
class RulesStore
{
public:
    virtual ~RulesStore() = default;
    /// @return the object, or std::nullopt with @p error set; NotFound if no rules were ever
    /// written
    virtual std::optional<StoredObject> read(StoreError &error) = 0;
    /// Writes the object if its stored version is @p expected; 0 creates it.
    /// @return the new version, or std::nullopt with @p error set
    virtual std::optional<std::uint64_t> write(std::uint64_t expected, const std::string &text,
                                               StoreError &error) = 0;
    /// Blocks for @p time. Called between attempts.
    virtual void pause(Duration time) = 0;
};

enum class ApplyState : std::uint8_t {
    /// The store confirmed the write, or a later read showed that it took effect.
    Accepted,
    /// The stored text is already the same; nothing was written.
    Unchanged,
    /// The rules were edited by someone else since they were last read.
    Conflict,
    /// The store did not answer or refused the write; nothing was written.
    Unreachable,
    /// The answer to the write was lost, and reading back did not show whether it took effect.
    Unknown,
};

struct ApplyResult
{
    ApplyState state = ApplyState::Unreachable;
    /// Version of the object in force, as far as known.
    std::uint64_t version = 0;
    /// For Conflict: the rules in force, as the other operator wrote them.
    std::string rulesInForce;
    /// For Conflict: an answer was lost, so the text may have been in force before the other edit.
    bool mayHaveApplied = false;
};

/// Writes @p text on condition that the stored version is @p baseVersion, the one that the operator
/// last read; 0 if there were no rules. After a lost answer the object is read back; if it is
/// unchanged, the write is repeated under the same condition.
ApplyResult applyRules(RulesStore &store, std::uint64_t baseVersion, const std::string &text);

/// @return the lines of both texts, each prefixed with `-` (only in @p before), `+` (only in
/// @p after) or a blank (in both)
std::vector<std::string> diffLines(std::string_view before, std::string_view after);

} // namespace geraniumcart
