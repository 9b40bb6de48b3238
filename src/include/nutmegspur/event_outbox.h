/// \file event_outbox.h
/// Events on their way from a worker to the decision thread, kept in order while its ring is full.
#pragma once

#include <nutmegspur/kernel.h>

#include <deque>
#include <utility>

namespace nutmegspur {

/// Holds what the ring refused. Its owner calls `flush` every few milliseconds while it is not
/// empty, and bounds it by refusing work once `size` has grown.
class event_outbox {
 public:
  void set_sink(event_sink sink) { sink_ = std::move(sink); }

  void post(event ev) {
    held_.push_back(std::move(ev));
    flush();
  }

  /// Hands over what the ring takes; true if nothing is held any more.
  bool flush() {
    // The sink does not move from an event that it refuses.
    while (sink_ && !held_.empty() && sink_(std::move(held_.front()))) {
      held_.pop_front();
    }
    return held_.empty();
  }

  [[nodiscard]] std::size_t size() const { return held_.size(); }

 private:
  event_sink sink_;
  std::deque<event> held_;
};

} // namespace nutmegspur
