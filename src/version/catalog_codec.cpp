#include <geraniumcart/catalog.h>
#include <geraniumcart/config.h>

#include <boost/json.hpp>

#include <algorithm>
#include <cmath>
#include <limits>

namespace geraniumcart {

namespace json = boost::json;

namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;

/// Longest duration that a catalog may contain; keeps conversions far from overflow.
constexpr Duration MaxDuration = std::chrono::hours(24 * 365);

/// Reads fields of JSON objects. The first failure is kept in the caller's error and field; reads
/// that fail return a default value.
class FieldReader
{
public:
    FieldReader(CatalogError &error, std::string &field)
        : m_error(error)
        , m_field(field)
    {
        m_error = CatalogError::None;
        m_field.clear();
    }

    bool hasFailed() const { return m_error != CatalogError::None; }

    void fail(CatalogError error, std::string field)
    {
        if (hasFailed())
            return;
        m_error = error;
        m_field = std::move(field);
    }

    const json::object *asObject(const json::value &value, const std::string &path)
    {
        const json::object *object = value.if_object();
        if (!object)
            fail(CatalogError::BadField, path);
        return object;
    }

    const json::value *find(const json::object &object, const std::string &path, const char *name)
    {
        const json::value *value = object.if_contains(name);
        if (!value)
            fail(CatalogError::MissingField, path + name);
        return value;
    }

    const json::object *object(const json::object &parent, const std::string &path,
                               const char *name)
    {
        const json::value *value = find(parent, path, name);
        return value ? asObject(*value, path + name) : nullptr;
    }

    const json::array &array(const json::object &parent, const std::string &path, const char *name)
    {
        static const json::array Empty;
        const json::value *value = find(parent, path, name);
        if (!value)
            return Empty;
        if (const json::array *array = value->if_array())
            return *array;
        fail(CatalogError::BadField, path + name);
        return Empty;
    }

    std::string text(const json::object &parent, const std::string &path, const char *name,
                     bool mayBeEmpty = false)
    {
        const json::value *value = find(parent, path, name);
        if (!value)
            return {};
        const json::string *text = value->if_string();
        if (!text || (text->empty() && !mayBeEmpty)) {
            fail(CatalogError::BadField, path + name);
            return {};
        }
        return std::string(text->data(), text->size());
    }

    std::uint64_t integer(const json::value &value, const std::string &path, std::uint64_t minimum,
                          std::uint64_t maximum)
    {
        boost::system::error_code code;
        const auto number = value.to_number<std::uint64_t>(code);
        if (code || number < minimum || number > maximum) {
            fail(CatalogError::BadField, path);
            return 0;
        }
        return number;
    }

    std::uint32_t count(const json::object &parent, const std::string &path, const char *name,
                        std::uint32_t minimum, std::uint32_t maximum)
    {
        const json::value *value = find(parent, path, name);
        return value ? static_cast<std::uint32_t>(integer(*value, path + name, minimum, maximum))
                     : 0;
    }

    double number(const json::object &parent, const std::string &path, const char *name)
    {
        const json::value *value = find(parent, path, name);
        if (!value)
            return 0;
        boost::system::error_code code;
        const auto number = value->to_number<double>(code);
        if (code || !std::isfinite(number) || number < 0) {
            fail(CatalogError::BadField, path + name);
            return 0;
        }
        return number;
    }

    Duration milliseconds(const json::object &parent, const std::string &path, const char *name)
    {
        const Milliseconds value(number(parent, path, name));
        if (value > MaxDuration) {
            fail(CatalogError::BadField, path + name);
            return {};
        }
        return std::chrono::round<Duration>(value);
    }

