#include <geraniumcart/search.h>

namespace geraniumcart {

const char *toString(MissingReason reason)
{
    switch (reason) {
    case MissingReason::NoReplica:
        return "noReplica";
    case MissingReason::NoCapacity:
        return "noCapacity";
    case MissingReason::TimedOut:
        return "timedOut";
    case MissingReason::Failed:
        return "failed";
    case MissingReason::WrongVersion:
        return "wrongVersion";
    case MissingReason::ConnectionLost:
        return "connectionLost";
    }
    return "unknown";
}

double Coverage::documentShare() const
{
    if (documentsTotal == 0)
        return 0;
    return static_cast<double>(documentsSearched) / static_cast<double>(documentsTotal);
}

} // namespace geraniumcart
