/// \file shutdown.h
/// Graceful shutdown: reports "not ready", waits until the load balancer has noticed, lets live
/// work finish, releases duties and then ends the process.
#pragma once

#include <nutmegspur/decision.h>

#include <cstddef>
#include <functional>
#include <string>

namespace nutmegspur {

/// The phases of a shutdown.
enum class shutdown_phase {
  serving,
  lagging,   ///< Reports "not ready"; still serves new work that the load balancer sends.
  draining,  ///< Refuses new work as `not_run`; live work continues to its end.
  releasing, ///< Releases duties and hands over usage.
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
  /// How long the balancer may continue to send work after "not ready" is reported.
  milliseconds balancer_lag{2000};
  /// Maximum wait for live work, from the end of `balancer_lag`.
  seconds drain_limit{30};
  /// Maximum wait for duties to be released.
  seconds release_limit{5};
};

/// Functions through which a shutdown reaches the other parts of the node.
struct shutdown_dependencies {
  /// Number of requests and claims that have not ended.
  std::function<std::size_t()> live_work;
  /// Starts to refuse new work.
  std::function<void()> close;
  /// Gives each request that is left the final response that is true now. Called at most once, when
  /// the wait for live work ends before the work does.
  std::function<void(const moment&, action_list&)> fail_live;
  /// Starts to release leases and hand over usage. Called once.
  std::function<void(const moment&, action_list&)> release;
  /// Number of duties that have not been released.
  std::function<std::size_t()> unreleased_duties;
};

/// The shutdown of one instance. A part of the decision core (`duty::shutdown`).
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
  time_point phase_began_; ///< Start of the current phase.
};

} // namespace nutmegspur
