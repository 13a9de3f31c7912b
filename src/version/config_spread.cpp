#include <geraniumcart/config_spread.h>

#include <geraniumcart/invariants.h>

#include <algorithm>

namespace geraniumcart {

bool ConfigReplica::offer(StoredObject object)
{
    const std::uint64_t storedVersion = versionOf(object.key);
    if (object.version <= storedVersion)
        return false;
    const auto [place, inserted] = m_objects.insert_or_assign(object.key, std::move(object));
    checkInvariant(Invariant::ConfigurationMonotonic, place->second.version > storedVersion,
                   place->first);
    m_changed(place->second);
    return true;
}

const StoredObject *ConfigReplica::find(const std::string &key) const
{
    const auto found = m_objects.find(key);
    return found == m_objects.end() ? nullptr : &found->second;
}

std::uint64_t ConfigReplica::versionOf(const std::string &key) const
{
    const StoredObject *object = find(key);
    return object ? object->version : 0;
}

std::vector<ObjectVersion> ConfigReplica::versions() const
{
    std::vector<ObjectVersion> versions;
    for (const auto &[key, object] : m_objects)
        versions.push_back({key, object.version});
    return versions;
}

std::vector<StoredObject> ConfigReplica::newerThan(const std::vector<ObjectVersion> &known) const
{
    std::vector<StoredObject> newer;
    for (const ObjectVersion &version : known) {
        const StoredObject *object = find(version.key);
        if (object && object->version > version.version)
            newer.push_back(*object);
    }
    return newer;
}

std::vector<ObjectVersion>
ConfigReplica::staleAgainst(const std::vector<ObjectVersion> &peerVersions) const
{
    std::vector<ObjectVersion> stale;
    for (const ObjectVersion &version : peerVersions)
        if (versionOf(version.key) < version.version)
            stale.push_back({version.key, versionOf(version.key)});
    return stale;
}

std::vector<StoredObject> ConfigReplica::all() const
{
    std::vector<StoredObject> objects;
    for (const auto &[key, object] : m_objects)
        objects.push_back(object);
    return objects;
}

} // namespace geraniumcart
