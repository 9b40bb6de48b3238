/// \file event_outbox.h
/// Queues events from a worker to the decision thread, in order, while the ring buffer is full.
#pragma once

#include <nutmegspur/kernel.h>

#include <deque>
#include <utility>

namespace nutmegspur {

/// Holds the events that the ring buffer did not accept. Its owner calls `flush` every few
/// milliseconds while it is not empty, and bounds it by refusing new work when `size` grows.
class event_outbox {
 public:
  void set_sink(event_sink sink) { sink_ = std::move(sink); }

  void post(event ev) {
    pending_.push_back(std::move(ev));
    flush();
  }

  /// Passes on events until the ring buffer is full. Returns true if none is left.
  bool flush() {
    // The sink does not move from an event that it does not accept.
    while (sink_ && !pending_.empty() && sink_(std::move(pending_.front()))) {
      pending_.pop_front();
    }
    return pending_.empty();
  }

  [[nodiscard]] std::size_t size() const { return pending_.size(); }

 private:
  event_sink sink_;
  std::deque<event> pending_;
};

} // namespace nutmegspur
