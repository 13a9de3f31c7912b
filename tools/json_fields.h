#pragma once

#include <boost/json.hpp>

#include <chrono>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumcart::tools {

/// Reads the optional fields of one JSON object into variables that hold the default values, and
/// reports fields that were not read as unknown. An absent field leaves its variable unchanged. The
/// reason that is passed to the constructor receives the first failure only.
class JsonFields
{
public:
    /// @param path name of the object in failure reasons
    /// @param reason receives the first failure; must outlive this object
    JsonFields(const boost::json::value &value, std::string path, std::string &reason);

    bool hasFailed() const { return !m_reason.empty(); }
    bool has(std::string_view name) const { return m_object.contains(name); }
    /// Marks the field as read.
    /// @return the value of the field, or nullptr if it is absent
    const boost::json::value *find(const char *name);

    void read(const char *name, std::string &target);
    void read(const char *name, bool &target);
    void read(const char *name, double &target);
    /// Reads a number of milliseconds, which may have a fraction.
    void read(const char *name, std::chrono::steady_clock::duration &target);
    template <typename T>
    requires std::is_unsigned_v<T>
    void read(const char *name, T &target);
    /// Reads an array, or a single value as an array of one element.
    template <typename T>
    void read(const char *name, std::vector<T> &target);

    /// Fails if the object has fields that were not read.
    void rejectUnknownFields();
    /// Sets the reason to "PATH.NAME: expected EXPECTED" unless it holds an earlier failure.
    /// @param name empty if the failure concerns the whole object
    void fail(const std::string &name, const char *expected);

private:
    /// @return false if @p value has another type or is out of range
    bool convert(const boost::json::value &value, std::string &target);
    template <typename T>
    requires std::is_unsigned_v<T>
    bool convert(const boost::json::value &value, T &target);

    boost::json::object m_object;
    std::string m_path;
    std::string &m_reason;
    std::vector<std::string> m_readNames;
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
            fail(name, "a value or an array of values, each of the field's type");
            return;
        }
        target.push_back(std::move(converted));
    }
}

} // namespace geraniumcart::tools
