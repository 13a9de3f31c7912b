#include <catch2/catch.hpp>

#include <geraniumcart/config.h>
#include <geraniumcart/rules.h>

#include <string>

using namespace geraniumcart;
using namespace std::chrono_literals;

namespace {

const std::string DesignPageRules =
        "zone cairo-b out                              # lending-desk: rack power work until "
        "18:00\n"
        "move lend-front to v42 by 2026-12-05T18:00Z   # catalogue: fixes the night filter\n"
        "limit tenant aswan-club 50/s burst 100        # lending-desk: shared terminal loops\n"
        "class urgent weight 8                         # dispatch: cutting waits on these\n";

} // namespace

// Guards against a parser that drops or alters a rule of the design page's example.
TEST_CASE("the rules of the design page parse")
{
    ParseError error;
    const auto rules = parseRules(DesignPageRules, error);
    REQUIRE(rules);
    CHECK(error.error == RuleError::None);
    using namespace std::chrono;
    const RuleSet expected{
            {{"cairo-b", {1, "lending-desk: rack power work until 18:00"}}},
            {{"lend-front",
              "v42",
              sys_days(2026y / 12 / 5) + 18h,
              {2, "catalogue: fixes the night filter"}}},
            {{"aswan-club", 50, 100, {3, "lending-desk: shared terminal loops"}}},
            {{"urgent", 8, {4, "dispatch: cutting waits on these"}}},
    };
    CHECK(*rules == expected);
    CHECK(rules->isZoneOut("cairo-b"));
    CHECK_FALSE(rules->isZoneOut("cairo-a"));
    CHECK(rules->rolloutFor("lend-front")->version == "v42");
    CHECK(rules->rolloutFor("fix-bench") == nullptr);
    CHECK(rules->limitFor("aswan-club")->burst == 100);
    CHECK(rules->limitFor("luxor-club") == nullptr);
    CHECK(rules->weightOf("urgent") == 8);
    CHECK(rules->weightOf("ordinary") == 1);
}

// Guards against a parser that refuses a well-formed file.
TEST_CASE("well-formed rules are accepted")
{
    const auto [failure, text, rules] = GENERATE(table<const char *, std::string, std::size_t>({
            {"an empty file is refused", "", 0},
            {"blank lines are refused", "\n\n  \t\n", 0},
            {"a line with only a comment is refused", "# nobody asked for anything\n", 0},
            {"the last line needs a line break", "zone a out # x: y", 1},
            {"carriage returns are refused", "zone a out # x: y\r\nzone b out # x: y\r\n", 2},
            {"tabs are refused", "\tzone\ta\tout\t#\tx:\ty\n", 1},
            {"the comment needs a blank before it", "zone a out# x: y\n", 1},
            {"a comment with a second # is refused", "zone a out # x: ticket #12\n", 1},
            {"a name in another script is refused in a comment", "zone a out # مكتب: صيانة\n", 1},
            {"seconds are refused", "move s to v by 2026-12-05T18:00:59Z # x: y\n", 1},
            {"a leap day is refused", "move s to v by 2028-02-29T00:00Z # x: y\n", 1},
            {"a rate with a fraction is refused", "limit tenant t 0.5/s burst 1 # x: y\n", 1},
            {"every character of a name is accepted", "zone aZ09-_. out # x: y\n", 1},
            {"one name in two kinds of rule is refused",
             "zone a out # x: y\nclass a weight 2 # x: y\n", 2},
            {"the longest name is refused",
             "zone " + std::string(MaxNameBytes, 'n') + " out # x: y\n", 1},
            {"the longest file is refused", std::string(MaxRulesBytes, '\n'), 0},
    }));
    INFO(failure);
    ParseError error;
    const auto parsed = parseRules(text, error);
    INFO(describe(error));
    REQUIRE(parsed);
    CHECK(parsed->zones.size() + parsed->rollouts.size() + parsed->limits.size() +
                  parsed->classes.size() ==
          rules);
}

