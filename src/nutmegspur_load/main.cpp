/// \file main.cpp
/// The load tool: `nutmegspur_load model|drive SCENARIO...`.

#include "model_world.h"

#include <nutmegspur/error.h>

#include <cstdio>
#include <cstring>
#include <fstream>
#include <sstream>

namespace nutmegspur::load {

namespace {

result<scenario>
read_scenario(const std::string& path) {
  std::ifstream in(path);
  if (!in) {
    return fail({error_code::not_found, step::settings_parse, path, "cannot be read"});
  }
  std::stringstream text;
  text << in.rdbuf();
  return parse_scenario(text.str());
}

int
complain(const error& ec) {
  std::fprintf(stderr, "%s\n", to_text(ec).c_str());
  return 2;
}

/// Runs every bundle, or the one that is named, over each scenario.
int
run_models(std::span<const std::string> args) {
  bool json = false;
  std::string only;
  std::vector<std::string> paths;
  for (std::size_t i = 0; i < args.size(); ++i) {
    if (args[i] == "--json") {
      json = true;
    } else if (args[i] == "--policy" && i + 1 < args.size()) {
      only = args[++i];
    } else {
      paths.push_back(args[i]);
    }
  }
  for (const auto& path : paths) {
    const auto in = read_scenario(path);
    if (!in) {
      return complain(in.error());
    }
    for (const auto& bundle : policy_bundles()) {
      if (!only.empty() && only != bundle.name) {
        continue;
      }
      const auto sum = run_model(*in, bundle);
      if (!sum) {
        return complain(sum.error());
      }
      std::printf("%s\n", (json ? measure_json(*sum) : measure_line(*sum)).c_str());
      std::fflush(stdout);
    }
  }
  return 0;
}

} // namespace

} // namespace nutmegspur::load

int
main(int argc, char** argv) {
  const std::vector<std::string> args(argv + 1, argv + argc);
  if (args.size() >= 2 && args.front() == "model") {
    return nutmegspur::load::run_models(std::span{args}.subspan(1));
  }
  std::fputs("usage: nutmegspur_load model [--json] [--policy NAME] SCENARIO...\n", stderr);
  return 2;
}
