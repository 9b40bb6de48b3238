/// \file event_splitter.h
/// Cuts the bytes of an event stream (WHATWG HTML, "Server-sent events") into whole events, byte
/// for byte as they came, so that a stream that breaks off never shows half an event.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace nutmegspur::proxy {

class event_splitter {
 public:
  void add(std::string_view bytes) { buffer_.append(bytes); }

  /// The next whole event with its empty line, or empty.
  std::string next_event();

  /// What is left without an end.
  std::string take_remainder() { return std::exchange(buffer_, {}); }

  /// The `id:` of an event; empty if it has none.
  static std::string id_of(std::string_view event);
  /// Whether the event carries data, rather than only a comment.
  static bool has_data(std::string_view event);

 private:
  std::string buffer_;
};

} // namespace nutmegspur::proxy
