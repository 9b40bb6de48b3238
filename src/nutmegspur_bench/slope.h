/// \file slope.h
/// Measured points and their least-squares line; measurement of processor time and heap.
#pragma once

#include <functional>
#include <string>
#include <vector>

namespace nutmegspur::bench {

/// One measurement: `y` at size `x`.
struct point {
  double x = 0;
  double y = 0;
};

/// The line y = base + slope * x, and the share of the variance that it explains (0..1).
struct line_fit {
  double base = 0;
  double slope = 0;
  double r_squared = 0;
};

/// Returns the least-squares line of at least two points.
line_fit fit(const std::vector<point>& points);

/// Prints "<quantity> [<unit>] over <size>: <points>; fit <line>" on one line.
void print_slope(const std::string& quantity, const std::string& unit, const std::string& size,
                 const std::vector<point>& points);

/// Returns the processor time of this thread, in seconds.
double cpu_seconds();

/// Returns the bytes in use on the heap.
double heap_bytes();

/// Returns the processor seconds of `run`, the minimum of three runs.
double min_cpu_seconds(const std::function<void()>& run);

} // namespace nutmegspur::bench
