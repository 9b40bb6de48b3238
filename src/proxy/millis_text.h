/// \file millis_text.h
/// Formats durations as whole milliseconds for log lines.
#pragma once

#include <nutmegspur/clock.h>

#include <cstdint>
#include <string>

namespace nutmegspur::proxy {

inline double
to_millis(duration time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

inline std::string
rounded(double millis) {
  return std::to_string(static_cast<std::int64_t>(millis));
}

} // namespace nutmegspur::proxy
