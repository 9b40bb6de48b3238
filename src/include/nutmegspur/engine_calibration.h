/// \file engine_calibration.h
/// The time that an engine of a service takes to its first token, learnt from what streams show: a
/// straight line over the prompt tokens to be read, fitted by least squares with exponential
/// forgetting.
#pragma once

#include <cstdint>

namespace nutmegspur {

/// The fitted line of one service's engines.
class engine_calibration {
 public:
  /// Learns from an engine that had nothing to read before: `tokens` read, `millis` to the first
  /// token.
  void learn(std::uint32_t tokens, double millis);

  /// Time to read `tokens`, in milliseconds, without the fixed part.
  [[nodiscard]] double read_millis(std::uint32_t tokens) const { return slope_ * tokens; }

  /// The fixed part of the time to the first token, in milliseconds.
  [[nodiscard]] double fixed_millis() const { return fixed_; }

 private:
  /// Before anything was measured: 25 prompt tokens a millisecond, the pace of a 70-billion
  /// parameter model that reads prompts between tokens on one accelerator group.
  double slope_ = 0.04;
  double fixed_ = 60;
  // Decayed sums of weight, x, y, x*x and x*y.
  double weight_ = 0;
  double sum_x_ = 0;
  double sum_y_ = 0;
  double sum_xx_ = 0;
  double sum_xy_ = 0;
};

} // namespace nutmegspur
