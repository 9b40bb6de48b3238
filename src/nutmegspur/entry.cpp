// The entry daemon: parses the settings, creates the node, runs its threads and stops on a signal.
#include "entry.h"

#include <nutmegspur/daemon.h>
#include <nutmegspur/event_log.h>
#include <nutmegspur/node.h>
#include <nutmegspur/settings.h>

#include <QCoreApplication>
#include <QMetaObject>

#include <cxxopts.hpp>
#include <glog/logging.h>

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <random>
#include <thread>

namespace nutmegspur {

namespace {

constexpr std::size_t help_width = 100;

cxxopts::Options
describe_options() {
  cxxopts::Options options{"nutmegspur entry",
                           "Serves callers on one entry instance.\n"
                           "Every flag can be given as an environment "
                           "variable: --caller-port is "
                           "NUTMEGSPUR_CALLER_PORT. The flag takes precedence.\n"};
  options.set_width(help_width);
  auto add = options.add_options();
  add("h,help", "show this help");
  add("check", "check the settings and exit: 0 if valid, 2 if not");
  for (const auto& it : settings_table()) {
    const std::string default_text = default_value(it.flag);
    const std::string help = std::string{it.help} + (it.required ? " (required)" : "") +
                             (default_text.empty() ? "" : " (default: " + default_text + ")");
    add(std::string{it.flag}, help, cxxopts::value<std::string>());
  }
  return options;
}

/// Collects the settings that are given; a flag takes precedence over its environment variable.
std::vector<given_setting>
collect_settings(const cxxopts::ParseResult& parsed) {
  std::vector<given_setting> given;
  for (const auto& it : settings_table()) {
    const std::string flag{it.flag};
    const std::string variable = environment_name(flag);
    if (parsed.count(flag) > 0) {
      given.push_back({flag, parsed[flag].as<std::string>(), "flag"});
    } else if (const char* value = std::getenv(variable.c_str()); value != nullptr) {
      given.push_back({flag, value, variable});
    }
  }
  return given;
}

void
start_logging(const settings& config) {
  google::InitGoogleLogging("nutmegspur");
  FLAGS_logtostderr = config.log_directory.empty();
  FLAGS_log_dir = config.log_directory;
  FLAGS_log_prefix = true;
  if (config.log_level == "warning") {
    FLAGS_minloglevel = google::GLOG_WARNING;
  } else if (config.log_level == "error") {
    FLAGS_minloglevel = google::GLOG_ERROR;
  }
}

sigset_t
stop_signals() {
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  return set;
}

/// Body of the signal thread: waits for stop signals until `stopping` is set.
void
watch_signals(daemon_process& daemon, const std::atomic<bool>& stopping) {
  const sigset_t set = stop_signals();
  constexpr timespec poll_period{0, 100'000'000};
  while (!stopping.load()) {
    if (sigtimedwait(&set, nullptr, &poll_period) > 0) {
      daemon.request_stop();
    }
  }
}

std::uint64_t
random_seed() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

exit_status
run_daemon(const settings& config) {
  auto instance_node = node::make(config, random_seed());
  if (!instance_node) {
    log(log_event::settings_rejected, instance_node.error());
    return exit_status::usage;
  }
  // Blocked before any thread starts, so that only the signal thread receives them.
  const sigset_t set = stop_signals();
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
  std::signal(SIGPIPE, SIG_IGN);

  int argc = 1;
  std::string name = "nutmegspur";
  std::array<char*, 2> argv{name.data(), nullptr};
  QCoreApplication app{argc, argv.data()};

  daemon_process daemon{config, std::move(*instance_node)};
  auto started = daemon.start([&app] {
    QMetaObject::invokeMethod(
        &app, [] { QCoreApplication::quit(); }, Qt::QueuedConnection);
  });
  if (!started) {
    log(log_event::settings_rejected, started.error());
    daemon.join();
    return exit_status::failed;
  }
  log(log_event::process_started, {{"instance", config.instance.value},
                                   {"zone", config.zone.value},
                                   {"caller_port", std::to_string(config.caller_port)},
                                   {"operator_port", std::to_string(config.operator_port)},
                                   {"peer_port", std::to_string(config.peer_port)}});
  std::atomic<bool> stopping{false};
  std::thread signals{[&] { watch_signals(daemon, stopping); }};
  QCoreApplication::exec();
  stopping.store(true);
  signals.join();
  daemon.join();
  log(log_event::process_stopped, {{"instance", config.instance.value}});
  return exit_status::ok;
}

} // namespace

exit_status
run_entry(std::span<const std::string> args) {
  cxxopts::Options options = describe_options();
  std::vector<const char*> argv{"nutmegspur entry"};
  for (const auto& it : args) {
    argv.push_back(it.c_str());
  }
  cxxopts::ParseResult parsed;
  try {
    parsed = options.parse(static_cast<int>(argv.size()), argv.data());
  } catch (const cxxopts::exceptions::exception& ec) {
    std::cerr << "nutmegspur entry: " << ec.what() << "; see --help\n";
    return exit_status::usage;
  }
  if (parsed.count("help") > 0) {
    std::cout << options.help();
    return exit_status::ok;
  }
  if (!parsed.unmatched().empty()) {
    std::cerr << "nutmegspur entry: '" << parsed.unmatched().front()
              << "' is not an option; see --help\n";
    return exit_status::usage;
  }
  const auto config = parse_settings(collect_settings(parsed));
  if (!config) {
    std::cerr << "nutmegspur entry: " << config.error().message << '\n';
    return exit_status::usage;
  }
  if (parsed.count("check") > 0) {
    std::cout << "settings are valid\n";
    return exit_status::ok;
  }
  start_logging(*config);
  return run_daemon(*config);
}

} // namespace nutmegspur
