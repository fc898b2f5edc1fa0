#include "Commands.h"

#include <iostream>

int
main(int aCount, char** aArguments)
{
  return sycamoreward::RunCtl(aCount, aArguments, std::cout, std::cerr);
}
