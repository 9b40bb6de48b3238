/// \file slope.h
/// Measured points, their least-squares line, and the meters for processor time and heap.
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

/// y = base + slope * x, and how much of the variation it explains (0..1).
struct line_fit {
  double base = 0;
  double slope = 0;
  double r_squared = 0;
};

/// The least-squares line through at least two points.
line_fit fit(const std::vector<point>& points);

/// Prints "slope <what> [<unit>] over <size>: points and fit" on one line.
void print_slope(const std::string& quantity, const std::string& unit, const std::string& size,
                 const std::vector<point>& points);

/// Processor time of this thread, in seconds.
double cpu_seconds();

/// Bytes in use on the heap.
double heap_bytes();

/// Processor seconds that `run` takes, the least of three.
double min_cpu_seconds(const std::function<void()>& run);

} // namespace nutmegspur::bench
