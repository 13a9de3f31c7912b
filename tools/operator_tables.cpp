#include "operator_tables.h"

#include <boost/json.hpp>

#include <algorithm>
#include <chrono>
#include <ctime>
#include <vector>

namespace geraniumcart::tools {

namespace json = boost::json;

namespace {

using Row = std::vector<std::string>;

/// 2200-01-01 in milliseconds since 1970. Later times are printed as numbers; system_clock
/// overflows in 2262.
constexpr std::int64_t MaxTimeMs = 7258118400000;

std::string formatTime(std::chrono::system_clock::time_point time)
{
    const std::time_t seconds = std::chrono::system_clock::to_time_t(time);
    std::tm utc{};
    gmtime_r(&seconds, &utc);
    char text[32];
    std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &utc);
    return text;
}

/// Replaces control characters by '?', because a daemon's text could otherwise send escape
/// sequences to the operator's terminal.
std::string sanitize(std::string_view text)
{
    std::string sanitized(text);
    const auto isControl = [](char c) {
        return static_cast<unsigned char>(c) < 0x20 || static_cast<unsigned char>(c) == 0x7f;
    };
    std::replace_if(sanitized.begin(), sanitized.end(), isControl, '?');
    return sanitized;
}

std::string formatCell(std::string_view name, const json::value &value)
{
    if (value.is_string())
        return sanitize(value.get_string());
    if (name == "sinceMs") {
        boost::system::error_code error;
        const auto since = value.to_number<std::int64_t>(error);
        if (!error && since >= 0 && since < MaxTimeMs)
            return formatTime(
                    std::chrono::system_clock::time_point(std::chrono::milliseconds(since)));
    }
    if (value.is_double()) {
        char text[32];
        std::snprintf(text, sizeof text, "%g", value.get_double());
        return text;
    }
    return json::serialize(value);
}

/// Formats rows as left-aligned columns; each line starts with @p indent.
std::string formatRows(const std::vector<Row> &rows, const std::string &indent)
{
    std::vector<std::size_t> widths;
    for (const Row &row : rows) {
        widths.resize(std::max(widths.size(), row.size()), 0);
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    std::string text;
    for (const Row &row : rows) {
        text += indent;
        for (std::size_t i = 0; i < row.size(); ++i) {
            text += row[i];
            if (i + 1 < row.size())
                text.append(widths[i] - row[i].size() + 2, ' ');
        }
        text += '\n';
    }
    return text;
}

std::string formatObject(const json::object &object, const std::string &indent);

/// Formats an array of objects as a table with a title row. Objects that contain arrays are printed
/// as nested objects before the table.
std::string formatArray(std::string_view name, const json::array &array, const std::string &indent)
{
    std::string text = indent + std::string(name) + (array.empty() ? ": none\n" : ":\n");
    const std::string inner = indent + "  ";
    std::vector<Row> rows;
    Row names;
    for (const json::value &element : array) {
        if (!element.is_object()) {
            rows.push_back({formatCell("", element)});
            continue;
        }
        const json::object &object = element.get_object();
        const bool isNested = std::any_of(object.begin(), object.end(), [](const auto &field) {
            return field.value().is_array();
        });
        if (isNested) {
            text += formatObject(object, inner);
            continue;
        }
        // Objects may lack a field or have an additional one, so each cell is placed by field name.
        Row cells(names.size());
        for (const auto &field : object) {
            const auto found = std::find(names.begin(), names.end(), field.key());
            const auto column = static_cast<std::size_t>(found - names.begin());
            if (found == names.end()) {
                names.emplace_back(field.key());
                cells.emplace_back();
            }
            cells[column] = formatCell(field.key(), field.value());
        }
        rows.push_back(cells);
    }
    if (!names.empty()) {
        Row titles;
        for (const std::string &column : names)
            titles.push_back(column == "sinceMs" ? "since" : sanitize(column));
        rows.insert(rows.begin(), titles);
    }
    return text + formatRows(rows, inner);
}

/// Formats the scalar fields as one table, followed by the arrays.
std::string formatObject(const json::object &object, const std::string &indent)
{
    std::vector<Row> scalars;
    std::string arrays;
    for (const auto &field : object) {
        if (field.value().is_array())
            arrays += formatArray(field.key(), field.value().get_array(), indent);
        else
            scalars.push_back({std::string(field.key()), formatCell(field.key(), field.value())});
    }
    return formatRows(scalars, indent) + arrays;
}

} // namespace

std::optional<std::string> formatAnswer(const std::string &command, const std::string &text)
{
    boost::system::error_code error;
    const json::value value = json::parse(text, error);
    const char *const required = command == "status"    ? "rules"
                                 : command == "entries" ? "entries"
                                                        : "services";
    if (error || !value.is_object() || !value.get_object().contains(required))
        return std::nullopt;
    return formatObject(value.get_object(), "");
}

} // namespace geraniumcart::tools
