#pragma once

#include <geraniumcart/object_store.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace geraniumcart {

/// Holds the newest accepted version of each stored object, by key, see isNewer(). Older versions
/// are ignored, because a lagging store or a peer that was disconnected may still send them. Used
/// on the control thread only.
class ConfigReplica
{
public:
    using Listener = std::function<void(const StoredObject &)>;

    /// @param changed called for each object that was added or replaced by a newer version
    explicit ConfigReplica(Listener changed)
        : m_changed(std::move(changed))
    {
    }

    /// Stores @p object if it is newer than the stored one. @return true if it was stored
    bool offer(StoredObject object);
    /// Records that the store still has the value of a stored object. If its era is a later one,
    /// the object counts as replaced, since its version has changed.
    void confirm(const StoredObject &object);
    /// @return the stored object, or nullptr if there is none
    const StoredObject *find(const std::string &key) const;
    /// @return the version of the stored object; 0 if there is none
    std::uint64_t versionOf(const std::string &key) const;
    std::vector<ObjectVersion> versions() const;
    /// @return the objects listed in @p known whose version here is newer than the listed one
    std::vector<StoredObject> newerThan(const std::vector<ObjectVersion> &known) const;
    /// @return the keys of @p peerVersions whose version there is newer than the one stored here,
    /// each with the version stored here
    std::vector<ObjectVersion> staleAgainst(const std::vector<ObjectVersion> &peerVersions) const;
    std::vector<StoredObject> all() const;

private:
    Listener m_changed;
    std::map<std::string, StoredObject, std::less<>> m_objects;
};

} // namespace geraniumcart
