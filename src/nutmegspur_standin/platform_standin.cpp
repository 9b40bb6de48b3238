/// \file platform_standin.cpp
/// Placeholder of the platform stand-in.

#include "standin_main.h"

#include <cstdio>

namespace nutmegspur::standin {

__attribute__((weak)) int
run_platform(std::span<const std::string> /*args*/) {
  std::fputs("the platform stand-in is not part of this build\n", stderr);
  return 2;
}

} // namespace nutmegspur::standin
