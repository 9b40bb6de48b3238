// The decision thread of one entry instance, and the connection to its workers' threads.
#include "worker_thread.h"

#include <nutmegspur/daemon.h>
#include <nutmegspur/event_log.h>
#include <nutmegspur/unsent_responses.h>

#include <array>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace nutmegspur {

namespace {

/// Maximum number of events taken from one worker before the next worker's turn.
constexpr int max_events_per_turn = 64;

std::string
plugin_name(worker_kind kind, const settings& config) {
  switch (kind) {
  case worker_kind::caller:
    return "caller/openai_http";
  case worker_kind::upstream:
    return "upstream/http_streams";
  case worker_kind::engine_control:
    return "engine_control/engine_http";
  case worker_kind::operators:
    return "operators/resource_http";
  case worker_kind::peers:
    return "peers/tcp_msgpack";
  case worker_kind::platform:
    return "platform/" + config.platform_plugin;
  }
  return "";
}

void
write_log_line(const write_log& it) {
  std::vector<log_field> fields;
  fields.reserve(it.fields.size());
  for (const auto& [key, value] : it.fields) {
    fields.push_back({key, value});
  }
  log(it.number, std::span<const log_field>{fields});
}

} // namespace

struct daemon_process::impl {
  settings config;
  std::unique_ptr<node> decisions;
  metric_registry metrics;
  worker_context context{config, metrics};
  std::vector<std::unique_ptr<pvt::worker_thread>> workers;
  std::function<void()> on_stopped;
  std::thread decision_thread;
  std::atomic<bool> stop_flag{false};
  std::atomic<bool> exiting{false};
  std::mutex wake_mutex;
  std::condition_variable wake;
  bool wake_pending = false; ///< Guarded by `wake_mutex`.
  /// Accessed by the decision thread only.
  bool stopped = false;
  unsent_responses unsent;

  impl(const settings& given, std::unique_ptr<node> node_made)
      : config(given), decisions(std::move(node_made)) {}

  void notify();
  void run();
  bool take_events();
  void step_node(const event& ev);
  void carry_out(const action& what, const moment& now);
  void handle_full_ring(const action& what, const moment& now);
  void retry_responses();
  pvt::worker_thread* worker(worker_kind kind);
};

void
daemon_process::impl::notify() {
  {
    const std::lock_guard lock{wake_mutex};
    wake_pending = true;
  }
  wake.notify_one();
}

pvt::worker_thread*
daemon_process::impl::worker(worker_kind kind) {
  for (const auto& it : workers) {
    if (it->kind() == kind) {
      return it.get();
    }
  }
  return nullptr;
}

void
daemon_process::impl::run() {
  gauge& step_micros = metrics.get_gauge("nutmegspur_decision_busy_micros");
  time_point next_tick = boot_clock::now();
  bool stop_delivered = false;
  while (!exiting.load()) {
    if (stop_flag.load() && !stop_delivered) {
      stop_delivered = true;
      step_node(stop_requested{});
    }
    const time_point before = boot_clock::now();
    if (before >= next_tick) {
      step_node(tick{});
      retry_responses();
      next_tick = before + tick_period;
    }
    const bool busy = take_events();
    step_micros.add((boot_clock::now() - before).count());
    if (busy) {
      continue;
    }
    std::unique_lock lock{wake_mutex};
    wake.wait_for(lock, std::max<duration>(next_tick - boot_clock::now(), duration{0}),
                  [this] { return wake_pending; });
    wake_pending = false;
  }
}

bool
daemon_process::impl::take_events() {
  bool any = false;
  for (const auto& it : workers) {
    event ev;
    for (int n = 0; n < max_events_per_turn && it->pop(ev); ++n) {
      any = true;
      step_node(ev);
    }
  }
  return any;
}

void
daemon_process::impl::step_node(const event& ev) {
  const moment now = system_clock_source::now();
  for (const auto& what : decisions->step(now, ev)) {
    carry_out(what, now);
  }
}

void
daemon_process::impl::carry_out(const action& what, const moment& now) {
  if (const auto* it = std::get_if<write_log>(&what)) {
    write_log_line(*it);
    return;
  }
  if (std::holds_alternative<exit_process>(what)) {
    if (!stopped) {
      stopped = true;
      on_stopped();
    }
    return;
  }
  if (unsent.suppresses(what)) {
    return;
  }
  const auto kind = worker_for(what);
  if (!kind) {
    for (const auto& it : workers) {
      it->push(what);
    }
    return;
  }
  pvt::worker_thread* to = worker(*kind);
  if (to != nullptr && !to->push(what)) {
    handle_full_ring(what, now);
  }
}

void
daemon_process::impl::handle_full_ring(const action& what, const moment& now) {
  log(log_event::ring_full, {{"worker", std::string{to_name(*worker_for(what))}}});
  if (const auto response = overflow_response(what)) {
    unsent.keep(*response);
  }
  if (const auto ev = overflow_event(what, now)) {
    step_node(*ev);
  }
}

void
daemon_process::impl::retry_responses() {
  pvt::worker_thread* to = worker(worker_kind::caller);
  if (to != nullptr) {
    unsent.flush([to](const action& what) { return to->push(what); });
  }
}

daemon_process::daemon_process(const settings& config, std::unique_ptr<node> decisions)
    : impl_(std::make_unique<impl>(config, std::move(decisions))) {}

daemon_process::~daemon_process() {
  join();
}

result<void>
daemon_process::start(std::function<void()> on_stopped) {
  impl_->on_stopped = std::move(on_stopped);
  for (const auto& row : enum_names<worker_kind>::table) {
    impl_->workers.push_back(std::make_unique<pvt::worker_thread>(
        row.value, plugin_name(row.value, impl_->config), impl_->context));
    auto started = impl_->workers.back()->start([this] { impl_->notify(); });
    if (!started) {
      return started;
    }
  }
  impl_->decision_thread = std::thread{[this] { impl_->run(); }};
  return {};
}

void
daemon_process::request_stop() {
  impl_->stop_flag.store(true);
  impl_->notify();
}

void
daemon_process::join() {
  impl_->exiting.store(true);
  impl_->notify();
  if (impl_->decision_thread.joinable()) {
    impl_->decision_thread.join();
  }
  for (const auto& it : impl_->workers) {
    it->stop();
  }
}

} // namespace nutmegspur
