#pragma once

#include <geraniumcart/timer_service.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumcart {

/// Origin of a rule: its line in the file, and its comment that names who asked for it and why.
struct RuleOrigin
{
    std::uint32_t line = 0;
    std::string comment;
    bool operator==(const RuleOrigin &) const = default;
};

/// `zone NAME out`: takes an availability zone out of service.
struct ZoneRule
{
    std::string zone;
    RuleOrigin origin;
    bool operator==(const ZoneRule &) const = default;
};

/// `move SERVICE to VERSION by TIME`: rolls out a back-end version; the time is UTC.
struct RolloutRule
{
    std::string service;
    std::string version;
    WallTime by;
    RuleOrigin origin;
    bool operator==(const RolloutRule &) const = default;
};

/// `limit tenant NAME RATE/s burst COUNT`: limits a tenant's requests per second over all daemons
/// together.
struct LimitRule
{
    std::string tenant;
    double ratePerSecond = 0;
    double burst = 0;
    RuleOrigin origin;
    bool operator==(const LimitRule &) const = default;
};

/// `class NAME weight COUNT`: sets the weight of a request class.
struct ClassRule
{
    std::string className;
    std::uint32_t weight = 1;
    RuleOrigin origin;
    bool operator==(const ClassRule &) const = default;
};

/// One parsed rules file. Rules of the same kind keep the order of their lines.
struct RuleSet
{
    std::vector<ZoneRule> zones;
    std::vector<RolloutRule> rollouts;
    std::vector<LimitRule> limits;
    std::vector<ClassRule> classes;

    bool isZoneOut(std::string_view zone) const;
    /// @return the rollout of @p service, or nullptr
    const RolloutRule *rolloutFor(std::string_view service) const;
    /// @return the limit of @p tenant, or nullptr
    const LimitRule *limitFor(std::string_view tenant) const;
    /// @return the weight of a class; 1 if no rule names it
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

/// Reason why a rules file was rejected, and position of the error. Line and column count from 1.
/// The column is in bytes and points to the faulty word, or to the place where a missing word
/// belongs.
struct ParseError
{
    RuleError error = RuleError::None;
    std::uint32_t line = 0;
    std::uint32_t column = 0;
    /// Description of the text that is valid at this position.
    std::string expected;
};

/// Parses the text of a rules file. Blank lines and lines that hold only a comment are skipped.
/// @return the rules, or std::nullopt with @p error filled in
std::optional<RuleSet> parseRules(std::string_view text, ParseError &error);

/// @return `line:column: what was wrong; expected ...`, for a message that begins with the file's
/// name
std::string describe(const ParseError &error);

} // namespace geraniumcart
