/// \file kernel.h
/// The interface of workers, which do the I/O of an instance. A worker is a plug-in registered by
/// name; it runs on its own thread and exchanges events and actions with the decision thread
/// through two bounded ring buffers.
///
/// A worker turns actions into I/O and I/O into events. Wherever possible, decisions are made in
/// the decision core and not in a worker.
#pragma once

#include <nutmegspur/decision.h>
#include <nutmegspur/metrics.h>
#include <nutmegspur/plugin.h>
#include <nutmegspur/settings.h>

#include <functional>
#include <string_view>

namespace nutmegspur {

/// Passes an event to the decision thread. Returns false if the ring buffer is full; the event is
/// then left untouched, and the worker must immediately refuse the work that caused it.
using event_sink = std::function<bool(event&&)>;

/// What a worker is constructed from. All references outlive the worker.
struct worker_context {
  const settings& config;
  metric_registry& metrics;
};

/// The I/O of one kind of worker. All calls are made on the worker's own thread, which runs a Qt
/// event loop.
class duty_worker {
 public:
  duty_worker() = default;
  duty_worker(const duty_worker&) = delete;
  duty_worker& operator=(const duty_worker&) = delete;
  virtual ~duty_worker() = default;

  /// Opens listeners and starts work. If it returns an error, the process prints it and exits.
  virtual result<void> start(event_sink sink) = 0;
  /// Executes one action for this worker. Actions for other workers are ignored.
  virtual void carry_out(const action& what) = 0;
  /// Closes listeners and connections.
  virtual void stop() = 0;
};

/// The kinds of workers; the kind determines which actions a worker receives.
enum class worker_kind { caller, upstream, engine_control, operators, peers, platform };

template <> struct enum_names<worker_kind> {
  static constexpr std::array<enum_name<worker_kind>, 6> table{{
      {worker_kind::caller, "caller"},
      {worker_kind::upstream, "upstream"},
      {worker_kind::engine_control, "engine_control"},
      {worker_kind::operators, "operators"},
      {worker_kind::peers, "peers"},
      {worker_kind::platform, "platform"},
  }};
};

/// The kind of worker that executes `what`. Empty for `set_ready`, `exit_process` and `write_log`,
/// which belong to no single worker.
std::optional<worker_kind> worker_for(const action& what);

/// Workers register under "<kind>/<name>", for example "caller/openai_http".
using worker_registry = plugin_registry<duty_worker, const worker_context&>;

} // namespace nutmegspur
