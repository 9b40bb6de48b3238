/// \file engine_standin.cpp
/// Command line of the engine stand-in: serves the engine model over HTTP, with the engine protocol
/// and an OpenAI-compatible API.

#include "engine_service.h"
#include "standin_main.h"

#include <QtCore/QCoreApplication>

#include <cxxopts.hpp>

#include <csignal>
#include <cstdio>

namespace nutmegspur::standin {

namespace {

volatile std::sig_atomic_t leave_requested = 0;

void
on_signal(int /*number*/) {
  leave_requested = 1;
}

cxxopts::Options
engine_cli() {
  const engine_options defaults;
  cxxopts::Options cli("nutmegspur_standin engine", "Stand-in of a model engine");
  auto add = cli.add_options();
  const auto text = [](const char* value) {
    return cxxopts::value<std::string>()->default_value(value);
  };
  const auto number = [](auto value) {
    return cxxopts::value<double>()->default_value(std::to_string(value));
  };
  add("port", "port; 0 picks a free one", cxxopts::value<std::uint16_t>());
  add("name", "name", text("engine-1"));
  add("zone", "availability zone", text("z1"));
  add("model", "model to serve", text("model-1"));
  add("role", "mixed, prefill or decode", text("mixed"));
  add("checks-fence", "reject orders with a stale fencing number");
  add("reclaimable", "may be reclaimed at a few seconds' notice");
  add("prefill-rate", "prompt tokens a second", number(defaults.prefill_rate));
  add("decode-rate", "output tokens a second for one sequence", number(defaults.decode_rate));
  add("slots", "batch slots", number(defaults.slots));
  add("blocks", "KV cache blocks", number(defaults.blocks));
  add("block-tokens", "tokens in a block", number(defaults.block_tokens));
  add("report-lag-ms", "age of load reports", number(defaults.report_lag.count()));
  add("role-change-ms", "duration of a role change", number(defaults.role_change_time.count()));
  add("load-ms", "time to load a model", number(defaults.load_time.count()));
  add("notice-seconds", "notice period before it leaves", number(5));
  add("seed", "seed of the lost cache events", number(defaults.seed));
  return cli;
}

engine_options
read_options(const cxxopts::ParseResult& parsed) {
  const auto number = [&](const char* name) { return parsed[name].as<double>(); };
  const auto count = [&](const char* name) { return static_cast<std::uint32_t>(number(name)); };
  const auto millis = [&](const char* name) { return milliseconds{count(name)}; };
  engine_options it;
  it.name = parsed["name"].as<std::string>();
  it.zone = parsed["zone"].as<std::string>();
  it.state.model = model_id{parsed["model"].as<std::string>()};
  it.state.role =
      from_name<engine_role>(parsed["role"].as<std::string>()).value_or(engine_role::mixed);
  it.checks_fence = parsed.count("checks-fence") > 0;
  it.prefill_rate = number("prefill-rate");
  it.decode_rate = number("decode-rate");
  it.slots = count("slots");
  it.blocks = count("blocks");
  it.block_tokens = count("block-tokens");
  it.report_lag = millis("report-lag-ms");
  it.role_change_time = millis("role-change-ms");
  it.load_time = millis("load-ms");
  it.seed = count("seed");
  return it;
}

int
serve(const cxxopts::ParseResult& parsed) {
  engine_service service(read_options(parsed),
                         seconds{static_cast<int>(parsed["notice-seconds"].as<double>())});
  if (!service.start(parsed["port"].as<std::uint16_t>())) {
    return 1;
  }
  std::signal(SIGTERM, on_signal);
  QTimer poll;
  QObject::connect(&poll, &QTimer::timeout, [&service] {
    if (leave_requested != 0) {
      leave_requested = 0;
      service.leave();
    }
  });
  constexpr int poll_ms = 50;
  poll.start(poll_ms);
  return QCoreApplication::exec();
}

} // namespace

int
run_engine(std::span<const std::string> args) {
  std::vector<const char*> argv{"engine"};
  for (const auto& it : args) {
    argv.push_back(it.c_str());
  }
  try {
    return serve(engine_cli().parse(static_cast<int>(argv.size()), argv.data()));
  } catch (const cxxopts::exceptions::exception& ec) {
    std::fprintf(stderr, "%s\n", ec.what());
    return 2;
  }
}

} // namespace nutmegspur::standin
