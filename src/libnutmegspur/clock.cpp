// Reads the boot clock and the wall clock of the machine.
#include <nutmegspur/clock.h>

#include <time.h>

namespace nutmegspur {

boot_clock::time_point
boot_clock::now() {
  timespec ts{};
  clock_gettime(CLOCK_BOOTTIME, &ts);
  const auto since_boot = std::chrono::seconds{ts.tv_sec} + std::chrono::nanoseconds{ts.tv_nsec};
  return time_point{std::chrono::duration_cast<duration>(since_boot)};
}

moment
system_clock_source::now() {
  const auto wall = std::chrono::system_clock::now();
  return {boot_clock::now(), std::chrono::time_point_cast<microseconds>(wall)};
}

} // namespace nutmegspur
