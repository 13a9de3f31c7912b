#pragma once

#include <geraniumcart/object_store.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace geraniumcart {

/// The newest accepted objects by key. A version never goes back, whatever a lagging store or a
/// peer that was cut off says. Belongs to the control thread.
class ConfigReplica
{
public:
    using Listener = std::function<void(const StoredObject &)>;

    /// @param changed called for each object that became newer
    explicit ConfigReplica(Listener changed)
        : m_changed(std::move(changed))
    {
    }

    /// Takes an object if it is newer than the one held. @return true if it was taken.
    bool offer(StoredObject object);
    const StoredObject *find(const std::string &key) const;
    std::uint64_t versionOf(const std::string &key) const;
    std::vector<ObjectVersion> versions() const;
    /// Objects newer than what @p known lists.
    std::vector<StoredObject> newerThan(const std::vector<ObjectVersion> &known) const;
    /// Keys of @p theirs that are newer there than here, with the version held here.
    std::vector<ObjectVersion> staleAgainst(const std::vector<ObjectVersion> &theirs) const;
    std::vector<StoredObject> all() const;

private:
    Listener m_changed;
    std::map<std::string, StoredObject, std::less<>> m_objects;
};

} // namespace geraniumcart
