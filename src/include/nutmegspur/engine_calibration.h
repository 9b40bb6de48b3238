/// \file engine_calibration.h
/// Estimates the time to first token of a service's engines from observed streams: a straight line
/// over the number of prefilled prompt tokens, fitted by least squares with exponential decay of
/// old samples.
#pragma once

#include <cstdint>

namespace nutmegspur {

/// Time to first token as a linear function of the number of prefilled prompt tokens.
struct prefill_time_line {
  double millis_per_token = 0;
  double fixed_millis = 0; ///< Independent of the number of tokens.
};

/// The fitted line for the engines of one service.
class engine_calibration {
 public:
  /// `initial` is used until there are enough samples.
  explicit engine_calibration(const prefill_time_line& initial)
      : millis_per_token_(initial.millis_per_token), fixed_millis_(initial.fixed_millis) {}

  /// Adds a sample from an engine with no prefill backlog: it prefilled `tokens` and sent the first
  /// token after `millis`.
  void add_sample(std::uint32_t tokens, double millis);

  /// Time to prefill `tokens`, without the fixed part.
  [[nodiscard]] double prefill_millis(std::uint32_t tokens) const {
    return millis_per_token_ * tokens;
  }

  /// The part of the time to first token that does not depend on the prompt.
  [[nodiscard]] double fixed_millis() const { return fixed_millis_; }

 private:
  double millis_per_token_;
  double fixed_millis_;
  // Decayed sums of the sample weights, x, y, x*x and x*y; x is tokens and y is milliseconds.
  double weight_ = 0;
  double sum_x_ = 0;
  double sum_y_ = 0;
  double sum_xx_ = 0;
  double sum_xy_ = 0;
};

} // namespace nutmegspur
