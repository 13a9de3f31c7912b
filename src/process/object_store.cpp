#include <geraniumcart/object_store.h>

namespace geraniumcart {

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
