// Least squares with forgetting, for the time to the first token.
#include <nutmegspur/engine_calibration.h>

#include <algorithm>

namespace nutmegspur {

namespace {

/// What remains of a sample's weight when the next one comes: about the last hundred count.
constexpr double forgetting = 0.99;
/// Samples before the line is believed.
constexpr double least_weight = 12;
/// Bounds of the line, so that a few strange samples cannot stop or flood an engine: 400 to 5
/// prompt tokens a millisecond, and half a second of fixed time.
constexpr double least_slope = 0.0025;
constexpr double most_slope = 0.2;
constexpr double most_fixed = 500;
/// Spread of the token counts below which the slope is not determined, in tokens squared.
constexpr double least_variance = 250'000;

} // namespace

void
engine_calibration::learn(std::uint32_t tokens, double millis) {
  const double x = tokens;
  weight_ = weight_ * forgetting + 1;
  sum_x_ = sum_x_ * forgetting + x;
  sum_y_ = sum_y_ * forgetting + millis;
  sum_xx_ = sum_xx_ * forgetting + x * x;
  sum_xy_ = sum_xy_ * forgetting + x * millis;
  if (weight_ < least_weight) {
    return;
  }
  const double mean_x = sum_x_ / weight_;
  const double mean_y = sum_y_ / weight_;
  const double variance = sum_xx_ / weight_ - mean_x * mean_x;
  if (variance >= least_variance) {
    const double slope = (sum_xy_ / weight_ - mean_x * mean_y) / variance;
    slope_ = std::clamp(slope, least_slope, most_slope);
  }
  fixed_ = std::clamp(mean_y - slope_ * mean_x, 0.0, most_fixed);
}

} // namespace nutmegspur
