#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>

#include <geraniumcart/invariants.h>

int main(int argc, char **argv)
{
    // Aborts the run at an invariant violation, unless a test turns this off.
    geraniumcart::abortOnViolation(true);
    return Catch::Session().run(argc, argv);
}
