#include <iostream>

#include "programs/wagtailctl.h"

int
main(int argc, char** argv)
{
  return wagtailbend::ctl::RunCtl(
    { argv + 1, argv + argc }, std::cout, std::cerr);
}
