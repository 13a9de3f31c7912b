#include "load_main.h"

#include <iostream>

int main(int argc, char **argv)
{
    std::string message;
    const auto options = geraniumcart::tools::parseLoadOptions(argc, argv, message);
    if (!options) {
        std::cerr << message << '\n';
        return 2;
    }
    return geraniumcart::tools::runLoadTool(*options);
}