    HostState state(const json::object &parent, const std::string &path)
    {
        const std::string name = text(parent, path, "state");
        if (name == "leaving")
            return HostState::Leaving;
        if (name != "live")
            fail(CatalogError::BadField, path + "state");
        return HostState::Live;
    }

private:
    CatalogError &m_error;
    std::string &m_field;
};

std::string indexed(const char *name, std::size_t index)
{
    return std::string(name) + "[" + std::to_string(index) + "]";
}

std::optional<json::value> parseRoot(std::string_view text, FieldReader &reader)
{
    boost::system::error_code code;
    json::value root = json::parse({text.data(), text.size()}, code);
    if (code || !root.is_object()) {
        reader.fail(CatalogError::NotJson, {});
        return std::nullopt;
    }
    return root;
}

SearcherLimits readLimits(const json::object &object, FieldReader &reader)
{
    constexpr std::uint32_t Maximum = std::numeric_limits<std::uint32_t>::max();
    const std::string path = "limits.";
    SearcherLimits limits;
    limits.slots = reader.count(object, path, "slots", 1, Maximum);
    limits.connections = reader.count(object, path, "connections", 1, Maximum);
    limits.connectCost = reader.milliseconds(object, path, "connectCostMs");
    limits.coldRequestsPerSecond = reader.number(object, path, "coldRequestsPerSecond");
    limits.coldDoubling = reader.milliseconds(object, path, "coldDoublingMs");
    limits.warmUp = reader.milliseconds(object, path, "warmUpMs");
    // With a rate of zero a searcher would get no requests and never count as warm.
    if (limits.coldRequestsPerSecond <= 0)
        reader.fail(CatalogError::BadField, path + "coldRequestsPerSecond");
    if (limits.coldDoubling <= Duration::zero())
        reader.fail(CatalogError::BadField, path + "coldDoublingMs");
    return limits;
}

PartitionMap readPartitionMap(const json::value &value, const std::string &path,
                              FieldReader &reader)
{
    constexpr std::uint64_t Maximum = std::numeric_limits<std::uint64_t>::max();
    PartitionMap map;
    const json::object *object = reader.asObject(value, path);
    if (!object)
        return map;
    if (const json::value *version = reader.find(*object, path + ".", "indexVersion"))
        map.indexVersion = reader.integer(*version, path + ".indexVersion", 1, Maximum);
    const json::array &documents = reader.array(*object, path + ".", "documents");
    if (documents.size() > MaxShards) {
        reader.fail(CatalogError::TooManyShards, path + ".documents");
        return map;
    }
    if (documents.empty())
        reader.fail(CatalogError::BadField, path + ".documents");
    map.documents.reserve(documents.size());
    for (std::size_t i = 0; i < documents.size(); ++i)
        map.documents.push_back(
                reader.integer(documents[i], path + "." + indexed("documents", i), 0, Maximum));
    return map;
}

/// Reads a record with @p fill from the object @p value. @return an empty record, after a reported
/// failure, if the value is not an object
template <class Record, class Fill>
Record readRecord(const json::value &value, const std::string &path, FieldReader &reader, Fill fill)
{
    Record record;
    if (const json::object *object = reader.asObject(value, path))
        fill(*object, path + ".", record);
    return record;
}

SearcherEntry readSearcher(const json::value &value, const std::string &path, FieldReader &reader)
{
    const auto fill = [&reader](const json::object &object, const std::string &prefix,
                                SearcherEntry &entry) {
        entry.address = reader.text(object, prefix, "address");
        entry.service = reader.text(object, prefix, "service");
        entry.zone = reader.text(object, prefix, "zone");
        entry.instance = reader.text(object, prefix, "instance", true);
        entry.shard = reader.count(object, prefix, "shard", 0, MaxShards - 1);
        entry.backEndVersion = reader.text(object, prefix, "backEndVersion", true);
        entry.state = reader.state(object, prefix);
    };
    return readRecord<SearcherEntry>(value, path, reader, fill);
}

EntryHost readEntry(const json::value &value, const std::string &path, FieldReader &reader)
{
    const auto fill = [&reader](const json::object &object, const std::string &prefix,
                                EntryHost &host) {
        host.name = reader.text(object, prefix, "name");
        host.zone = reader.text(object, prefix, "zone");
        host.address = reader.text(object, prefix, "address");
        host.peerAddress = reader.text(object, prefix, "peerAddress", true);
        host.state = reader.state(object, prefix);
    };
    return readRecord<EntryHost>(value, path, reader, fill);
}

json::value toMilliseconds(Duration duration)
{
    const auto whole = std::chrono::duration_cast<std::chrono::milliseconds>(duration);
    if (whole == duration)
        return whole.count();
    return Milliseconds(duration).count();
}

const char *hostStateName(HostState state)
{
    return state == HostState::Leaving ? "leaving" : "live";
}

} // namespace

