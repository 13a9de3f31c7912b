#include "json_fields.h"

#include <algorithm>
#include <cmath>

namespace geraniumcart::tools {

namespace {

/// Longest duration that a field may hold, far below the overflow of the conversion to ticks.
constexpr std::chrono::hours MaxDuration{24 * 365};

} // namespace

JsonFields::JsonFields(const boost::json::value &value, std::string path, std::string &reason)
    : m_path(std::move(path))
    , m_reason(reason)
{
    if (const boost::json::object *object = value.if_object())
        m_object = *object;
    else
        fail("", "an object");
}

const boost::json::value *JsonFields::find(const char *name)
{
    m_readNames.emplace_back(name);
    return m_object.if_contains(name);
}

void JsonFields::read(const char *name, std::string &target)
{
    const boost::json::value *value = find(name);
    if (value && !convert(*value, target))
        fail(name, "a string");
}

void JsonFields::read(const char *name, bool &target)
{
    const boost::json::value *value = find(name);
    if (value && value->is_bool())
        target = value->get_bool();
    else if (value)
        fail(name, "true or false");
}

void JsonFields::read(const char *name, double &target)
{
    const boost::json::value *value = find(name);
    if (!value)
        return;
    boost::system::error_code code;
    const auto number = value->to_number<double>(code);
    if (code || !std::isfinite(number) || number < 0)
        fail(name, "a number of at least 0");
    else
        target = number;
}

void JsonFields::read(const char *name, std::chrono::steady_clock::duration &target)
{
    using Milliseconds = std::chrono::duration<double, std::milli>;
    double number = Milliseconds(target).count();
    read(name, number);
    if (Milliseconds(number) > MaxDuration)
        fail(name, "at most one year");
    else
        target = std::chrono::round<std::chrono::steady_clock::duration>(Milliseconds(number));
}

void JsonFields::rejectUnknownFields()
{
    for (const auto &field : m_object) {
        const std::string name(field.key());
        if (std::ranges::find(m_readNames, name) == m_readNames.end())
            fail(name, "a known field name");
    }
}

void JsonFields::fail(const std::string &name, const char *expected)
{
    if (m_reason.empty())
        m_reason = m_path + (name.empty() ? "" : "." + name) + ": expected " + expected;
}

bool JsonFields::convert(const boost::json::value &value, std::string &target)
{
    if (!value.is_string())
        return false;
    target = std::string(value.get_string());
    return true;
}

} // namespace geraniumcart::tools
