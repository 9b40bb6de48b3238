/// \file clock.h
/// Time as the decision core sees it: a value passed in with each event, never read from a clock.
///
/// `moment` holds both readings that decisions need. Deadlines, leases and timeouts use `boot`,
/// which counts the time a machine was suspended; usage windows use `wall`.
#pragma once

#include <chrono>
#include <concepts>

namespace nutmegspur {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// The clock of CLOCK_BOOTTIME: monotonic, and running on while the machine is suspended.
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

/// One reading of both clocks.
struct moment {
  time_point boot;
  wall_time wall;

  /// The moment `span` later.
  [[nodiscard]] moment after(duration length) const { return {boot + length, wall + length}; }
};

/// Anything that can say what time it is.
template <class C>
concept clock_source = requires(C clock) {
  { clock.now() } -> std::same_as<moment>;
};

/// The machine's own clocks.
struct system_clock_source {
  static moment now();
};

/// A clock that a test moves by hand.
class manual_clock {
 public:
  [[nodiscard]] moment now() const { return now_; }

  void advance(duration length) { now_ = now_.after(length); }

 private:
  // Starts away from zero, so that "zero time" mistakes show.
  moment now_{time_point{seconds{1000}}, wall_time{seconds{1'800'000'000}}};
};

static_assert(clock_source<system_clock_source>);
static_assert(clock_source<manual_clock>);

} // namespace nutmegspur
