#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>

#include <geraniumcart/invariants.h>

int main(int argc, char **argv)
{
    geraniumcart::abortOnViolation(true);
    return Catch::Session().run(argc, argv);
}
