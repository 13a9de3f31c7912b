#include "fake_searcher_main.h"

#include <iostream>

int main(int argc, char **argv)
{
    std::string message;
    const auto options = geraniumcart::tools::parseFakeSearcherOptions(argc, argv, message);
    if (!options) {
        std::cerr << message << '\n';
        return 2;
    }
    return geraniumcart::tools::runFakeSearcher(*options);
}
