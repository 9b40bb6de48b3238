/// \file head_check.h
/// Checks of message heads that are stricter than those of http_parser (RFC 9112, 2 to 6).
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace nutmegspur::http1 {

/// Returns why a request head is rejected, or nothing if it is valid. Rejects what http_parser
/// accepts although two implementations could interpret it differently: folded lines, bare line
/// feeds, spaces before a colon, a target that is not a path, and framing given twice.
std::optional<std::string> find_head_violation(std::string_view head);

/// The offset after the empty line that ends the head of a message, if it has been received.
std::optional<std::size_t> find_head_end(std::string_view bytes);

/// What a head says about Host and the length of the body.
struct field_counts {
  int content_lengths = 0;
  int transfer_codings = 0;
  int host_fields = 0;
  bool nonzero_length = false; ///< A Content-Length other than 0.
};

/// Checks the head of a response as it arrives: rejects what http_parser accepts although the end
/// of the head or the body could be interpreted differently, such as bare line feeds, folded lines,
/// other transfer codings than chunked, and a body where the status has none.
class response_head_check {
 public:
  /// Checks the next bytes, up to and with the first line feed in them. Returns why they are not
  /// valid. After the empty line it expects the next head.
  std::optional<std::string_view> check(std::string_view piece);

  /// Whether the last head has a chunked body, unless its status has none.
  [[nodiscard]] bool chunked() const { return chunked_; }

 private:
  std::optional<std::string_view> end_line(std::string_view line);
  [[nodiscard]] std::optional<std::string_view> end_head() const;

  std::string line_;        ///< The current line so far.
  std::string status_line_; ///< Empty until it was read.
  field_counts counts_;
  bool chunked_ = false;
};

} // namespace nutmegspur::http1
