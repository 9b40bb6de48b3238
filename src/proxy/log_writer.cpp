// The bounded, non-blocking log.
#include "log_writer.h"

#include <fcntl.h>
#include <unistd.h>

namespace nutmegspur::proxy {

log_writer::log_writer(int fd) : fd_(fd) {
  const int flags = fcntl(fd, F_GETFL);
  if (flags >= 0) {
    fcntl(fd, F_SETFL, flags | O_NONBLOCK);
  }
}

void
log_writer::add(wall_time when, std::string_view line) {
  if (held_.size() + line.size() > most_bytes) {
    dropped_++;
    return;
  }
  const auto millis = std::chrono::duration_cast<milliseconds>(when.time_since_epoch()).count();
  held_.append("time_ms=").append(std::to_string(millis)).append(" ").append(line).append("\n");
}

void
log_writer::flush() {
  while (!held_.empty()) {
    const ssize_t n = ::write(fd_, held_.data(), held_.size());
    if (n <= 0) {
      // Full, or nobody reads any more: the bound above holds either way.
      return;
    }
    held_.erase(0, static_cast<std::size_t>(n));
  }
}

} // namespace nutmegspur::proxy
