/// \file clock.h
/// Time types. The decision core never reads a clock: the current time is passed in with each
/// event.
///
/// `moment` holds the boot time and the wall-clock time. Deadlines, leases and timeouts use `boot`,
/// which keeps counting while the machine is suspended; usage windows use `wall`.
#pragma once

#include <chrono>
#include <concepts>

namespace nutmegspur {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// CLOCK_BOOTTIME: monotonic, and keeps running while the machine is suspended.
struct boot_clock {
  using duration = microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<boot_clock>;
  static constexpr bool is_steady = true;

  static time_point now();
};

/// A time span, in microseconds.
using duration = microseconds;
/// A point on the boot clock.
using time_point = boot_clock::time_point;
/// A point on the wall clock (UTC), in microseconds.
using wall_time = std::chrono::time_point<std::chrono::system_clock, microseconds>;

/// One reading of the boot clock and the wall clock.
struct moment {
  time_point boot;
  wall_time wall;

  /// The moment that is `length` later.
  [[nodiscard]] moment after(duration length) const { return {boot + length, wall + length}; }
};

/// A source of the current time.
template <class C>
concept clock_source = requires(C clock) {
  { clock.now() } -> std::same_as<moment>;
};

/// Reads the clocks of the machine.
struct system_clock_source {
  static moment now();
};

/// A clock for tests that moves only by `advance`.
class manual_clock {
 public:
  [[nodiscard]] moment now() const { return now_; }

  void advance(duration length) { now_ = now_.after(length); }

 private:
  // Does not start at zero, so that a test notices when a zero time is taken for "not set".
  moment now_{time_point{seconds{1000}}, wall_time{seconds{1'800'000'000}}};
};

static_assert(clock_source<system_clock_source>);
static_assert(clock_source<manual_clock>);

} // namespace nutmegspur
