// Graceful shutdown.
#include <nutmegspur/event_log.h>
#include <nutmegspur/mechanisms.h>
#include <nutmegspur/shutdown.h>

namespace nutmegspur {

shutdown::shutdown(shutdown_options options, shutdown_needs needs)
    : options_(options), needs_(std::move(needs)) {}

void
shutdown::step(const moment& now, const event& ev, action_list& out) {
  if (std::holds_alternative<stop_requested>(ev) && at_ == shutdown_phase::serving) {
    out.emplace_back(set_ready{false, "stopping"});
    enter(now, shutdown_phase::lagging, out);
  }
  if (at_ != shutdown_phase::serving && at_ != shutdown_phase::stopped) {
    advance(now, out);
  }
}

void
shutdown::enter(const moment& now, shutdown_phase next, action_list& out) {
  at_ = next;
  since_ = now.boot;
  out.emplace_back(write_log{
      log_event::process_stopping,
      {{"phase", std::string{to_name(next)}}, {"live", std::to_string(needs_.live_work())}}});
}

// Goes through as many phases as are over.
void
shutdown::advance(const moment& now, action_list& out) {
  const bool waits = enabled(mechanism::shutdown_waits);
  if (at_ == shutdown_phase::lagging && (!waits || now.boot >= since_ + options_.balancer_lag)) {
    needs_.close();
    enter(now, shutdown_phase::draining, out);
  }
  if (at_ == shutdown_phase::draining &&
      (!waits || needs_.live_work() == 0 || now.boot >= since_ + options_.drain_limit)) {
    enter(now, shutdown_phase::releasing, out);
    needs_.release(now, out);
  }
  if (at_ == shutdown_phase::releasing &&
      (needs_.unreleased() == 0 || now.boot >= since_ + options_.release_limit)) {
    at_ = shutdown_phase::stopped;
    out.emplace_back(exit_process{});
  }
}

} // namespace nutmegspur
