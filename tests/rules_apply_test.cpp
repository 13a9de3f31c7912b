#include <catch2/catch.hpp>

#include <geraniumcart/rules_apply.h>

#include <functional>

using namespace geraniumcart;

namespace {

/// A store that loses answers or changes between the calls of one applyRules().
class ScriptedRulesStore final : public RulesStore
{
public:
    StoredObject object{"rules", 7, "old"};
    bool exists = true;
    bool isDown = false;
    /// Each write takes effect, but its answer is lost.
    bool losesAnswer = false;
    /// Writes have no effect, but their result is reported as usual.
    bool dropsWrite = false;
    /// Number of next writes whose request is lost: they have no effect and no answer.
    int writesToLose = 0;
    /// Error with which writes are refused.
    StoreError refusal = StoreError::None;
    int writes = 0;
    /// Called before a write, to simulate another operator's edit.
    std::function<void(ScriptedRulesStore &)> beforeWrite;
    /// Called after a write.
    std::function<void(ScriptedRulesStore &)> afterWrite;

    std::optional<StoredObject> read(StoreError &error) override
    {
        error = isDown ? StoreError::Unavailable : exists ? StoreError::None : StoreError::NotFound;
        return error == StoreError::None ? std::optional(object) : std::nullopt;
    }

    std::optional<std::uint64_t> write(std::uint64_t expected, const std::string &text,
                                       StoreError &error) override
    {
        ++writes;
        if (writesToLose > 0) {
            --writesToLose;
            error = StoreError::Unknown;
            return std::nullopt;
        }
        if (refusal != StoreError::None) {
            error = refusal;
            return std::nullopt;
        }
        if (beforeWrite)
            beforeWrite(*this);
        const bool matches = expected == (exists ? object.version : 0);
        if (matches && !dropsWrite) {
            object = {"rules", object.version + 1, text};
            exists = true;
        }
        if (afterWrite)
            afterWrite(*this);
        error = losesAnswer ? StoreError::Unknown
                : matches   ? StoreError::None
                            : StoreError::Conflict;
        return error == StoreError::None ? std::optional(object.version) : std::nullopt;
    }

    void pause(Duration) override
    {
        if (onPause)
            onPause(*this);
    }

    /// Called while applyRules() waits between attempts.
    std::function<void(ScriptedRulesStore &)> onPause;
};

/// Simulates another operator's edit.
void raceWith(ScriptedRulesStore &store)
{
    store.object = {"rules", store.object.version + 1, "theirs"};
}

} // namespace

