// The proxy daemon: reads its settings, runs the event loop, and handles signals and changes of the
// settings file.
#include "proxy.h"

#include "log_writer.h"
#include "proxy_node.h"

#include <cxxopts.hpp>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

namespace nutmegspur {

namespace {

constexpr milliseconds log_flush_period{100};
/// The settings file may change without a signal; no setting needs to take effect sooner than this.
constexpr milliseconds settings_poll_period{2'000};

std::string
weights_help() {
  std::string text = "weights of placement, as name=value,...; names and defaults:";
  const placement_weights defaults;
  for (const auto& it : placement_weight_names()) {
    std::ostringstream value;
    value << defaults.*(it.member);
    text += " " + std::string{it.name} + "=" + value.str();
  }
  return text;
}

cxxopts::Options
describe_options() {
  cxxopts::Options options{"nutmegspur proxy",
                           "Routes requests by host and path on one entry instance.\n"
                           "The platform's adapter names the environment variable with the path "
                           "of its settings file.\n"};
  const placement_weights weights;
  const fleet_policy fleet;
  auto add = options.add_options();
  add("h,help", "show this help");
  add("check", "check the settings and exit: 0 if valid, 2 if not");
  add("platform", "adapter of the platform's wire format",
      cxxopts::value<std::string>()->default_value("fleet_http"));
  add("settings-file", "path of the settings file; overrides the adapter's environment variable",
      cxxopts::value<std::string>());
  add("refuse-past-objectives",
      "refuse a request whose first byte is expected later than this multiple of its target "
      "latency",
      cxxopts::value<double>()->default_value(std::to_string(weights.refuse_past_objectives)));
  add("on-demand-share", "on-demand upstreams of a zone, as a share of its maximum",
      cxxopts::value<double>()->default_value(std::to_string(fleet.on_demand_share)));
  add("fleet-share", "all upstreams of a zone, as a share of its maximum",
      cxxopts::value<double>()->default_value(std::to_string(fleet.total_share)));
  add("reader-share", "share of a zone's engines that only run prefill; 0 for none",
      cxxopts::value<double>()->default_value(
          std::to_string(proxy::proxy_options{}.prefill_share)));
  add("weights", weights_help(), cxxopts::value<std::string>()->default_value(""));
  return options;
}

result<std::string>
read_text(const std::string& path) {
  std::ifstream file{path};
  if (!file) {
    return fail({error_code::not_found, step::settings_parse, "",
                 "cannot read the settings file '" + path + "'"});
  }
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

/// Reloads the settings when their file has changed; SIGHUP forces a reload.
class settings_watcher {
 public:
  settings_watcher(std::string path, const wire_binding& wire, std::string text,
                   proxy::proxy_node& node)
      : path_(std::move(path)), wire_(wire), active_text_(std::move(text)), node_(node) {}

  /// Reads the file and applies it if its text has changed, or in any case with `force`.
  void check(bool force) {
    const auto text = read_text(path_);
    if (text && *text == active_text_ && !force) {
      return;
    }
    const auto settings =
        text ? wire_.parse_settings(*text) : result<proxy_settings>{tl::unexpected(text.error())};
    const std::string current = text ? *text : std::string{};
    if (!settings) {
      // Logged once for each change, since a file that is being replaced is missing only briefly.
      if (force || current != rejected_text_) {
        log(log_event::settings_rejected, settings.error());
      }
      rejected_text_ = current;
      return;
    }
    active_text_ = current;
    node_.reload(*settings);
  }

 private:
  std::string path_;
  const wire_binding& wire_;
  std::string active_text_; ///< Text of the settings in force.
  std::string rejected_text_;
  proxy::proxy_node& node_;
};

/// Checks that a share given as a flag lies in (0, 1].
result<void>
check_share(const char* flag, double value) {
  if (value > 0 && value <= 1) {
    return {};
  }
  return fail({error_code::invalid_argument, step::settings_parse, "",
               std::string{"--"} + flag + " must be greater than 0 and at most 1"});
}

exit_status
run_node(const std::string& path, const std::string& text, const wire_binding& wire,
         const proxy_settings& settings, const proxy::proxy_options& options) {
  std::signal(SIGPIPE, SIG_IGN);
  http1::event_loop loop;
  proxy::log_writer writer{STDOUT_FILENO};
  set_log_sink([&writer](severity, const std::string& line) {
    writer.add(http1::event_loop::now().wall, line);
  });
  loop.every(log_flush_period, [&writer](const moment&) {
    writer.flush();
    for (const auto& [event, n] : writer.take_dropped()) {
      log(log_event::log_dropped, {{"event", event}, {"lines", std::to_string(n)}});
    }
  });
  exit_status status = exit_status::ok;
  {
    proxy::proxy_node node{loop, wire, settings, options};
    loop.on_signal(SIGTERM, [&node] { node.stop(); });
    loop.on_signal(SIGINT, [&node] { node.stop(); });
    settings_watcher watcher{path, wire, text, node};
    loop.on_signal(SIGHUP, [&watcher] { watcher.check(true); });
    const timer_id poll =
        loop.every(settings_poll_period, [&watcher](const moment&) { watcher.check(false); });
    const auto started = node.start();
    if (started) {
      log(log_event::process_started, {{"instance", settings.instance.value},
                                       {"zone", settings.zone.value},
                                       {"callers", to_text(settings.caller_listen)},
                                       {"store", to_text(settings.store)}});
      loop.run();
    } else {
      log(log_event::settings_rejected, started.error());
      status = exit_status::failed;
    }
    loop.cancel(poll);
  }
  writer.flush();
  set_log_sink({});
  return status;
}

} // namespace

exit_status
run_proxy(std::span<const std::string> args) {
  cxxopts::Options options = describe_options();
  std::vector<const char*> argv{"nutmegspur proxy"};
  for (const auto& it : args) {
    argv.push_back(it.c_str());
  }
  const auto usage_error = [](const std::string& text) {
    std::cerr << "nutmegspur proxy: " << text << '\n';
    return exit_status::usage;
  };
  cxxopts::ParseResult parsed;
  proxy::proxy_options run_options;
  try {
    parsed = options.parse(static_cast<int>(argv.size()), argv.data());
    if (parsed.count("help") > 0) {
      std::cout << options.help();
      return exit_status::ok;
    }
    run_options.weights.refuse_past_objectives = parsed["refuse-past-objectives"].as<double>();
    run_options.fleet.on_demand_share = parsed["on-demand-share"].as<double>();
    run_options.fleet.total_share = parsed["fleet-share"].as<double>();
    run_options.prefill_share = parsed["reader-share"].as<double>();
  } catch (const cxxopts::exceptions::exception& ec) {
    return usage_error(std::string{ec.what()} + "; see --help");
  }
  for (const auto& checked : {set_weights(parsed["weights"].as<std::string>(), run_options.weights),
                              check_share("on-demand-share", run_options.fleet.on_demand_share),
                              check_share("fleet-share", run_options.fleet.total_share)}) {
    if (!checked) {
      return usage_error(checked.error().message);
    }
  }
  const auto wire = wire_registry::instance().make(parsed["platform"].as<std::string>());
  if (!wire) {
    return usage_error(wire.error().message);
  }
  const char* variable = std::getenv((*wire)->settings_variable().c_str());
  const std::string path = parsed.count("settings-file") > 0
                               ? parsed["settings-file"].as<std::string>()
                               : std::string{variable == nullptr ? "" : variable};
  const auto text = read_text(path);
  if (!text) {
    return usage_error(text.error().message);
  }
  const auto settings = (*wire)->parse_settings(*text);
  if (!settings) {
    return usage_error(settings.error().message);
  }
  if (parsed.count("check") > 0) {
    std::cout << "settings are valid\n";
    return exit_status::ok;
  }
  return run_node(path, *text, **wire, *settings, run_options);
}

} // namespace nutmegspur
