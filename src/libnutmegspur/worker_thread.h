/// \file worker_thread.h
/// One worker on its own thread, with the two rings that join it to the decision thread.
#pragma once

#include <nutmegspur/kernel.h>
#include <nutmegspur/ring.h>

#include <QObject>
#include <QThread>

#include <atomic>
#include <memory>
#include <string>

namespace nutmegspur::pvt {

/// Starts, feeds and ends a worker. `push` is called by the decision thread only.
class worker_thread {
 public:
  /// Items that a ring holds in each direction.
  static constexpr std::size_t ring_capacity = 16'384;

  worker_thread(worker_kind kind, std::string plugin, const worker_context& context);
  worker_thread(const worker_thread&) = delete;
  worker_thread& operator=(const worker_thread&) = delete;
  ~worker_thread();

  /// Makes and starts the worker on its thread and waits for the verdict. `wake` is called after
  /// each event that the worker hands over.
  result<void> start(std::function<void()> wake);
  /// Hands over an action; false if the ring is full.
  bool push(const action& what);

  /// The oldest event of the worker; false if there is none.
  bool pop(event& ev) { return events_.try_pop(ev); }

  /// Stops the worker and ends the thread.
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
  /// Lives on `thread_`; calls posted to it run there.
  std::unique_ptr<QObject> inbox_;
  /// Touched on `thread_` only.
  std::unique_ptr<duty_worker> worker_;
  /// Set while a call of `drain` is posted and has not begun.
  std::atomic<bool> drain_posted_{false};
};

} // namespace nutmegspur::pvt
