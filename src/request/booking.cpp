#include <geraniumcart/booking.h>

namespace geraniumcart {

const char *toString(BookingOutcome outcome)
{
    switch (outcome) {
    case BookingOutcome::Done:
        return "done";
    case BookingOutcome::NotRun:
        return "notRun";
    case BookingOutcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace geraniumcart
