/// \file ring.h
/// Bounded single-producer, single-consumer queue between two threads.
///
/// A push to a full ring fails immediately and is counted; the ring never blocks and never grows.
#pragma once

#include <readerwriterqueue/readerwritercircularbuffer.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <utility>

namespace nutmegspur {

/// Only one thread may call `try_push` and only one thread may call `try_pop`.
template <class T> class bounded_ring {
 public:
  explicit bounded_ring(std::size_t capacity) : queue_(capacity) {}

  /// Sets the function that wakes the consumer. It is called on the producer's thread after each
  /// successful push. Must be set before the ring is used.
  void set_wake(std::function<void()> wake) { wake_ = std::move(wake); }

  /// Moves `item` into the ring; if the ring is full, returns false and counts the rejection.
  bool try_push(T&& item) {
    if (!queue_.try_enqueue(std::move(item))) {
      refused_.fetch_add(1, std::memory_order_relaxed);
      return false;
    }
    if (wake_) {
      wake_();
    }
    return true;
  }

  /// Moves the oldest element to `item`; returns false if the ring is empty.
  bool try_pop(T& item) { return queue_.try_dequeue(item); }

  /// Approximate number of queued items.
  [[nodiscard]] std::size_t size() const { return queue_.size_approx(); }

  /// Number of pushes rejected because the ring was full.
  [[nodiscard]] std::uint64_t refused() const { return refused_.load(std::memory_order_relaxed); }

 private:
  moodycamel::BlockingReaderWriterCircularBuffer<T> queue_;
  std::function<void()> wake_;
  std::atomic<std::uint64_t> refused_{0};
};

} // namespace nutmegspur
