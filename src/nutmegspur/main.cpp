// Entry point of the program `nutmegspur`: dispatches to its commands.
#include "ctl.h"
#include "entry.h"
#include "proxy.h"

#include <iostream>
#include <string>
#include <vector>

namespace {

constexpr const char* usage_text = R"(usage: nutmegspur <command> [options]

commands:
  entry     serve callers on this instance (the daemon)
  proxy     route requests by host and path on this instance (the daemon on a fleet platform)
  ctl       the operators' client: resources, keys, drains, status
  version   print the version

'nutmegspur <command> --help' describes a command's options.
)";

} // namespace

int
main(int argc, char** argv) {
  const std::vector<std::string> args{argv + std::min(argc, 1), argv + argc};
  if (args.empty()) {
    std::cerr << usage_text;
    return static_cast<int>(nutmegspur::exit_status::usage);
  }
  const std::span<const std::string> rest{args.begin() + 1, args.end()};
  if (args.front() == "entry") {
    return static_cast<int>(nutmegspur::run_entry(rest));
  }
  if (args.front() == "proxy") {
    return static_cast<int>(nutmegspur::run_proxy(rest));
  }
  if (args.front() == "ctl") {
    return nutmegspur::run_ctl(rest);
  }
  if (args.front() == "version") {
    std::cout << "nutmegspur " << NUTMEGSPUR_VERSION << '\n';
    return 0;
  }
  if (args.front() == "--help" || args.front() == "-h" || args.front() == "help") {
    std::cout << usage_text;
    return 0;
  }
  std::cerr << "nutmegspur: there is no command '" << args.front() << "'\n\n" << usage_text;
  return static_cast<int>(nutmegspur::exit_status::usage);
}
