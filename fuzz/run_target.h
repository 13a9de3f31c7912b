#pragma once

#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <span>

namespace geraniumcart::fuzz {

/// Checks one input. @return the violated property, or nullptr if all hold
using Check = const char *(*)(std::span<const std::uint8_t>);

/// Runs @p check on one input. Prints a violated property and aborts, which libFuzzer reports as a
/// crash.
inline int runTarget(Check check, const std::uint8_t *data, std::size_t size)
{
    if (const char *property = check({data, size})) {
        std::fprintf(stderr, "property does not hold: %s\n", property);
        std::abort();
    }
    return 0;
}

} // namespace geraniumcart::fuzz
