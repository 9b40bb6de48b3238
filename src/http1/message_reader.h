/// \file message_reader.h
/// Incremental parser of HTTP/1.1 messages: http_parser, behind stricter checks of heads and
/// chunks.
///
/// Requests and responses arrive in pieces of any size; the parser stops after each message.
/// "Head" is the start line together with the header fields.
#pragma once

#include "chunk_framing.h"
#include "head_check.h"

#include <nutmegspur/http_message.h>

#include <http_parser.h>

#include <functional>
#include <string>
#include <string_view>

namespace nutmegspur::http1 {

/// Callbacks of a reader. `on_end` is called once for each complete message.
struct reader_events {
  std::function<void()> on_head;
  std::function<void(std::string_view)> on_body;
  std::function<void()> on_end;
};

/// Result of a call to `feed`.
struct read_progress {
  std::size_t consumed = 0;
  std::string violation; ///< Why the bytes are not valid HTTP; empty if they are.
};

/// Parses either requests or responses. It stops after each message, so that the owner decides when
/// the bytes of the next one are parsed. Callbacks must not destroy the reader.
class message_reader {
 public:
  enum class kind { request, response };

  message_reader(kind type, reader_events events);
  message_reader(const message_reader&) = delete;
  message_reader& operator=(const message_reader&) = delete;
  ~message_reader() = default;

  /// Set for the response to a HEAD request, which has no body.
  void expect_no_body(bool none) { no_body_ = none; }

  /// A violation is final: what is fed after it has the same one.
  read_progress feed(std::string_view bytes);
  /// To be called when the connection was closed cleanly. True if that completes a message, as it
  /// does for a response without a length.
  bool feed_end();

  /// Whether a message has started and is not complete.
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
  void add_field_value(std::string_view text);
  /// Returns false if the head is not valid.
  bool finish_head();
  [[nodiscard]] trailer_rule expected_trailer() const;

  /// Finds how many of `bytes` may be parsed next.
  checked_bytes check(std::string_view bytes);
  /// Returns whether the message goes on after `bytes`.
  bool parse(std::string_view bytes, std::size_t& consumed);

  http_parser parser_{};
  reader_events events_;
  kind kind_;
  http_request_head request_;
  http_response_head response_;
  http_fields* fields_ = nullptr;
  response_head_check head_check_;
  chunk_framing framing_; ///< Of the current body, if it is chunked.
  std::string violation_; ///< Empty until the first violation.
  bool value_seen_ = false;
  bool in_message_ = false;
  bool head_done_ = false;
  bool no_body_ = false;
  bool skip_body_ = false; ///< The current response has no body, whatever its fields say.
  bool chunked_ = false;   ///< The current message has a chunked body.
};

} // namespace nutmegspur::http1
