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
    pending_.push_back(std::move(ev));
    flush();
  }

  /// Hands over what the ring takes; true if nothing is held any more.
  bool flush() {
    // The sink does not move from an event that it refuses.
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
