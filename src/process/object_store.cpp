#include <geraniumcart/object_store.h>

namespace geraniumcart {

bool isNewer(const ObjectVersion &a, const ObjectVersion &b)
{
    if (areComparable(a.era, b.era))
        return a.version > b.version;
    if (a.era > b.era)
        return a.isOfEra || a.order >= b.order;
    return !b.isOfEra && a.order > b.order;
}

const char *toString(StoreError error)
{
    switch (error) {
    case StoreError::None:
        return "none";
    case StoreError::NotFound:
        return "not found";
    case StoreError::Conflict:
        return "conflict";
    case StoreError::Unavailable:
        return "unavailable";
    case StoreError::Unknown:
        return "unknown result";
    case StoreError::Malformed:
        return "malformed";
    }
    return "unknown";
}

} // namespace geraniumcart
