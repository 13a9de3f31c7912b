#include <geraniumcart/config.h>
#include <geraniumcart/rules.h>

#include <algorithm>
#include <charconv>
#include <map>
#include <utility>

namespace geraniumcart {

namespace {

constexpr std::string_view Blanks = " \t";
/// Highest rate, burst or weight that a rule may set.
constexpr double MaxRate = 1e9;
constexpr std::uint32_t MaxCount = 1'000'000'000;
/// Years that a rule may name. system_clock counts nanoseconds in 64 bits, which overflows in 2262.
constexpr int FirstYear = 1970;
constexpr int LastYear = 2200;

bool isDigit(char c)
{
    return c >= '0' && c <= '9';
}

bool isNameChar(char c)
{
    return isDigit(c) || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '-' || c == '_' ||
           c == '.';
}

bool isControl(char c)
{
    return (static_cast<unsigned char>(c) < 0x20 && c != '\t') || c == 0x7f;
}

std::string_view trimmed(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(Blanks);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(Blanks) - first + 1);
}

/// A word of a line and its offset in bytes.
struct Word
{
    std::string_view text;
    std::size_t begin = 0;
};

/// @return the value of the @p count digits at @p begin
int digitsAt(std::string_view text, std::size_t begin, std::size_t count)
{
    int value = 0;
    for (const char c : text.substr(begin, count))
        value = value * 10 + (c - '0');
    return value;
}

/// Parses `YYYY-MM-DDTHH:MMZ` or `YYYY-MM-DDTHH:MM:SSZ`.
std::optional<WallTime> parseTime(std::string_view text)
{
    constexpr std::string_view WithMinutes = "dddd-dd-ddTdd:ddZ";
    constexpr std::string_view WithSeconds = "dddd-dd-ddTdd:dd:ddZ";
    const std::string_view shape = text.size() == WithMinutes.size() ? WithMinutes : WithSeconds;
    const bool hasShape = std::equal(text.begin(), text.end(), shape.begin(), shape.end(),
                                     [](char given, char wanted) {
                                         return wanted == 'd' ? isDigit(given) : given == wanted;
                                     });
    if (!hasShape)
        return std::nullopt;

    const int year = digitsAt(text, 0, 4);
    const int hour = digitsAt(text, 11, 2);
    const int minute = digitsAt(text, 14, 2);
    const int second = shape == WithSeconds ? digitsAt(text, 17, 2) : 0;
    const std::chrono::year_month_day date{
            std::chrono::year(year),
            std::chrono::month(static_cast<unsigned>(digitsAt(text, 5, 2))),
            std::chrono::day(static_cast<unsigned>(digitsAt(text, 8, 2)))};
    if (!date.ok() || year < FirstYear || year > LastYear || hour > 23 || minute > 59 ||
        second > 59)
        return std::nullopt;
    return std::chrono::sys_days(date) + std::chrono::hours(hour) + std::chrono::minutes(minute) +
           std::chrono::seconds(second);
}

/// Parses digits with an optional fraction, above 0 and at most MaxRate.
std::optional<double> parseRate(std::string_view text)
{
    if (text.empty() || !isDigit(text.front()) || !isDigit(text.back()))
        return std::nullopt;
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value,
                                              std::chars_format::fixed);
    if (error != std::errc() || end != text.data() + text.size() || value <= 0 || value > MaxRate)
        return std::nullopt;
    return value;
}

/// Parses a whole number from 1 to MaxCount.
std::optional<std::uint32_t> parseCount(std::string_view text)
{
    std::uint32_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || value < 1 || value > MaxCount)
        return std::nullopt;
    return value;
}

/// Reads one line from left to right. A read that fails fills in the caller's ParseError and
/// returns false; the rest of the line is not read.
class LineReader
{
public:
    LineReader(std::string_view line, std::uint32_t number, ParseError &error)
        : m_line(line)
        , m_rule(line.substr(0, line.find('#')))
        , m_number(number)
        , m_error(error)
    {
    }

    bool isBlank() const { return trimmed(m_rule).empty(); }

    /// @return the next word, or an empty one at the end of the rule
    Word next()
    {
        const std::size_t begin = std::min(m_rule.find_first_not_of(Blanks, m_at), m_rule.size());
        m_at = std::min(m_rule.find_first_of(Blanks, begin), m_rule.size());
        return {m_rule.substr(begin, m_at - begin), begin};
    }

    bool fail(RuleError error, std::size_t at, std::string expected)
    {
        m_error = {error, m_number, static_cast<std::uint32_t>(at + 1), std::move(expected)};
        return false;
    }

    bool keyword(std::string_view wanted)
    {
        const Word word = next();
        return word.text == wanted ||
               fail(RuleError::MissingWord, word.begin, '\'' + std::string(wanted) + '\'');
    }

