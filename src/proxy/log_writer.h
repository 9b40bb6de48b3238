/// \file log_writer.h
/// Writes log lines to standard output without ever waiting for it: lines are held in a bounded
/// buffer, and what does not fit is counted and told later.
#pragma once

#include <nutmegspur/clock.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace nutmegspur::proxy {

class log_writer {
 public:
  /// Most bytes held for a reader that has stopped reading.
  static constexpr std::size_t most_bytes = 256UL * 1024;

  /// Makes `fd` non-blocking.
  explicit log_writer(int fd);

  /// Adds a line with its time; drops it if the buffer is full.
  void add(wall_time when, std::string_view line);
  /// Writes what the system takes now.
  void flush();

  /// Lines dropped since the last call.
  std::uint64_t take_dropped() { return std::exchange(dropped_, 0); }

 private:
  int fd_;
  std::string held_;
  std::uint64_t dropped_ = 0;
};

} // namespace nutmegspur::proxy
