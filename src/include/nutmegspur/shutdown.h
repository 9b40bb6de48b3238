/// \file shutdown.h
/// A graceful shutdown: readiness off, the balancer's lag waited out, live work finished, duties
/// released, then the end.
#pragma once

#include <nutmegspur/decision.h>

#include <cstddef>
#include <functional>
#include <string>

namespace nutmegspur {

/// How far a shutdown has come.
enum class shutdown_phase {
  serving,
  lagging,   ///< Not ready any more, but the balancer may still send work: it is served.
  draining,  ///< New work is refused as `not_run`; live work goes on to its end.
  releasing, ///< Duties are given up and usage is handed over.
  stopped,
};

template <> struct enum_names<shutdown_phase> {
  static constexpr std::array<enum_name<shutdown_phase>, 5> table{{
      {shutdown_phase::serving, "serving"},
      {shutdown_phase::lagging, "lagging"},
      {shutdown_phase::draining, "draining"},
      {shutdown_phase::releasing, "releasing"},
      {shutdown_phase::stopped, "stopped"},
  }};
};

/// Settings of a shutdown.
struct shutdown_options {
  /// How long the balancer may go on sending after readiness is off.
  milliseconds balancer_lag{2000};
  /// Longest wait for live work, counted from the end of the balancer's lag.
  seconds drain_limit{30};
  /// Longest wait for duties to be released.
  seconds release_limit{5};
};

/// What a shutdown works with.
struct shutdown_dependencies {
  /// Requests and claims that have not ended.
  std::function<std::size_t()> live_work;
  /// From now on new work is refused.
  std::function<void()> close;
  /// Begins to give up leases and hand over usage; called once.
  std::function<void(const moment&, action_list&)> release;
  /// Duties that are not yet released.
  std::function<std::size_t()> unreleased_duties;
};

/// The shutdown of one instance. A decision part (duty::shutdown).
class shutdown {
 public:
  shutdown(shutdown_options options, shutdown_dependencies dependencies);

  void step(const moment& now, const event& ev, action_list& out);

  [[nodiscard]] shutdown_phase phase() const { return phase_; }

 private:
  void enter(const moment& now, shutdown_phase next, action_list& out);
  void advance(const moment& now, action_list& out);

  shutdown_options options_;
  shutdown_dependencies dependencies_;
  shutdown_phase phase_ = shutdown_phase::serving;
  time_point phase_began_; ///< When this phase began.
};

} // namespace nutmegspur
