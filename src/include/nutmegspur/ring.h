/// \file ring.h
/// A bounded single-producer single-consumer ring between two duty threads.
///
/// A full ring refuses at once and counts the refusal; it never blocks and never grows.
#pragma once

#include <readerwriterqueue/readerwritercircularbuffer.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <utility>

namespace nutmegspur {

/// One producer thread calls `try_push`, one consumer thread calls `try_pop`.
template <class T> class bounded_ring {
 public:
  explicit bounded_ring(std::size_t capacity) : queue_(capacity) {}

  /// Called on the producer's thread after each push, to wake the consumer. Set before use.
  void set_wake(std::function<void()> wake) { wake_ = std::move(wake); }

  /// Moves `item` in, or returns false and counts the refusal if the ring is full.
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

  /// Moves the oldest item into `item`; false if the ring is empty.
  bool try_pop(T& item) { return queue_.try_dequeue(item); }

  /// Items waiting, roughly.
  [[nodiscard]] std::size_t size() const { return queue_.size_approx(); }

  /// How many pushes were refused because the ring was full.
  [[nodiscard]] std::uint64_t refused() const { return refused_.load(std::memory_order_relaxed); }

 private:
  moodycamel::BlockingReaderWriterCircularBuffer<T> queue_;
  std::function<void()> wake_;
  std::atomic<std::uint64_t> refused_{0};
};

} // namespace nutmegspur
