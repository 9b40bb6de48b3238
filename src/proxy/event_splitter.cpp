// Whole events of a stream.
#include "event_splitter.h"

namespace nutmegspur::proxy {

namespace {

/// Calls `use` for each line until it returns false.
template <class Use>
void
each_line(std::string_view text, Use use) {
  while (!text.empty()) {
    const auto end = text.find('\n');
    std::string_view line = text.substr(0, end);
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    if (!use(line) || end == std::string_view::npos) {
      return;
    }
    text.remove_prefix(end + 1);
  }
}

} // namespace

std::string
event_splitter::take() {
  const auto bare = held_.find("\n\n");
  const auto full = held_.find("\r\n\r\n");
  if (bare == std::string::npos && full == std::string::npos) {
    return {};
  }
  constexpr std::size_t bare_bytes = 2;
  constexpr std::size_t full_bytes = 4;
  const std::size_t end = bare < full ? bare + bare_bytes : full + full_bytes;
  std::string event = held_.substr(0, end);
  held_.erase(0, end);
  return event;
}

std::string
event_splitter::id_of(std::string_view event) {
  std::string id;
  each_line(event, [&](std::string_view line) {
    if (!line.starts_with("id:")) {
      return true;
    }
    line.remove_prefix(std::string_view{"id:"}.size());
    if (line.starts_with(' ')) {
      line.remove_prefix(1);
    }
    id = line;
    return false;
  });
  return id;
}

bool
event_splitter::has_data(std::string_view event) {
  bool found = false;
  each_line(event, [&](std::string_view line) {
    found = line.starts_with("data:");
    return !found;
  });
  return found;
}

} // namespace nutmegspur::proxy
