/// \file daemon.h
/// The daemon's threads: one per worker and one for decisions, connected by bounded ring buffers.
///
/// Only the decision thread accesses the node. If the ring buffer from a worker to the decision
/// thread is full, the worker refuses its work immediately. If the ring buffer to a worker is full,
/// `overflow_event` supplies the reply in place of the worker, so that no part of the core waits
/// for a reply that never arrives.
#pragma once

#include <nutmegspur/kernel.h>
#include <nutmegspur/node.h>

#include <memory>
#include <optional>

namespace nutmegspur {

/// The event that reports that `what` did not fit into its worker's ring buffer. Empty if the part
/// of the core that issued the action expects no event.
std::optional<event> overflow_event(const action& what, const moment& now);

/// The final response that a caller must still receive when `what`, a part of its response, did not
/// fit into the ring buffer. Empty for other actions. The daemon keeps it until it fits.
std::optional<action> overflow_response(const action& what);

/// Runs one entry instance. Requires a QCoreApplication whose event loop runs in the main thread.
class daemon_process {
 public:
  daemon_process(const settings& config, std::unique_ptr<node> decisions);
  daemon_process(const daemon_process&) = delete;
  daemon_process& operator=(const daemon_process&) = delete;
  ~daemon_process();

  /// Starts all workers, then the decision thread. `on_stopped` is called once, on the decision
  /// thread, when the node issues `exit_process`.
  result<void> start(std::function<void()> on_stopped);
  /// Requests a graceful shutdown. May be called from any thread.
  void request_stop();
  /// Ends all threads without waiting for live requests: the decision thread exits after its
  /// current round of events, and each worker executes the actions already in its ring buffer and
  /// stops.
  void join();

 private:
  struct impl;

  std::unique_ptr<impl> impl_;
};

} // namespace nutmegspur
