#include "run_target.h"
#include "stored_object_target.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    return geraniumcart::fuzz::runTarget(geraniumcart::fuzz::checkStoredObject, data, size);
}
