/// \file retry_budget.h
/// A bound on retries: a share of fresh work, with a small floor, so that a failing fleet is not
/// buried under repeats.
#pragma once

#include <nutmegspur/clock.h>

#include <algorithm>
#include <cstdint>

namespace nutmegspur {

/// A bucket of retries, filled by fresh work and by time.
class retry_budget {
 public:
  /// Retries earned by one fresh request, in thousandths.
  static constexpr std::int64_t earned_milli = 100;
  /// Retries a second that are always allowed, in thousandths.
  static constexpr std::int64_t floor_milli_per_second = 1000;
  /// Most that can be saved up, in thousandths.
  static constexpr std::int64_t most_milli = 20'000;

  void on_fresh() { saved_milli_ = std::min(saved_milli_ + earned_milli, most_milli); }

  /// Takes one retry, or says that there is none left.
  bool take(const moment& now) {
    refill(now);
    if (saved_milli_ < one_retry_milli) {
      return false;
    }
    saved_milli_ -= one_retry_milli;
    return true;
  }

 private:
  static constexpr std::int64_t one_retry_milli = 1000;
  static constexpr std::int64_t micros_per_second = 1'000'000;

  void refill(const moment& now) {
    if (last_.time_since_epoch().count() != 0) {
      const std::int64_t passed = std::max<std::int64_t>((now.boot - last_).count(), 0);
      const std::int64_t capped = std::min(passed, most_milli * micros_per_second);
      saved_milli_ =
          std::min(saved_milli_ + capped * floor_milli_per_second / micros_per_second, most_milli);
    }
    last_ = now.boot;
  }

  std::int64_t saved_milli_ = 10 * one_retry_milli;
  time_point last_{};
};

} // namespace nutmegspur
