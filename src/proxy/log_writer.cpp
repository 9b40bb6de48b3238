// Bounded, non-blocking log output.
#include "log_writer.h"

#include <fcntl.h>
#include <unistd.h>

#include <utility>

namespace nutmegspur::proxy {

log_writer::log_writer(int fd) : fd_(fd) {
  const int flags = fcntl(fd, F_GETFL);
  if (flags >= 0) {
    fcntl(fd, F_SETFL, flags | O_NONBLOCK);
  }
}

void
log_writer::add(wall_time when, std::string_view line) {
  const std::string_view name = line.substr(0, line.find(' '));
  auto it = rates_.find(name);
  if (it == rates_.end()) {
    it = rates_.emplace(std::string{name}, event_rate{}).first;
  }
  event_rate& rate = it->second;
  const auto millis = std::chrono::duration_cast<milliseconds>(when.time_since_epoch()).count();
  const auto second = std::chrono::duration_cast<seconds>(when.time_since_epoch()).count();
  if (rate.second != second) {
    rate.second = second;
    rate.lines = 0;
  }
  if (buffer_.size() + line.size() > max_bytes || rate.lines >= max_lines_per_second) {
    rate.dropped++;
    return;
  }
  rate.lines++;
  buffer_.append("time_ms=").append(std::to_string(millis)).append(" ").append(line).append("\n");
}

void
log_writer::flush() {
  while (!buffer_.empty()) {
    const ssize_t n = ::write(fd_, buffer_.data(), buffer_.size());
    if (n <= 0) {
      // The pipe is full or closed; `max_bytes` bounds the buffer in both cases.
      return;
    }
    buffer_.erase(0, static_cast<std::size_t>(n));
  }
}

std::map<std::string, std::uint64_t>
log_writer::take_dropped() {
  std::map<std::string, std::uint64_t> dropped;
  for (auto& [name, rate] : rates_) {
    if (rate.dropped > 0) {
      dropped[name] = std::exchange(rate.dropped, 0);
    }
  }
  return dropped;
}

} // namespace nutmegspur::proxy
