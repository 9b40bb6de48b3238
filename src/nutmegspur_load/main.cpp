/// \file main.cpp
/// The load tool: `nutmegspur_load model|drive SCENARIO...`.
///
/// `model` simulates scenarios in this process on a manual clock, once for each policy bundle.
/// `drive` sends one scenario's requests to running instances over HTTP.

#include "drive_mode.h"
#include "model_world.h"

#include <nutmegspur/error.h>

#include <QtCore/QCoreApplication>
#include <QtCore/QJsonDocument>
#include <QtCore/QJsonObject>

#include <cxxopts.hpp>

#include <cstdio>
#include <fstream>
#include <sstream>

namespace nutmegspur::load {

namespace {

result<scenario>
read_scenario(const std::string& path) {
  std::ifstream in(path);
  if (!in) {
    return fail(
        {error_code::not_found, step::settings_parse, path, "cannot open the scenario file"});
  }
  std::stringstream text;
  text << in.rdbuf();
  return parse_scenario(text.str());
}

int
report_error(const error& ec) {
  std::fprintf(stderr, "%s\n", to_text(ec).c_str());
  return 2;
}

/// Simulates each scenario with every policy bundle, or only with the one named by `--policy`.
int
run_simulations(std::span<const std::string> args) {
  bool json = false;
  std::string only_policy;
  std::vector<std::string> paths;
  for (std::size_t i = 0; i < args.size(); ++i) {
    if (args[i] == "--json") {
      json = true;
    } else if (args[i] == "--policy" && i + 1 < args.size()) {
      only_policy = args[++i];
    } else {
      paths.push_back(args[i]);
    }
  }
  for (const auto& path : paths) {
    const auto in = read_scenario(path);
    if (!in) {
      return report_error(in.error());
    }
    for (const auto& bundle : policy_bundles()) {
      if (!only_policy.empty() && only_policy != bundle.name) {
        continue;
      }
      const auto metrics = run_simulation(*in, bundle);
      if (!metrics) {
        return report_error(metrics.error());
      }
      std::printf("%s\n", (json ? metrics_json(*metrics) : metrics_line(*metrics)).c_str());
      std::fflush(stdout);
    }
  }
  return 0;
}

std::map<std::string, std::string>
read_keys(const std::string& path) {
  std::ifstream in(path);
  std::stringstream text;
  text << in.rdbuf();
  std::map<std::string, std::string> keys;
  const auto object = QJsonDocument::fromJson(QByteArray::fromStdString(text.str())).object();
  for (auto it = object.begin(); it != object.end(); ++it) {
    keys[it.key().toStdString()] = it.value().toString().toStdString();
  }
  return keys;
}

/// Sends one scenario's requests to running instances.
int
run_drive_command(std::span<const std::string> args) {
  cxxopts::Options cli("nutmegspur_load drive",
                       "Sends the requests of a scenario to running instances");
  auto add = cli.add_options();
  add("url", "caller URL of an entry instance; may be repeated",
      cxxopts::value<std::vector<std::string>>());
  add("model", "name of the model to request", cxxopts::value<std::string>());
  add("key", "API key of teams that --keys does not name",
      cxxopts::value<std::string>()->default_value(""));
  add("keys", "JSON file with API keys: {team: key}",
      cxxopts::value<std::string>()->default_value(""));
  add("seconds", "limit of the duration in seconds; 0 runs the whole scenario",
      cxxopts::value<double>()->default_value("0"));
  add("scenario", "scenario file", cxxopts::value<std::string>());
  cli.parse_positional({"scenario"});
  std::vector<const char*> argv{"drive"};
  for (const auto& it : args) {
    argv.push_back(it.c_str());
  }
  try {
    const auto parsed = cli.parse(static_cast<int>(argv.size()), argv.data());
    const auto in = read_scenario(parsed["scenario"].as<std::string>());
    if (!in) {
      return report_error(in.error());
    }
    drive_options options;
    options.urls = parsed["url"].as<std::vector<std::string>>();
    options.model = parsed["model"].as<std::string>();
    options.key = parsed["key"].as<std::string>();
    options.seconds = parsed["seconds"].as<double>();
    if (const auto path = parsed["keys"].as<std::string>(); !path.empty()) {
      options.keys = read_keys(path);
    }
    std::printf("%s\n", metrics_json(run_drive(*in, options)).c_str());
    return 0;
  } catch (const cxxopts::exceptions::exception& ec) {
    std::fprintf(stderr, "%s\n", ec.what());
    return 2;
  }
}

} // namespace

} // namespace nutmegspur::load

int
main(int argc, char** argv) {
  const std::vector<std::string> args(argv + 1, argv + argc);
  if (args.size() >= 2 && args.front() == "model") {
    return nutmegspur::load::run_simulations(std::span{args}.subspan(1));
  }
  if (args.size() >= 2 && args.front() == "drive") {
    const QCoreApplication app(argc, argv);
    return nutmegspur::load::run_drive_command(std::span{args}.subspan(1));
  }
  std::fputs("usage: nutmegspur_load model [--json] [--policy NAME] SCENARIO...\n"
             "       nutmegspur_load drive --url URL --model M [--key K] [--seconds N] SCENARIO\n",
             stderr);
  return 2;
}
