/// \file chunk_framing.h
/// Strict check of the chunked transfer coding (RFC 9112, 7.1).
///
/// http_parser accepts any two bytes after the data of a chunk, any byte for the line feed of a
/// size line, and lines that end with a bare line feed in the trailer. With a damaged size it then
/// finds a last chunk inside of a body. This check judges bytes before http_parser gets them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegspur::http1 {

/// What is read of a size line with its extensions.
constexpr std::size_t max_size_line_bytes = 1024;
/// What is read of all trailer fields of a message.
constexpr std::size_t max_trailer_bytes = 16UL * 1024;

/// Which trailer fields a body may end with.
struct trailer_rule {
  bool any = true;                ///< Fields that the head did not announce, too.
  std::vector<std::string> names; ///< Announced by the head (`Trailer`).
};

/// The outcome of a check of bytes.
struct checked_bytes {
  std::size_t valid = 0;      ///< Bytes before the violation or the end of the body.
  std::string_view violation; ///< Why the byte after them is not valid; empty if it is.
};

/// Checks the bytes of one body, in pieces of any size. Holds at most one line.
class chunk_framing {
 public:
  chunk_framing() = default;

  explicit chunk_framing(trailer_rule trailer) : trailer_(std::move(trailer)) {}

  checked_bytes check(std::string_view bytes);

  /// Whether the empty line that ends the body was read.
  [[nodiscard]] bool complete() const { return part_ == part::complete; }

 private:
  enum class part { size, size_lf, data, data_cr, data_lf, trailer, trailer_lf, complete };

  /// Takes a byte that is not data; returns why it is not valid, or an empty text.
  std::string_view take(char c);
  std::string_view take_line_byte(char c);
  std::string_view end_size_line();
  std::string_view end_trailer_line();

  trailer_rule trailer_;
  part part_ = part::size;
  std::string line_;              ///< The size line or trailer line so far, without its end.
  std::uint64_t remaining_ = 0;   ///< Bytes of the chunk that have not been read.
  std::size_t trailer_bytes_ = 0; ///< Of all trailer lines, without their ends.
  bool last_chunk_ = false;       ///< The size of the chunk is 0.
  bool last_line_empty_ = false;  ///< The line before the line feed is the one that ends the body.
};

} // namespace nutmegspur::http1
