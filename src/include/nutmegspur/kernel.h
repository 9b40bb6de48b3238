/// \file kernel.h
/// The kernel's frame for duties: each duty is a worker on its own thread, a plug-in registered by
/// name, joined to the decision thread by two bounded rings.
///
/// A worker turns actions into I/O and I/O into events. It decides nothing that can be decided in
/// the core.
#pragma once

#include <nutmegspur/decision.h>
#include <nutmegspur/metrics.h>
#include <nutmegspur/plugin.h>
#include <nutmegspur/settings.h>

#include <functional>
#include <string_view>

namespace nutmegspur {

/// Hands an event to the decision thread. False: the ring is full and the event was not taken; the
/// worker must refuse the work behind it at once.
using event_sink = std::function<bool(event&&)>;

/// What a worker is built with. All references outlive it.
struct worker_context {
  const settings& config;
  metric_registry& metrics;
};

/// A duty's I/O. All calls come on the worker's own thread, which runs a Qt event loop.
class duty_worker {
 public:
  duty_worker() = default;
  duty_worker(const duty_worker&) = delete;
  duty_worker& operator=(const duty_worker&) = delete;
  virtual ~duty_worker() = default;

  /// Opens listeners and begins. An error ends the process with its text.
  virtual result<void> start(event_sink sink) = 0;
  /// Carries out one action meant for this duty; others are ignored.
  virtual void carry_out(const action& what) = 0;
  /// Closes listeners and connections.
  virtual void stop() = 0;
};

/// Which actions a worker is given.
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

/// The worker that carries out `what`; empty for those of the kernel itself (`set_ready`,
/// `exit_process`, `write_log`), which every worker also sees.
std::optional<worker_kind> worker_for(const action& what);

/// Workers register under "<kind>/<name>", for example "caller/openai_http".
using worker_registry = plugin_registry<duty_worker, const worker_context&>;

} // namespace nutmegspur
