/// \file log_writer.h
/// Writes log lines to a file descriptor without blocking: lines are kept in a bounded buffer, each
/// event has a rate limit, and dropped lines are counted and reported later.
#pragma once

#include <nutmegspur/clock.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace nutmegspur::proxy {

class log_writer {
 public:
  /// Maximum size of the buffer, reached when the reader has stopped reading.
  static constexpr std::size_t max_bytes = 256UL * 1024;
  /// Maximum number of lines per second for each event; allows several for each request that an
  /// instance can serve.
  static constexpr std::uint32_t max_lines_per_second = 1'000;

  /// Makes `fd` non-blocking.
  explicit log_writer(int fd);

  /// Adds a line with its time; drops it if the buffer is full or its event's rate limit is
  /// reached.
  void add(wall_time when, std::string_view line);
  /// Writes as much as the descriptor accepts without blocking.
  void flush();

  /// Lines dropped since the last call, by event ("E504").
  std::map<std::string, std::uint64_t> take_dropped();

 private:
  struct event_rate {
    std::int64_t second = 0; ///< Unix time.
    std::uint32_t lines = 0; ///< Lines added in that second.
    std::uint64_t dropped = 0;
  };

  int fd_;
  std::string buffer_;
  std::map<std::string, event_rate, std::less<>> rates_;
};

} // namespace nutmegspur::proxy
