#pragma once

#include <boost/json.hpp>

#include <chrono>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumcart::tools {

/// Reads the optional fields of one JSON object into variables that hold the defaults, and refuses
/// fields that nobody read. The first failure is kept in the reason.
class JsonFields
{
public:
    JsonFields(const boost::json::value &value, std::string path, std::string &reason);

    bool hasFailed() const { return !m_reason.empty(); }
    bool has(std::string_view name) const { return m_object.contains(name); }
    /// @return the field and notes it as read; null when absent
    const boost::json::value *find(const char *name);

    void read(const char *name, std::string &target);
    void read(const char *name, bool &target);
    void read(const char *name, double &target);
    /// A number of milliseconds, fractions allowed.
    void read(const char *name, std::chrono::steady_clock::duration &target);
    template <typename T>
    requires std::is_unsigned_v<T>
    void read(const char *name, T &target);
    /// A single value or an array of them.
    template <typename T>
    void read(const char *name, std::vector<T> &target);

    /// Fails on fields that were not read.
    void finish();
    void fail(const std::string &name, const char *expected);

private:
    bool convert(const boost::json::value &value, std::string &target);
    template <typename T>
    requires std::is_unsigned_v<T>
    bool convert(const boost::json::value &value, T &target);

    boost::json::object m_object;
    std::string m_path;
    std::string &m_reason;
    std::vector<std::string> m_read;
};

template <typename T>
requires std::is_unsigned_v<T>
bool JsonFields::convert(const boost::json::value &value, T &target)
{
    boost::system::error_code code;
    const auto number = value.to_number<std::uint64_t>(code);
    if (code || number > std::numeric_limits<T>::max())
        return false;
    target = static_cast<T>(number);
    return true;
}

template <typename T>
requires std::is_unsigned_v<T>
void JsonFields::read(const char *name, T &target)
{
    const boost::json::value *value = find(name);
    if (value && !convert(*value, target))
        fail(name, "a whole number");
}

template <typename T>
void JsonFields::read(const char *name, std::vector<T> &target)
{
    const boost::json::value *value = find(name);
    if (!value)
        return;
    target.clear();
    boost::json::array single;
    if (!value->is_array())
        single.push_back(*value);
    for (const boost::json::value &element : value->is_array() ? value->get_array() : single) {
        T converted{};
        if (!convert(element, converted)) {
            fail(name, "values of one kind");
            return;
        }
        target.push_back(std::move(converted));
    }
}

} // namespace geraniumcart::tools
