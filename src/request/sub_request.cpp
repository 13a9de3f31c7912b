#include <geraniumcart/sub_request.h>

namespace geraniumcart {

bool isProvenNotRun(SubFailure failure)
{
    switch (failure) {
    case SubFailure::NotSent:
    case SubFailure::ConnectFailed:
    case SubFailure::Refused:
    case SubFailure::NoCapacity:
        return true;
    case SubFailure::ConnectionLost:
    case SubFailure::TimedOut:
    case SubFailure::Cancelled:
    case SubFailure::Malformed:
    case SubFailure::Failed:
        return false;
    }
    return false;
}

const char *toString(SubFailure failure)
{
    switch (failure) {
    case SubFailure::NotSent:
        return "notSent";
    case SubFailure::ConnectFailed:
        return "connectFailed";
    case SubFailure::Refused:
        return "refused";
    case SubFailure::NoCapacity:
        return "noCapacity";
    case SubFailure::ConnectionLost:
        return "connectionLost";
    case SubFailure::TimedOut:
        return "timedOut";
    case SubFailure::Cancelled:
        return "cancelled";
    case SubFailure::Malformed:
        return "malformed";
    case SubFailure::Failed:
        return "failed";
    }
    return "unknown";
}

} // namespace geraniumcart
