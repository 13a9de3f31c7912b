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

std::string formatTime(std::chrono::system_clock::time_point time)
{
    const std::time_t seconds = std::chrono::system_clock::to_time_t(time);
    std::tm utc{};
    gmtime_r(&seconds, &utc);
    char text[32];
    std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &utc);
    return text;
}

std::string formatCell(std::string_view name, const json::value &value)
{
    if (value.is_string())
        return std::string(value.get_string());
    if (name == "sinceMs" && value.is_number())
        return formatTime(std::chrono::system_clock::time_point(
                std::chrono::milliseconds(value.to_number<std::int64_t>())));
    if (value.is_double()) {
        char text[32];
        std::snprintf(text, sizeof text, "%g", value.get_double());
        return text;
    }
    return json::serialize(value);
}

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

std::string formatArray(std::string_view name, const json::array &array, const std::string &indent)
{
    std::string text = indent + std::string(name) + (array.empty() ? ": none\n" : ":\n");
    const std::string inner = indent + "  ";
    std::vector<Row> rows;
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
        Row titles;
        Row cells;
        for (const auto &field : object) {
            titles.push_back(field.key() == "sinceMs" ? "since" : std::string(field.key()));
            cells.push_back(formatCell(field.key(), field.value()));
        }
        if (rows.empty())
            rows.push_back(titles);
        rows.push_back(cells);
    }
    return text + formatRows(rows, inner);
}

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