// Guards against a result that does not match the store after an outage, a concurrent edit, or a
// lost request or answer.
TEST_CASE("applyRules() reports Accepted only for rules that are in the store")
{
    struct Row
    {
        const char *failure;
        std::function<void(ScriptedRulesStore &)> fault;
        std::uint64_t base;
        ApplyState expected;
        const char *stored;
    };
    const auto row = GENERATE(values<Row>({
            {"plain write refused", [](ScriptedRulesStore &) {}, 7, ApplyState::Accepted, "mine"},
            {"first write refused", [](ScriptedRulesStore &store) { store.exists = false; }, 0,
             ApplyState::Accepted, "mine"},
            {"edit of an older version overwrites a newer one", [](ScriptedRulesStore &) {}, 6,
             ApplyState::Conflict, "old"},
            {"edit never based on a read overwrites rules", [](ScriptedRulesStore &) {}, 0,
             ApplyState::Conflict, "old"},
            {"race between read and write loses the other edit",
             [](ScriptedRulesStore &store) { store.beforeWrite = raceWith; }, 7,
             ApplyState::Conflict, "theirs"},
            {"outage reported as accepted", [](ScriptedRulesStore &store) { store.isDown = true; },
             7, ApplyState::Unreachable, "old"},
            {"lost answer of a write that took effect reported as failure",
             [](ScriptedRulesStore &store) { store.losesAnswer = true; }, 7, ApplyState::Accepted,
             "mine"},
            {"lost answer of a write without effect reported as accepted",
             [](ScriptedRulesStore &store) { store.losesAnswer = store.dropsWrite = true; }, 7,
             ApplyState::Unknown, "old"},
            {"lost answer of a lost race reported as accepted",
             [](ScriptedRulesStore &store) {
                 store.losesAnswer = true;
                 store.beforeWrite = raceWith;
             },
             7, ApplyState::Conflict, "theirs"},
            {"lost answer before an outage reported as accepted",
             [](ScriptedRulesStore &store) {
                 store.losesAnswer = true;
                 store.afterWrite = [](ScriptedRulesStore &down) { down.isDown = true; };
             },
             7, ApplyState::Unknown, "mine"},
            {"write over rules that were removed after they were read",
             [](ScriptedRulesStore &store) { store.exists = false; }, 7, ApplyState::Conflict,
             "old"},
            {"removal between read and write reported as an unknown result",
             [](ScriptedRulesStore &store) {
                 store.beforeWrite = [](ScriptedRulesStore &racing) { racing.exists = false; };
             },
             7, ApplyState::Conflict, "old"},
            {"refused write reported as an unknown result",
             [](ScriptedRulesStore &store) { store.refusal = StoreError::Unavailable; }, 7,
             ApplyState::Unreachable, "old"},
            {"write that the store finds malformed reported as an unknown result",
             [](ScriptedRulesStore &store) { store.refusal = StoreError::Malformed; }, 7,
             ApplyState::Unreachable, "old"},
            {"lost request not repeated", [](ScriptedRulesStore &store) { store.writesToLose = 1; },
             7, ApplyState::Accepted, "mine"},
            {"outage after a lost answer not waited for",
             [](ScriptedRulesStore &store) {
                 store.losesAnswer = true;
                 store.afterWrite = [](ScriptedRulesStore &down) { down.isDown = true; };
                 store.onPause = [pauses = 0](ScriptedRulesStore &down) mutable {
                     down.isDown = ++pauses < 3;
                 };
             },
             7, ApplyState::Accepted, "mine"},
            {"write that arrives late reported as failure",
             [](ScriptedRulesStore &store) {
                 store.writesToLose = 1;
                 store.onPause = [](ScriptedRulesStore &late) {
                     late.object = {"rules", 8, "mine"};
                 };
             },
             7, ApplyState::Accepted, "mine"},
    }));
    INFO(row.failure);

    ScriptedRulesStore store;
    row.fault(store);
    const ApplyResult result = applyRules(store, row.base, "mine");
    CHECK(result.state == row.expected);
    CHECK(store.object.value == row.stored);
    if (row.expected == ApplyState::Conflict)
        CHECK(result.rulesInForce == (store.exists ? store.object.value : ""));
}

// Guards against a report to the operator that nothing was written although the rules were in force
// until the other edit.
TEST_CASE("a conflict after a lost answer reports that the rules may have been in force")
{
    const auto [failure, losesAnswer] = GENERATE(table<const char *, bool>({
            {"a plain conflict is reported as uncertain", false},
            {"a conflict after a lost answer is reported as certain", true},
    }));
    INFO(failure);
    ScriptedRulesStore store;
    store.losesAnswer = losesAnswer;
    (losesAnswer ? store.afterWrite : store.beforeWrite) = raceWith;
    const ApplyResult result = applyRules(store, 7, "mine");
    CHECK(result.state == ApplyState::Conflict);
    CHECK(result.rulesInForce == "theirs");
    CHECK(result.mayHaveApplied == losesAnswer);
}

// Guards against a diff of two large files that takes gigabytes of memory.
TEST_CASE("a diff of large texts is bounded and complete")
{
    const auto [failure, editedLines, expectedLines] =
            GENERATE(table<const char *, std::size_t, std::size_t>({
                    {"one changed line in a large text compares every line", 1, 40001},
                    {"two large texts without a common line are compared", 40000, 80000},
            }));
    INFO(failure);
    std::string before;
    std::string after;
    for (std::size_t line = 0; line < 40000; ++line) {
        before += "line " + std::to_string(line) + '\n';
        after += (line < editedLines ? "edited " : "line ") + std::to_string(line) + '\n';
    }
    CHECK(diffLines(before, after).size() == expectedLines);
}

// Guards against a diff that omits or repeats a line, or marks it as part of the wrong text.
TEST_CASE("a diff shows each line once with its side")
{
    const auto [failure, before, after, expected] =
            GENERATE(table<const char *, const char *, const char *, std::vector<std::string>>({
                    {"equal texts differ", "a\nb\n", "a\nb\n", {" a", " b"}},
                    {"added line lost", "a\n", "a\nb\n", {" a", "+b"}},
                    {"removed line lost", "a\nb\n", "b\n", {"-a", " b"}},
                    {"changed line shown on one side", "a\nb\n", "a\nc\n", {" a", "-b", "+c"}},
                    {"last line without an end lost", "a", "a\nb", {" a", "+b"}},
                    {"empty text", "", "a\n", {"+a"}},
            }));
    INFO(failure);
    CHECK(diffLines(before, after) == expected);
}
