#include "operator_cli.h"

int main(int argc, char **argv)
{
    return geraniumcart::tools::runOperatorCli(argc, argv);
}
