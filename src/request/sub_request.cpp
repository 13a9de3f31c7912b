#include <geraniumcart/sub_request.h>

namespace geraniumcart {

bool isProvenNotRun(SubRequestFailure failure)
{
    switch (failure) {
    case SubRequestFailure::NotSent:
    case SubRequestFailure::ConnectFailed:
    case SubRequestFailure::Refused:
    case SubRequestFailure::NoCapacity:
        return true;
    case SubRequestFailure::ConnectionLost:
    case SubRequestFailure::TimedOut:
    case SubRequestFailure::Cancelled:
    case SubRequestFailure::Malformed:
    case SubRequestFailure::Failed:
        return false;
    }
    return false;
}

const char *toString(SubRequestFailure failure)
{
    switch (failure) {
    case SubRequestFailure::NotSent:
        return "notSent";
    case SubRequestFailure::ConnectFailed:
        return "connectFailed";
    case SubRequestFailure::Refused:
        return "refused";
    case SubRequestFailure::NoCapacity:
        return "noCapacity";
    case SubRequestFailure::ConnectionLost:
        return "connectionLost";
    case SubRequestFailure::TimedOut:
        return "timedOut";
    case SubRequestFailure::Cancelled:
        return "cancelled";
    case SubRequestFailure::Malformed:
        return "malformed";
    case SubRequestFailure::Failed:
        return "failed";
    }
    return "unknown";
}

} // namespace geraniumcart