std::optional<ServiceCatalog> parseCatalog(std::string_view text, CatalogError &error,
                                           std::string &field)
{
    FieldReader reader(error, field);
    const auto root = parseRoot(text, reader);
    if (!root)
        return std::nullopt;
    const json::object &object = root->get_object();

    ServiceCatalog catalog;
    catalog.service = reader.text(object, {}, "service");
    if (const json::object *limits = reader.object(object, {}, "limits"))
        catalog.limits = readLimits(*limits, reader);
    const json::array &versions = reader.array(object, {}, "indexVersions");
    for (std::size_t i = 0; i < versions.size() && !reader.hasFailed(); ++i)
        catalog.indexVersions.push_back(
                readPartitionMap(versions[i], indexed("indexVersions", i), reader));
    std::ranges::sort(catalog.indexVersions, std::ranges::greater{}, &PartitionMap::indexVersion);
    if (std::ranges::adjacent_find(catalog.indexVersions, {}, &PartitionMap::indexVersion) !=
        catalog.indexVersions.end())
        reader.fail(CatalogError::BadField, "indexVersions");
    if (reader.hasFailed())
        return std::nullopt;
    return catalog;
}

std::optional<HostList> parseHostList(std::string_view text, CatalogError &error,
                                      std::string &field)
{
    FieldReader reader(error, field);
    const auto root = parseRoot(text, reader);
    if (!root)
        return std::nullopt;
    const json::object &object = root->get_object();

    HostList hosts;
    const json::array &searchers = reader.array(object, {}, "searchers");
    hosts.searchers.reserve(searchers.size());
    for (std::size_t i = 0; i < searchers.size() && !reader.hasFailed(); ++i)
        hosts.searchers.push_back(readSearcher(searchers[i], indexed("searchers", i), reader));
    const json::array &entries = reader.array(object, {}, "entries");
    hosts.entries.reserve(entries.size());
    for (std::size_t i = 0; i < entries.size() && !reader.hasFailed(); ++i)
        hosts.entries.push_back(readEntry(entries[i], indexed("entries", i), reader));
    if (reader.hasFailed())
        return std::nullopt;
    return hosts;
}

std::string formatCatalog(const ServiceCatalog &catalog)
{
    json::array versions;
    for (const PartitionMap &map : catalog.indexVersions)
        versions.push_back(
                {{"indexVersion", map.indexVersion},
                 {"documents", json::array(map.documents.begin(), map.documents.end())}});
    const SearcherLimits &limits = catalog.limits;
    const json::object root{
            {"service", catalog.service},
            {"limits",
             {{"slots", limits.slots},
              {"connections", limits.connections},
              {"connectCostMs", toMilliseconds(limits.connectCost)},
              {"coldRequestsPerSecond", limits.coldRequestsPerSecond},
              {"coldDoublingMs", toMilliseconds(limits.coldDoubling)},
              {"warmUpMs", toMilliseconds(limits.warmUp)}}},
            {"indexVersions", std::move(versions)},
    };
    return json::serialize(root);
}

std::string formatHostList(const HostList &hosts)
{
    json::array searchers;
    searchers.reserve(hosts.searchers.size());
    for (const SearcherEntry &entry : hosts.searchers)
        searchers.push_back({{"address", entry.address},
                             {"service", entry.service},
                             {"zone", entry.zone},
                             {"instance", entry.instance},
                             {"shard", entry.shard},
                             {"backEndVersion", entry.backEndVersion},
                             {"state", hostStateName(entry.state)}});
    json::array entries;
    entries.reserve(hosts.entries.size());
    for (const EntryHost &host : hosts.entries)
        entries.push_back({{"name", host.name},
                           {"zone", host.zone},
                           {"address", host.address},
                           {"peerAddress", host.peerAddress},
                           {"state", hostStateName(host.state)}});
    return json::serialize(
            json::object{{"searchers", std::move(searchers)}, {"entries", std::move(entries)}});
}

} // namespace geraniumcart
