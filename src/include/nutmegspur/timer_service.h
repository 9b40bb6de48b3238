/// \file timer_service.h
/// The timer service: parts subscribe to a time and are called when it has come.
///
/// It reads no clock. Its owner calls `run_due(now)` and sleeps until `next_due()`, so the same
/// service runs in the daemon and under a manual clock.
#pragma once

#include <nutmegspur/clock.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>

namespace nutmegspur {

/// Names a subscription. Zero is none.
struct timer_id {
  std::uint64_t value = 0;

  auto operator<=>(const timer_id&) const = default;
};

/// Timers in due order; those due at the same time run in the order of subscription.
class timer_service {
 public:
  using callback = std::function<void(const moment&)>;

  /// Calls `run` once, at or after `due`.
  timer_id once(time_point due, callback run);
  /// Calls `run` every `period`, first at `first`. Missed periods are not made up for.
  timer_id every(time_point first, duration period, callback run);
  /// Ends a subscription. Unknown and finished ids are ignored.
  void cancel(timer_id id);
  /// Calls everything due at `now`; returns how many were called.
  std::size_t run_due(const moment& now);
  /// When the next timer is due, if there is one.
  [[nodiscard]] std::optional<time_point> next_due() const;

 private:
  struct entry {
    callback run;
    duration period{0}; ///< Zero for a one-time timer.
  };

  using due_key = std::pair<time_point, std::uint64_t>;

  timer_id add(time_point due, duration period, callback run);

  // Invariant: due_ and due_by_id_ hold the same subscriptions.
  std::map<due_key, entry> due_;
  std::unordered_map<std::uint64_t, due_key> due_by_id_;
  std::uint64_t last_id_ = 0;
};

} // namespace nutmegspur
