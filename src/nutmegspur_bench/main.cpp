/// \file main.cpp
/// The benchmark program `nutmegspur_bench slopes [NAME]`: prints how the cost of parts of the core
/// grows with the size of the fleet or load. Without a name it runs all measurements.

#include "slopes.h"

#include <array>
#include <cstdio>
#include <string_view>

namespace {

struct measurement {
  std::string_view name;
  void (*run)();
};

namespace bench = nutmegspur::bench;

constexpr std::array measurements{
    measurement{"peers", bench::measure_peers},
    measurement{"upstreams", bench::measure_upstreams},
    measurement{"teams", bench::measure_teams},
    measurement{"usage", bench::measure_usage},
    measurement{"streams", bench::measure_streams},
    measurement{"messages", bench::measure_messages},
    measurement{"calls", bench::measure_calls},
};

} // namespace

int
main(int argc, char** argv) {
  const std::string_view what = argc > 2 ? argv[2] : "all";
  bool found = false;
  if (argc > 1 && std::string_view{argv[1]} == "slopes") {
    for (const auto& it : measurements) {
      if (what == "all" || what == it.name) {
        it.run();
        found = true;
      }
    }
  }
  if (!found) {
    std::fputs(
        "usage: nutmegspur_bench slopes [peers|upstreams|teams|usage|streams|messages|calls]\n",
        stderr);
    return 2;
  }
  return 0;
}
