/// \file worker_thread.h
/// A worker on its own thread, with the two ring buffers between it and the decision thread.
#pragma once

#include <nutmegspur/kernel.h>
#include <nutmegspur/ring.h>

#include <QObject>
#include <QThread>

#include <atomic>
#include <memory>
#include <string>

namespace nutmegspur::pvt {

/// Starts a worker, passes actions to it and events from it, and stops it. Only the decision thread
/// calls `push` and `pop`.
class worker_thread {
 public:
  /// Capacity of each ring buffer.
  static constexpr std::size_t ring_capacity = 16'384;

  worker_thread(worker_kind kind, std::string plugin, const worker_context& context);
  worker_thread(const worker_thread&) = delete;
  worker_thread& operator=(const worker_thread&) = delete;
  ~worker_thread();

  /// Creates and starts the worker on its thread and waits for the result. `wake` is called after
  /// each event that the worker passes on.
  result<void> start(std::function<void()> wake);
  /// Passes an action to the worker. Returns false if the ring buffer is full.
  bool push(const action& what);

  /// Takes the oldest event of the worker. Returns false if there is none.
  bool pop(event& ev) { return events_.try_pop(ev); }

  /// Executes the actions in the ring buffer, stops the worker and ends the thread.
  void stop();

  [[nodiscard]] worker_kind kind() const { return kind_; }

 private:
  result<void> start_on_thread();
  void drain();

  worker_kind kind_;
  std::string plugin_;
  const worker_context& context_;
  counter& refused_actions_;
  counter& refused_events_;
  bounded_ring<action> actions_{ring_capacity};
  bounded_ring<event> events_{ring_capacity};
  QThread thread_;
  /// Belongs to `thread_`; calls posted to it run there.
  std::unique_ptr<QObject> inbox_;
  /// Accessed on `thread_` only.
  std::unique_ptr<duty_worker> worker_;
  /// True while a call of `drain` is posted and has not started.
  std::atomic<bool> drain_posted_{false};
};

} // namespace nutmegspur::pvt
