/// \file event_splitter.h
/// Splits the bytes of an event stream (WHATWG HTML, "Server-sent events") into complete events,
/// unmodified, so that a stream that breaks never forwards part of an event.
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

  /// Removes and returns the next complete event with its terminating blank line; empty if none.
  std::string next_event();

  /// Whether bytes of an event follow the last complete one; line breaks between events are none.
  [[nodiscard]] bool inside_event() const {
    return buffer_.find_first_not_of("\r\n") != std::string::npos;
  }

  /// Whether these are other than a comment's.
  [[nodiscard]] bool inside_data() const {
    const auto at = buffer_.find_first_not_of("\r\n");
    return at != std::string::npos && buffer_[at] != ':';
  }

  /// Length of the event that is not complete yet.
  [[nodiscard]] std::size_t held_bytes() const { return buffer_.size(); }

  /// Removes and returns the bytes after the last complete event.
  std::string take_remainder() {
    searched_ = 0;
    return std::exchange(buffer_, {});
  }

  /// Returns the `id:` of an event, the last one if it has several; empty if it has none.
  static std::string id_of(std::string_view event);
  /// Whether the event has data rather than only a comment.
  static bool has_data(std::string_view event);

 private:
  std::string buffer_;
  std::size_t searched_ = 0; ///< Length of the part of `buffer_` that has no end of an event.
};

} // namespace nutmegspur::proxy
