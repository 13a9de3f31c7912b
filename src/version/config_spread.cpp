#include <geraniumcart/config_spread.h>

#include <geraniumcart/invariants.h>

#include <algorithm>
#include <optional>

namespace geraniumcart {

bool ConfigReplica::offer(StoredObject object)
{
    const StoredObject *stored = find(object.key);
    const ObjectVersion before = stored ? objectVersion(*stored) : ObjectVersion{object.key};
    if (!isNewer(objectVersion(object), before))
        return false;
    const std::optional<StoredObject> previous = stored ? std::optional(*stored) : std::nullopt;
    const auto [place, inserted] = m_objects.insert_or_assign(object.key, std::move(object));
    checkInvariant(Invariant::ConfigurationMonotonic,
                   !isNewer(before, objectVersion(place->second)), place->first);
    try {
        m_changed(place->second);
    } catch (...) {
        // An object that is not in force must not keep the same version from being offered again.
        if (previous)
            place->second = *previous;
        else
            m_objects.erase(place);
        throw;
    }
    return true;
}

void ConfigReplica::confirm(const StoredObject &object)
{
    const auto found = m_objects.find(object.key);
    if (found == m_objects.end() || isEarlierEra(object.era, found->second.era))
        return;
    StoredObject &stored = found->second;
    stored.order = std::max(stored.order, object.order);
    if (areComparable(object.era, stored.era)) {
        stored.isOfEra = stored.isOfEra || object.isOfEra;
        return;
    }
    stored.era = object.era;
    stored.version = object.version;
    stored.isOfEra = object.isOfEra;
    m_changed(stored);
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
        versions.push_back(objectVersion(object));
    return versions;
}

std::vector<StoredObject> ConfigReplica::newerThan(const std::vector<ObjectVersion> &known) const
{
    std::vector<StoredObject> newer;
    for (const ObjectVersion &version : known) {
        const StoredObject *object = find(version.key);
        if (object && isNewer(objectVersion(*object), version))
            newer.push_back(*object);
    }
    return newer;
}

std::vector<ObjectVersion>
ConfigReplica::staleAgainst(const std::vector<ObjectVersion> &peerVersions) const
{
    std::vector<ObjectVersion> stale;
    for (const ObjectVersion &version : peerVersions) {
        const StoredObject *stored = find(version.key);
        const ObjectVersion own = stored ? objectVersion(*stored) : ObjectVersion{version.key};
        if (isNewer(version, own))
            stale.push_back(own);
    }
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