// Guards against malformed rules that are accepted, or refused with a wrong position. Each row is
// named by its malformed text.
TEST_CASE("malformed rules are refused at their line and column")
{
    const auto [text, error, line,
                column] = GENERATE(table<std::string, RuleError, std::uint32_t, std::uint32_t>({
            {"zones a out # x: y", RuleError::UnknownRule, 1, 1},
            {"\n\n  Zone a out # x: y", RuleError::UnknownRule, 3, 3},
            {"zone", RuleError::MissingWord, 1, 5},
            {"zone # x: y", RuleError::MissingWord, 1, 6},
            {"zone a # x: y", RuleError::MissingWord, 1, 8},
            {"zone a in # x: y", RuleError::MissingWord, 1, 8},
            {"zone a/b out # x: y", RuleError::BadName, 1, 6},
            {"zone caf\xc3\xa9 out # x: y", RuleError::BadName, 1, 6},
            {"zone " + std::string(MaxNameBytes + 1, 'n') + " out # x: y", RuleError::BadName, 1,
             6},
            {"zone a out now # x: y", RuleError::TrailingText, 1, 12},
            {"zone a out zone b out # x: y", RuleError::TrailingText, 1, 12},
            {"zone a out", RuleError::MissingComment, 1, 11},
            {"zone a out #", RuleError::MissingComment, 1, 12},
            {"zone a out #  \t", RuleError::MissingComment, 1, 12},
            {"zone a out # power work", RuleError::BadComment, 1, 12},
            {"zone a out # lending-desk:", RuleError::BadComment, 1, 12},
            {"zone a out # : power work", RuleError::BadComment, 1, 12},
            {"zone a out # until 18:00", RuleError::BadComment, 1, 12},
            {"zone a out # x: y\x1b[2J", RuleError::BadComment, 1, 18},
            {"# fine\nzone a out # x: y\nzone a out # z: y", RuleError::Duplicate, 3, 6},
            {"class c weight 1 # x: y\nclass c weight 2 # x: y", RuleError::Duplicate, 2, 7},
            {"limit tenant t 1/s burst 1 # x: y\nlimit tenant t 2/s burst 1 # x: y",
             RuleError::Duplicate, 2, 14},
            {"move s to v by 2026-12-05T18:00Z # x: y\n"
             "move s to w by 2026-12-05T18:00Z # x: y",
             RuleError::Duplicate, 2, 6},
            {"move s v by 2026-12-05T18:00Z # x: y", RuleError::MissingWord, 1, 8},
            {"move s to v 2026-12-05T18:00Z # x: y", RuleError::MissingWord, 1, 13},
            {"move s to v by # x: y", RuleError::MissingWord, 1, 16},
            {"move s to v by 18:00 # x: y", RuleError::BadTime, 1, 16},
            {"move s to v by 2026-12-05T18:00 # x: y", RuleError::BadTime, 1, 16},
            {"move s to v by 2026-12-05T18:00+02:00 # x: y", RuleError::BadTime, 1, 16},
            {"move s to v by 2026-02-29T18:00Z # x: y", RuleError::BadTime, 1, 16},
            {"move s to v by 2026-13-05T18:00Z # x: y", RuleError::BadTime, 1, 16},
            {"move s to v by 2026-12-00T18:00Z # x: y", RuleError::BadTime, 1, 16},
            {"move s to v by 2026-12-05T24:00Z # x: y", RuleError::BadTime, 1, 16},
            {"move s to v by 2026-12-05T18:60Z # x: y", RuleError::BadTime, 1, 16},
            {"move s to v by 2026-12-05T18:00:60Z # x: y", RuleError::BadTime, 1, 16},
            {"move s to v by 9999-12-05T18:00Z # x: y", RuleError::BadTime, 1, 16},
            {"move s to v by 2026-12-05T18:00Zz # x: y", RuleError::BadTime, 1, 16},
            {"limit t 1/s burst 1 # x: y", RuleError::MissingWord, 1, 7},
            {"limit tenant t # x: y", RuleError::MissingWord, 1, 16},
            {"limit tenant t 50 burst 1 # x: y", RuleError::BadNumber, 1, 16},
            {"limit tenant t 50/m burst 1 # x: y", RuleError::BadNumber, 1, 16},
            {"limit tenant t 0/s burst 1 # x: y", RuleError::BadNumber, 1, 16},
            {"limit tenant t -1/s burst 1 # x: y", RuleError::BadNumber, 1, 16},
            {"limit tenant t nan/s burst 1 # x: y", RuleError::BadNumber, 1, 16},
            {"limit tenant t 1e3/s burst 1 # x: y", RuleError::BadNumber, 1, 16},
            {"limit tenant t 1./s burst 1 # x: y", RuleError::BadNumber, 1, 16},
            {"limit tenant t 1000000001/s burst 1 # x: y", RuleError::BadNumber, 1, 16},
            {"limit tenant t 1/s 1 # x: y", RuleError::MissingWord, 1, 20},
            {"limit tenant t 1/s burst # x: y", RuleError::MissingWord, 1, 26},
            {"limit tenant t 1/s burst 0 # x: y", RuleError::BadNumber, 1, 26},
            {"limit tenant t 1/s burst 1.5 # x: y", RuleError::BadNumber, 1, 26},
            {"class c 8 # x: y", RuleError::MissingWord, 1, 9},
            {"class c weight 0 # x: y", RuleError::BadNumber, 1, 16},
            {"class c weight +1 # x: y", RuleError::BadNumber, 1, 16},
            {"class c weight 99999999999 # x: y", RuleError::BadNumber, 1, 16},
            {"#\n" + std::string(MaxRulesBytes, ' '), RuleError::TooLong, 2, MaxRulesBytes - 1},
    }));
    INFO(text.substr(0, 80));
    ParseError found;
    CHECK_FALSE(parseRules(text, found));
    CHECK(found.error == error);
    CHECK(found.line == line);
    CHECK(found.column == column);
    CHECK_FALSE(found.expected.empty());
}

// Guards against a message that does not say where the fault is and what was expected there.
TEST_CASE("a refusal is described with its place and what was expected")
{
    const auto [text, message] = GENERATE(table<std::string, std::string>({
            {"zone a in # x: y", "1:8: missing word; expected 'out'"},
            {"zone a out # x: y\nzone a out # x: y",
             "2:6: duplicate rule; expected one rule for each name; a has one on line 1"},
            {"class c weight 0 # x: y",
             "1:16: invalid number; expected a whole number from 1 to 1000000000"},
    }));
    ParseError error;
    CHECK_FALSE(parseRules(text, error));
    CHECK(describe(error) == message);
}
