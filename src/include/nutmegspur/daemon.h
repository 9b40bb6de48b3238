/// \file daemon.h
/// The daemon's threads: one for each worker, one for decisions, joined by bounded rings.
///
/// The decision thread alone owns the node. A worker whose ring to the decision thread is full
/// refuses its work at once; an action that finds its worker's ring full is answered in the
/// worker's place by `overflow_event`, so that no part waits for an answer that never comes.
#pragma once

#include <nutmegspur/kernel.h>
#include <nutmegspur/node.h>

#include <memory>
#include <optional>

namespace nutmegspur {

/// The event that stands for an action that its worker's full ring did not take; empty where the
/// part that gave the action expects none.
std::optional<event> overflow_event(const action& what, const moment& now);

/// The final answer that a caller must still get where `what`, a part of its answer, did not fit
/// into the ring; empty for other actions. It is kept until the ring takes it.
std::optional<action> overflow_response(const action& what);

/// Runs one entry instance. Needs a QCoreApplication whose event loop runs in the main thread.
class daemon_process {
 public:
  daemon_process(const settings& config, std::unique_ptr<node> decisions);
  daemon_process(const daemon_process&) = delete;
  daemon_process& operator=(const daemon_process&) = delete;
  ~daemon_process();

  /// Starts all workers, then decisions. `on_stopped` is called once, on the decision thread, when
  /// the node has said `exit_process`.
  result<void> start(std::function<void()> on_stopped);
  /// Asks for a graceful stop; safe from any thread.
  void request_stop();
  /// Ends all threads; nothing is waited for beyond the action in progress.
  void join();

 private:
  struct impl;

  std::unique_ptr<impl> impl_;
};

} // namespace nutmegspur
