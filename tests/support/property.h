#pragma once

#include <rapidcheck.h>

#include <iostream>
#include <string>
#include <utility>

namespace geraniumcart::test {

/// Checks a property with a fixed seed, so that every run has the same result. Prints the shrunk
/// counterexample on failure.
/// @return true if the property holds for all cases
template <typename Testable>
bool holds(const std::string &description, std::uint64_t seed, int cases, Testable &&testable)
{
    rc::detail::TestMetadata metadata;
    metadata.id = description;
    metadata.description = description;
    rc::detail::TestParams params;
    params.seed = seed;
    params.maxSuccess = cases;
    const auto result =
            rc::detail::checkTestable(std::forward<Testable>(testable), metadata, params);
    const bool success = result.template is<rc::detail::SuccessResult>();
    if (!success)
        rc::detail::printResultMessage(result,
                                       std::cerr << description << " (seed " << seed << "): ");
    return success;
}

} // namespace geraniumcart::test
