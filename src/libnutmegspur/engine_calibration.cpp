// Least squares with exponential decay, for the time to first token.
#include <nutmegspur/engine_calibration.h>

#include <algorithm>

namespace nutmegspur {

namespace {

/// Factor on the weight of all samples when a new one is added; the effective window is about 100
/// samples.
constexpr double decay_per_sample = 0.99;
/// Sum of sample weights below which the initial line is kept.
constexpr double min_weight = 12;
/// Bounds of the line, so that a few outliers cannot starve or flood an engine: 400 to 5 prompt
/// tokens per millisecond, and at most half a second of fixed time.
constexpr double min_millis_per_token = 0.0025;
constexpr double max_millis_per_token = 0.2;
constexpr double max_fixed_millis = 500;
/// Minimum variance of the token counts for fitting the slope, in tokens squared.
constexpr double min_token_variance = 250'000;

} // namespace

void
engine_calibration::add_sample(std::uint32_t tokens, double millis) {
  const double x = tokens;
  weight_ = weight_ * decay_per_sample + 1;
  sum_x_ = sum_x_ * decay_per_sample + x;
  sum_y_ = sum_y_ * decay_per_sample + millis;
  sum_xx_ = sum_xx_ * decay_per_sample + x * x;
  sum_xy_ = sum_xy_ * decay_per_sample + x * millis;
  if (weight_ < min_weight) {
    return;
  }
  const double mean_x = sum_x_ / weight_;
  const double mean_y = sum_y_ / weight_;
  const double variance = sum_xx_ / weight_ - mean_x * mean_x;
  if (variance >= min_token_variance) {
    const double millis_per_token = (sum_xy_ / weight_ - mean_x * mean_y) / variance;
    millis_per_token_ = std::clamp(millis_per_token, min_millis_per_token, max_millis_per_token);
  }
  fixed_millis_ = std::clamp(mean_y - millis_per_token_ * mean_x, 0.0, max_fixed_millis);
}

} // namespace nutmegspur
