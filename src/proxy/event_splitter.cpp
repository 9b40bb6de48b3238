// Splits a byte stream into server-sent events.
#include "event_splitter.h"

namespace nutmegspur::proxy {

namespace {

/// Calls `visit` for each line until it returns false.
template <class Visitor>
void
for_each_line(std::string_view text, Visitor visit) {
  while (!text.empty()) {
    const auto end = text.find('\n');
    std::string_view line = text.substr(0, end);
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    if (!visit(line) || end == std::string_view::npos) {
      return;
    }
    text.remove_prefix(end + 1);
  }
}

} // namespace

std::string
event_splitter::next_event() {
  // The end of an event may lie across what was searched before.
  constexpr std::size_t longest_end = 4;
  const std::size_t from = searched_ < longest_end ? 0 : searched_ - longest_end;
  const auto lf_end = buffer_.find("\n\n", from);
  const auto crlf_end = buffer_.find("\r\n\r\n", from);
  if (lf_end == std::string::npos && crlf_end == std::string::npos) {
    searched_ = buffer_.size();
    return {};
  }
  searched_ = 0;
  constexpr std::size_t lf_bytes = 2;
  constexpr std::size_t crlf_bytes = 4;
  const std::size_t end = lf_end < crlf_end ? lf_end + lf_bytes : crlf_end + crlf_bytes;
  std::string event = buffer_.substr(0, end);
  buffer_.erase(0, end);
  return event;
}

std::string
event_splitter::id_of(std::string_view event) {
  std::string id;
  for_each_line(event, [&](std::string_view line) {
    if (!line.starts_with("id:")) {
      return true;
    }
    line.remove_prefix(std::string_view{"id:"}.size());
    if (line.starts_with(' ')) {
      line.remove_prefix(1);
    }
    id = line;
    return true;
  });
  return id;
}

bool
event_splitter::has_data(std::string_view event) {
  bool found = false;
  for_each_line(event, [&](std::string_view line) {
    found = line.starts_with("data:");
    return !found;
  });
  return found;
}

} // namespace nutmegspur::proxy
