/// \file retry_budget.h
/// Limits retries to a share of new requests plus a small floor, so that retries do not overload a
/// failing fleet.
#pragma once

#include <nutmegspur/clock.h>

#include <algorithm>
#include <cstdint>

namespace nutmegspur {

/// How fast a bucket fills and how much it holds, in thousandths of a retry.
struct retry_allowance {
  std::int64_t per_request_milli = 100;       ///< Added by each new request.
  std::int64_t floor_milli_per_second = 1000; ///< Added each second, with or without requests.
  std::int64_t max_saved_milli = 20'000;      ///< Most that can be saved up.

  bool operator==(const retry_allowance&) const = default;
};

/// A bound that holds for all instances together, over a sliding window.
struct shared_retry_bound {
  double ratio = 0;        ///< Retries per new request.
  std::uint32_t floor = 0; ///< Retries in a window beyond the ratio.
  milliseconds window{10'000};
};

/// The part of `bound` for one of `instances`: each takes its share of the floor, spread over the
/// window, and adds retries for its own new requests only. Saved retries count against the floor,
/// so that a burst after a pause stays within it.
inline retry_allowance
instance_allowance(const shared_retry_bound& bound, std::size_t instances) {
  constexpr double milli = 1000;
  constexpr double millis_per_second = 1000;
  constexpr double safety_margin =
      0.8; // An observer's request counts and windows differ slightly from the instances'.
  const auto instance_count = static_cast<double>(std::max<std::size_t>(1, instances));
  const double floor = bound.floor * milli * safety_margin / instance_count;
  const double window_seconds = static_cast<double>(bound.window.count()) / millis_per_second;
  return {static_cast<std::int64_t>(bound.ratio * milli * safety_margin),
          static_cast<std::int64_t>(floor / 2 / window_seconds),
          std::max<std::int64_t>(static_cast<std::int64_t>(floor / 2), 1000)};
}

/// A token bucket of retries, filled by new requests and by time.
class retry_budget {
 public:
  retry_budget() = default;

  explicit retry_budget(const retry_allowance& allowance)
      : allowance_(allowance),
        saved_milli_(std::min(initial_saved_milli, allowance.max_saved_milli)) {}

  /// Changes the refill rates; saved retries stay, up to the new maximum.
  void set_allowance(const retry_allowance& allowance) {
    allowance_ = allowance;
    saved_milli_ = std::min(saved_milli_, allowance.max_saved_milli);
  }

  void on_new_request() {
    saved_milli_ =
        std::min(saved_milli_ + allowance_.per_request_milli, allowance_.max_saved_milli);
  }

  /// Takes one retry; false if none is left.
  bool take(const moment& now) {
    refill(now);
    if (saved_milli_ < one_retry_milli) {
      return false;
    }
    saved_milli_ -= one_retry_milli;
    return true;
  }

  /// Takes one retry for a request that can do without; false if that leaves less than half of what
  /// may be saved up to those that cannot.
  bool take_spare(const moment& now) {
    refill(now);
    return saved_milli_ - one_retry_milli >= allowance_.max_saved_milli / 2 && take(now);
  }

 private:
  static constexpr std::int64_t one_retry_milli = 1000;
  static constexpr std::int64_t micros_per_second = 1'000'000;

  void refill(const moment& now) {
    if (last_refill_.time_since_epoch().count() != 0) {
      const std::int64_t elapsed = std::max<std::int64_t>((now.boot - last_refill_).count(), 0);
      const std::int64_t capped = std::min(elapsed, allowance_.max_saved_milli * micros_per_second);
      saved_milli_ =
          std::min(saved_milli_ + capped * allowance_.floor_milli_per_second / micros_per_second,
                   allowance_.max_saved_milli);
    }
    last_refill_ = now.boot;
  }

  retry_allowance allowance_;
  static constexpr std::int64_t initial_saved_milli = 10 * one_retry_milli;
  std::int64_t saved_milli_ = initial_saved_milli;
  time_point last_refill_{};
};

} // namespace nutmegspur
