/// \file log_writer.h
/// Writes log lines to standard output without ever waiting for it: lines are held in a bounded
/// buffer, each event has a rate, and what is left out is counted and told later.
#pragma once

#include <nutmegspur/clock.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace nutmegspur::proxy {

class log_writer {
 public:
  /// Most bytes held for a reader that has stopped reading.
  static constexpr std::size_t max_bytes = 256UL * 1024;
  /// Most lines of one event in a second: several for each request that an instance can carry.
  static constexpr std::uint32_t max_lines_per_second = 1'000;

  /// Makes `fd` non-blocking.
  explicit log_writer(int fd);

  /// Adds a line with its time; leaves it out if the buffer is full or its event's rate is reached.
  void add(wall_time when, std::string_view line);
  /// Writes what the system takes now.
  void flush();

  /// Lines left out since the last call, by event ("E504").
  std::map<std::string, std::uint64_t> take_dropped();

 private:
  struct event_rate {
    std::int64_t second = 0; ///< Unix time.
    std::uint32_t lines = 0; ///< Written in that second.
    std::uint64_t dropped = 0;
  };

  int fd_;
  std::string buffer_;
  std::map<std::string, event_rate, std::less<>> rates_;
};

} // namespace nutmegspur::proxy
