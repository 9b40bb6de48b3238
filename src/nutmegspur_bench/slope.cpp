// Least-squares fit, and measurement of processor time and heap.
#include "slope.h"

#include <malloc.h>

#include <algorithm>
#include <cstdio>
#include <ctime>

namespace nutmegspur::bench {

line_fit
fit(const std::vector<point>& points) {
  const auto n = static_cast<double>(points.size());
  double x = 0;
  double y = 0;
  for (const auto& it : points) {
    x += it.x / n;
    y += it.y / n;
  }
  double xx = 0;
  double xy = 0;
  double yy = 0;
  for (const auto& it : points) {
    xx += (it.x - x) * (it.x - x);
    xy += (it.x - x) * (it.y - y);
    yy += (it.y - y) * (it.y - y);
  }
  line_fit line;
  line.slope = xx == 0 ? 0 : xy / xx;
  line.base = y - line.slope * x;
  line.r_squared = xx == 0 || yy == 0 ? 1 : xy * xy / (xx * yy);
  return line;
}

void
print_slope(const std::string& quantity, const std::string& unit, const std::string& size,
            const std::vector<point>& points) {
  std::printf("%s [%s] over %s:", quantity.c_str(), unit.c_str(), size.c_str());
  for (const auto& it : points) {
    std::printf(" (%g, %.4g)", it.x, it.y);
  }
  const line_fit line = fit(points);
  std::printf("; fit %.4g + %.4g x, r2 %.3f\n", line.base, line.slope, line.r_squared);
  std::fflush(stdout);
}

double
cpu_seconds() {
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) * 1e-9;
}

double
heap_bytes() {
  const auto info = mallinfo2();
  return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

double
min_cpu_seconds(const std::function<void()>& run) {
  double min_seconds = 0;
  for (int n = 0; n < 3; ++n) {
    const double before = cpu_seconds();
    run();
    const double spent = cpu_seconds() - before;
    min_seconds = n == 0 ? spent : std::min(min_seconds, spent);
  }
  return min_seconds;
}

} // namespace nutmegspur::bench