    bool name(std::string &value, const char *what)
    {
        const Word word = next();
        m_subject = word;
        if (word.text.empty())
            return fail(RuleError::MissingWord, word.begin, what);
        if (word.text.size() > MaxNameBytes || !std::ranges::all_of(word.text, isNameChar))
            return fail(RuleError::BadName, word.begin,
                        std::string(what) + " of at most " + std::to_string(MaxNameBytes) +
                                " letters, digits, '-', '_' and '.'");
        value = word.text;
        return true;
    }

    bool rate(double &value)
    {
        const Word word = next();
        if (word.text.empty())
            return fail(RuleError::MissingWord, word.begin, "a rate such as 50/s");
        const bool hasUnit = word.text.ends_with("/s");
        const auto parsed =
                hasUnit ? parseRate(word.text.substr(0, word.text.size() - 2)) : std::nullopt;
        if (!parsed)
            return fail(RuleError::BadNumber, word.begin,
                        "a rate such as 50/s, above 0 and at most 1000000000/s");
        value = *parsed;
        return true;
    }

    template <typename Value>
    bool count(Value &value)
    {
        const Word word = next();
        if (word.text.empty())
            return fail(RuleError::MissingWord, word.begin, "a whole number");
        const auto parsed = parseCount(word.text);
        if (!parsed)
            return fail(RuleError::BadNumber, word.begin,
                        "a whole number from 1 to " + std::to_string(MaxCount));
        value = static_cast<Value>(*parsed);
        return true;
    }

    bool time(WallTime &value)
    {
        constexpr const char *Expected =
                "a UTC time YYYY-MM-DDTHH:MMZ or YYYY-MM-DDTHH:MM:SSZ, years 1970 to 2200";
        const Word word = next();
        if (word.text.empty())
            return fail(RuleError::MissingWord, word.begin, Expected);
        const auto parsed = parseTime(word.text);
        if (!parsed)
            return fail(RuleError::BadTime, word.begin, Expected);
        value = *parsed;
        return true;
    }

    /// Checks that the rule ends here and reads its comment.
    bool origin(RuleOrigin &origin)
    {
        const Word rest = next();
        if (!rest.text.empty())
            return fail(RuleError::TrailingText, rest.begin, "the rule to end with a comment");
        if (m_rule.size() == m_line.size())
            return fail(RuleError::MissingComment, m_line.size(), CommentShape);
        const std::string_view comment = trimmed(m_line.substr(m_rule.size() + 1));
        if (comment.empty())
            return fail(RuleError::MissingComment, m_rule.size(), CommentShape);
        // A blank is required after the colon, so that a time of day, as in `until 18:00`, is not
        // accepted as a name and a reason.
        const std::size_t colon = std::min(comment.find(": "), comment.find(":\t"));
        if (colon == std::string_view::npos || trimmed(comment.substr(0, colon)).empty())
            return fail(RuleError::BadComment, m_rule.size(), CommentShape);
        const auto control = std::ranges::find_if(m_line, isControl);
        if (control != m_line.end())
            return fail(RuleError::BadComment, static_cast<std::size_t>(control - m_line.begin()),
                        "a comment without control characters");
        origin = {m_number, std::string(comment)};
        return true;
    }

    std::uint32_t number() const { return m_number; }
    /// The last name that was read.
    const Word &subject() const { return m_subject; }

private:
    static constexpr const char *CommentShape =
            "a comment '# who: why' that names who asked for the rule and why";

    std::string_view m_line;
    /// The part of the line before its comment.
    std::string_view m_rule;
    std::uint32_t m_number;
    ParseError &m_error;
    std::size_t m_at = 0;
    Word m_subject;
};

/// Parses the lines of a rules file into a RuleSet and rejects duplicate rules.
class RulesParser
{
public:
    explicit RulesParser(ParseError &error)
        : m_error(error)
    {
    }

    bool parseLine(std::string_view line, std::uint32_t number)
    {
        LineReader reader(line, number, m_error);
        if (reader.isBlank())
            return true;
        const Word kind = reader.next();
        if (kind.text == "zone")
            return parseZone(reader);
        if (kind.text == "move")
            return parseRollout(reader);
        if (kind.text == "limit")
            return parseLimit(reader);
        if (kind.text == "class")
            return parseClass(reader);
        return reader.fail(RuleError::UnknownRule, kind.begin, "zone, move, limit or class");
    }

    RuleSet takeRules() { return std::move(m_rules); }

private:
    /// Line of the rule for each name.
    using Subjects = std::map<std::string, std::uint32_t, std::less<>>;

