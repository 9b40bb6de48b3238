/// \file engine_calibration.h
/// The time that an engine of a service takes to its first token, learnt from what streams show: a
/// straight line over the prompt tokens to be read, fitted by least squares with exponential
/// forgetting.
#pragma once

#include <cstdint>

namespace nutmegspur {

/// A line: milliseconds to the first token over prompt tokens that are read.
struct engine_line {
  double slope = 0; ///< Milliseconds for a token.
  double fixed = 0; ///< Milliseconds.
};

/// The fitted line of one service's engines.
class engine_calibration {
 public:
  /// Until enough was measured, `guess` stands.
  explicit engine_calibration(const engine_line& guess)
      : slope_(guess.slope), fixed_(guess.fixed) {}

  /// Learns from an engine that had nothing to read before: `tokens` read, `millis` to the first
  /// token.
  void learn(std::uint32_t tokens, double millis);

  /// Time to read `tokens`, in milliseconds, without the fixed part.
  [[nodiscard]] double read_millis(std::uint32_t tokens) const { return slope_ * tokens; }

  /// The fixed part of the time to the first token, in milliseconds.
  [[nodiscard]] double fixed_millis() const { return fixed_; }

 private:
  double slope_;
  double fixed_;
  // Decayed sums of weight, x, y, x*x and x*y.
  double weight_ = 0;
  double sum_x_ = 0;
  double sum_y_ = 0;
  double sum_xx_ = 0;
  double sum_xy_ = 0;
};

} // namespace nutmegspur
