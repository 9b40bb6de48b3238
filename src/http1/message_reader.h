/// \file message_reader.h
/// Reads one HTTP/1.1 message after the other from bytes that may be cut anywhere.
#pragma once

#include <nutmegspur/http_message.h>

#include <http_parser.h>

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace nutmegspur::http1 {

/// Why a request head is not accepted; empty if it is. Checks what the parser lets through although
/// two parties could read it differently: folded and bare lines, spaces before a colon, a target
/// that is no path, framing given twice.
std::optional<std::string> find_head_violation(std::string_view head);

/// Where the head of a message ends: the offset after its empty line, if that has come.
std::optional<std::size_t> find_head_end(std::string_view bytes);

/// What a reader tells. `on_end` comes once for each whole message.
struct reader_events {
  std::function<void()> on_head;
  std::function<void(std::string_view)> on_body;
  std::function<void()> on_end;
};

/// How far a call to `feed` came.
struct read_progress {
  std::size_t consumed = 0;
  std::string violation; ///< Empty if all is well.
};

/// A reader of requests or answers. It stops after each message, so that the bytes behind it are
/// read only when they are wanted. An event may not destroy its reader.
class message_reader {
 public:
  enum class kind { request, response };

  message_reader(kind what, reader_events events);
  message_reader(const message_reader&) = delete;
  message_reader& operator=(const message_reader&) = delete;
  ~message_reader() = default;

  /// The answers to a HEAD request have no body.
  void expect_no_body(bool none) { no_body_ = none; }

  read_progress feed(std::string_view bytes);
  /// The connection has ended cleanly. True if that ends a message well.
  bool feed_end();

  /// Whether a message has begun and is not whole.
  [[nodiscard]] bool in_message() const { return in_message_; }

  [[nodiscard]] bool head_done() const { return head_done_; }

  // Valid from `on_head` until the next message.
  [[nodiscard]] http_request_head& request() { return request_; }

  [[nodiscard]] http_response_head& response() { return response_; }

 private:
  static const http_parser_settings& callbacks();

  static message_reader& self(http_parser* parser) {
    return *static_cast<message_reader*>(parser->data);
  }

  void begin();
  void add_field_name(std::string_view text);
  void finish_head();

  http_parser parser_{};
  reader_events events_;
  kind kind_;
  http_request_head request_;
  http_response_head response_;
  http_fields* fields_ = nullptr;
  bool value_seen_ = false;
  bool in_message_ = false;
  bool head_done_ = false;
  bool no_body_ = false;
};

} // namespace nutmegspur::http1