    /// Reads the name that a rule applies to. Only one rule of a kind may apply to a name.
    static bool subject(LineReader &reader, Subjects &seen, std::string &value, const char *what)
    {
        if (!reader.name(value, what))
            return false;
        const auto [first, isNew] = seen.emplace(value, reader.number());
        return isNew || reader.fail(RuleError::Duplicate, reader.subject().begin,
                                    "one rule for each name; " + value + " has one on line " +
                                            std::to_string(first->second));
    }

    bool parseZone(LineReader &reader)
    {
        ZoneRule rule;
        if (!subject(reader, m_zones, rule.zone, "a zone") || !reader.keyword("out") ||
            !reader.origin(rule.origin))
            return false;
        m_rules.zones.push_back(std::move(rule));
        return true;
    }

    bool parseRollout(LineReader &reader)
    {
        RolloutRule rule;
        if (!subject(reader, m_services, rule.service, "a service") || !reader.keyword("to") ||
            !reader.name(rule.version, "a version") || !reader.keyword("by") ||
            !reader.time(rule.by) || !reader.origin(rule.origin))
            return false;
        m_rules.rollouts.push_back(std::move(rule));
        return true;
    }

    bool parseLimit(LineReader &reader)
    {
        LimitRule rule;
        if (!reader.keyword("tenant") || !subject(reader, m_tenants, rule.tenant, "a tenant") ||
            !reader.rate(rule.ratePerSecond) || !reader.keyword("burst") ||
            !reader.count(rule.burst) || !reader.origin(rule.origin))
            return false;
        m_rules.limits.push_back(std::move(rule));
        return true;
    }

    bool parseClass(LineReader &reader)
    {
        ClassRule rule;
        if (!subject(reader, m_classes, rule.className, "a class") || !reader.keyword("weight") ||
            !reader.count(rule.weight) || !reader.origin(rule.origin))
            return false;
        m_rules.classes.push_back(std::move(rule));
        return true;
    }

    ParseError &m_error;
    RuleSet m_rules;
    Subjects m_zones;
    Subjects m_services;
    Subjects m_tenants;
    Subjects m_classes;
};

const char *explain(RuleError error)
{
    switch (error) {
    case RuleError::None:
        return "no error";
    case RuleError::TooLong:
        return "file too long";
    case RuleError::UnknownRule:
        return "unknown rule";
    case RuleError::MissingComment:
        return "missing comment";
    case RuleError::BadComment:
        return "invalid comment";
    case RuleError::MissingWord:
        return "missing word";
    case RuleError::BadName:
        return "invalid name";
    case RuleError::BadNumber:
        return "invalid number";
    case RuleError::BadTime:
        return "invalid time";
    case RuleError::TrailingText:
        return "text after the rule";
    case RuleError::Duplicate:
        return "duplicate rule";
    }
    return "unknown error";
}

} // namespace

std::optional<RuleSet> parseRules(std::string_view text, ParseError &error)
{
    error = {};
    if (text.size() > MaxRulesBytes) {
        const std::string_view head = text.substr(0, MaxRulesBytes);
        const std::size_t lineBegin = head.rfind('\n') + 1;
        error = {RuleError::TooLong, static_cast<std::uint32_t>(std::ranges::count(head, '\n') + 1),
                 static_cast<std::uint32_t>(head.size() - lineBegin + 1),
                 "at most " + std::to_string(MaxRulesBytes) + " bytes"};
        return std::nullopt;
    }
    RulesParser parser(error);
    std::uint32_t number = 1;
    for (std::size_t begin = 0; begin < text.size(); ++number) {
        const std::size_t end = std::min(text.find('\n', begin), text.size());
        std::string_view line = text.substr(begin, end - begin);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        if (!parser.parseLine(line, number))
            return std::nullopt;
        begin = end + 1;
    }
    return parser.takeRules();
}

std::string describe(const ParseError &error)
{
    return std::to_string(error.line) + ':' + std::to_string(error.column) + ": " +
           explain(error.error) + "; expected " + error.expected;
}

bool RuleSet::isZoneOut(std::string_view zone) const
{
    return std::ranges::find(zones, zone, &ZoneRule::zone) != zones.end();
}

const RolloutRule *RuleSet::rolloutFor(std::string_view service) const
{
    const auto found = std::ranges::find(rollouts, service, &RolloutRule::service);
    return found == rollouts.end() ? nullptr : &*found;
}

const LimitRule *RuleSet::limitFor(std::string_view tenant) const
{
    const auto found = std::ranges::find(limits, tenant, &LimitRule::tenant);
    return found == limits.end() ? nullptr : &*found;
}

std::uint32_t RuleSet::weightOf(std::string_view className) const
{
    const auto found = std::ranges::find(classes, className, &ClassRule::className);
    return found == classes.end() ? 1 : found->weight;
}

} // namespace geraniumcart
