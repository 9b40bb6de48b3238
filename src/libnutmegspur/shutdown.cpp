// The phases of a graceful shutdown.
#include <nutmegspur/event_log.h>
#include <nutmegspur/mechanisms.h>
#include <nutmegspur/shutdown.h>

namespace nutmegspur {

shutdown::shutdown(shutdown_options options, shutdown_dependencies dependencies)
    : options_(options), dependencies_(std::move(dependencies)) {}

void
shutdown::step(const moment& now, const event& ev, action_list& out) {
  if (std::holds_alternative<stop_requested>(ev) && phase_ == shutdown_phase::serving) {
    out.emplace_back(set_ready{false, "stopping"});
    enter(now, shutdown_phase::lagging, out);
  }
  if (phase_ != shutdown_phase::serving && phase_ != shutdown_phase::stopped) {
    advance(now, out);
  }
}

void
shutdown::enter(const moment& now, shutdown_phase next, action_list& out) {
  phase_ = next;
  phase_began_ = now.boot;
  out.emplace_back(write_log{log_event::process_stopping,
                             {{"phase", std::string{to_name(next)}},
                              {"live", std::to_string(dependencies_.live_work())}}});
}

// Ends every phase whose condition is met; one call may end several.
void
shutdown::advance(const moment& now, action_list& out) {
  const bool waits = enabled(mechanism::shutdown_waits);
  if (phase_ == shutdown_phase::lagging &&
      (!waits || now.boot >= phase_began_ + options_.balancer_lag)) {
    dependencies_.close();
    enter(now, shutdown_phase::draining, out);
  }
  if (phase_ == shutdown_phase::draining && (!waits || dependencies_.live_work() == 0 ||
                                             now.boot >= phase_began_ + options_.drain_limit)) {
    if (dependencies_.live_work() != 0) {
      dependencies_.fail_live(now, out);
    }
    enter(now, shutdown_phase::releasing, out);
    dependencies_.release(now, out);
  }
  if (phase_ == shutdown_phase::releasing && (dependencies_.unreleased_duties() == 0 ||
                                              now.boot >= phase_began_ + options_.release_limit)) {
    phase_ = shutdown_phase::stopped;
    out.emplace_back(exit_process{});
  }
}

} // namespace nutmegspur
