/// \file timer_service.h
/// One-shot and periodic timers with callbacks.
///
/// The service reads no clock: its owner calls `run_due(now)` and sleeps until `next_due()`. This
/// allows tests to run it with a manual clock.
#pragma once

#include <nutmegspur/clock.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>

namespace nutmegspur {

/// Identifies a timer. Zero means "none".
struct timer_id {
  std::uint64_t value = 0;

  auto operator<=>(const timer_id&) const = default;
};

/// Timers in the order of their due times; equal ones run in the order in which they were added.
class timer_service {
 public:
  using callback = std::function<void(const moment&)>;

  /// Adds a timer that calls `run` once, at or after `due`.
  timer_id once(time_point due, callback run);
  /// Adds a timer that calls `run` every `period`, starting at `first`. Missed periods are skipped.
  timer_id every(time_point first, duration period, callback run);
  /// Cancels a timer. Unknown and finished ids are ignored.
  void cancel(timer_id id);
  /// Runs all timers that are due at `now` and returns their number.
  std::size_t run_due(const moment& now);
  /// Due time of the next timer, if there is one.
  [[nodiscard]] std::optional<time_point> next_due() const;

 private:
  struct entry {
    callback run;
    duration period{0}; ///< Zero for a one-shot timer.
  };

  using due_key = std::pair<time_point, std::uint64_t>;

  timer_id add(time_point due, duration period, callback run);

  // Invariant: due_ and due_by_id_ contain the same timers.
  std::map<due_key, entry> due_;
  std::unordered_map<std::uint64_t, due_key> due_by_id_;
  std::uint64_t last_id_ = 0;
};

} // namespace nutmegspur
