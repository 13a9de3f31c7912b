#include <geraniumcart/store_calls.h>

namespace geraniumcart {

const char *toString(StoredKind kind)
{
    switch (kind) {
    case StoredKind::Configuration:
        return "configuration";
    case StoredKind::Searchers:
        return "searchers";
    case StoredKind::ZonesOut:
        return "zonesOut";
    case StoredKind::Rollouts:
        return "rollouts";
    }
    return "unknown";
}

const char *toString(StoreCallResult result)
{
    switch (result) {
    case StoreCallResult::Answered:
        return "answered";
    case StoreCallResult::Refused:
        return "refused";
    case StoreCallResult::HistoryGone:
        return "historyGone";
    case StoreCallResult::Conflict:
        return "conflict";
    case StoreCallResult::Unreadable:
        return "unreadable";
    case StoreCallResult::NoAnswer:
        return "noAnswer";
    }
    return "unknown";
}

} // namespace geraniumcart
