#include "control/control.h"

#include <iostream>

int main(int argc, char **argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    return shallotwalk::runControl(arguments, std::cout, std::cerr);
}
