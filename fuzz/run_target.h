#pragma once

#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <span>

namespace geraniumcart::fuzz {

using Check = const char *(*)(std::span<const std::uint8_t>);

/// Runs one input; ends the process with the property that does not hold.
inline int runTarget(Check check, const std::uint8_t *data, std::size_t size)
{
    if (const char *property = check({data, size})) {
        std::fprintf(stderr, "property does not hold: %s\n", property);
        std::abort();
    }
    return 0;
}

} // namespace geraniumcart::fuzz
