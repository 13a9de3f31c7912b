#pragma once

#include <geraniumcart/timer_service.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumcart {

/// Who asked for a rule and why, and where it stands in the file.
struct RuleOrigin
{
    std::uint32_t line = 0;
    std::string comment;
    bool operator==(const RuleOrigin &) const = default;
};

/// `zone NAME out`
struct ZoneRule
{
    std::string zone;
    RuleOrigin origin;
    bool operator==(const ZoneRule &) const = default;
};

/// `move SERVICE to VERSION by TIME`; the time is UTC.
struct RolloutRule
{
    std::string service;
    std::string version;
    WallTime by;
    RuleOrigin origin;
    bool operator==(const RolloutRule &) const = default;
};

/// `limit tenant NAME RATE/s burst COUNT`; requests a second over all daemons together.
struct LimitRule
{
    std::string tenant;
    double ratePerSecond = 0;
    double burst = 0;
    RuleOrigin origin;
    bool operator==(const LimitRule &) const = default;
};

/// `class NAME weight COUNT`
struct ClassRule
{
    std::string className;
    std::uint32_t weight = 1;
    RuleOrigin origin;
    bool operator==(const ClassRule &) const = default;
};

/// One parsed rules file. Line order is kept within each kind.
struct RuleSet
{
    std::vector<ZoneRule> zones;
    std::vector<RolloutRule> rollouts;
    std::vector<LimitRule> limits;
    std::vector<ClassRule> classes;

    bool isZoneOut(std::string_view zone) const;
    const RolloutRule *rolloutFor(std::string_view service) const;
    const LimitRule *limitFor(std::string_view tenant) const;
    /// Weight of a class; 1 where no rule names it.
    std::uint32_t weightOf(std::string_view className) const;
    bool operator==(const RuleSet &) const = default;
};

enum class RuleError : std::uint8_t {
    None,
    TooLong,
    UnknownRule,
    MissingComment,
    /// The comment does not read `who: why`.
    BadComment,
    MissingWord,
    BadName,
    BadNumber,
    BadTime,
    TrailingText,
    Duplicate,
};

/// Why and where a rules file was refused. Line and column count from 1; column is in bytes and is
/// that of the faulty word, or where a missing one belongs.
struct ParseError
{
    RuleError error = RuleError::None;
    std::uint32_t line = 0;
    std::uint32_t column = 0;
    std::string expected;
};

/// Parses a whole rules file. Blank lines and lines that hold only a comment are skipped.
/// @return the rules, or nothing with @p error filled in.
std::optional<RuleSet> parseRules(std::string_view text, ParseError &error);

/// `line:column: what was wrong; expected ...`, for a message after the file's name.
std::string describe(const ParseError &error);

} // namespace geraniumcart
