/// \file engine_calibration.h
/// The time that an engine of a service takes to its first token, learnt from what streams show: a
/// straight line over the prompt tokens to be read, fitted by least squares with exponential
/// forgetting.
#pragma once

#include <cstdint>

namespace nutmegspur {

/// A line: milliseconds to the first token over prompt tokens that are read.
struct prefill_time_line {
  double millis_per_token = 0; ///< Milliseconds for a token.
  double fixed_millis = 0;     ///< Milliseconds.
};

/// The fitted line of one service's engines.
class engine_calibration {
 public:
  /// Until enough was measured, `guess` stands.
  explicit engine_calibration(const prefill_time_line& initial)
      : millis_per_token_(initial.millis_per_token), fixed_millis_(initial.fixed_millis) {}

  /// Learns from an engine that had nothing to read before: `tokens` read, `millis` to the first
  /// token.
  void add_sample(std::uint32_t tokens, double millis);

  /// Time to read `tokens`, in milliseconds, without the fixed part.
  [[nodiscard]] double prefill_millis(std::uint32_t tokens) const {
    return millis_per_token_ * tokens;
  }

  /// The fixed part of the time to the first token, in milliseconds.
  [[nodiscard]] double fixed_millis() const { return fixed_millis_; }

 private:
  double millis_per_token_;
  double fixed_millis_;
  // Decayed sums of weight, x, y, x*x and x*y.
  double weight_ = 0;
  double sum_x_ = 0;
  double sum_y_ = 0;
  double sum_xx_ = 0;
  double sum_xy_ = 0;
};

} // namespace nutmegspur
