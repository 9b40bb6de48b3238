// Size lines, data and trailer of chunked bodies.
#include "chunk_framing.h"

#include "field_syntax.h"

#include <nutmegspur/http_message.h>

#include <algorithm>
#include <charconv>

namespace nutmegspur::http1 {

namespace {

bool
is_text(char c) {
  constexpr unsigned char first_printable = 0x20;
  constexpr unsigned char del = 0x7F;
  const auto it = static_cast<unsigned char>(c);
  return c == '\t' || (it >= first_printable && it != del);
}

/// Removes a quoted string from the front of `text`.
bool
remove_quoted(std::string_view& text) {
  for (std::size_t n = 1; n < text.size(); ++n) {
    if (text[n] == '\\') {
      ++n;
    } else if (text[n] == '"') {
      text.remove_prefix(n + 1);
      return true;
    }
  }
  return false;
}

bool
remove_token(std::string_view& text) {
  const auto end = std::min(text.find_first_of(" \t;="), text.size());
  const bool valid = is_token(text.substr(0, end));
  text.remove_prefix(end);
  return valid;
}

void
remove_space(std::string_view& text) {
  text.remove_prefix(std::min(text.find_first_not_of(" \t"), text.size()));
}

/// Whether `text` is a list of extensions, each with its semicolon.
bool
is_extension_list(std::string_view text) {
  while (!text.empty()) {
    remove_space(text);
    if (!text.starts_with(';')) {
      return false;
    }
    text.remove_prefix(1);
    remove_space(text);
    if (!remove_token(text)) {
      return false;
    }
    std::string_view value = text;
    remove_space(value);
    if (!value.starts_with('=')) {
      continue;
    }
    value.remove_prefix(1);
    remove_space(value);
    if (!(value.starts_with('"') ? remove_quoted(value) : remove_token(value))) {
      return false;
    }
    text = value;
  }
  return true;
}

} // namespace

checked_bytes
chunk_framing::check(std::string_view bytes) {
  std::size_t n = 0;
  while (n < bytes.size() && part_ != part::complete) {
    if (part_ == part::data) {
      const auto step = std::min<std::uint64_t>(remaining_, bytes.size() - n);
      n += step;
      remaining_ -= step;
      if (remaining_ == 0) {
        part_ = part::data_cr;
      }
      continue;
    }
    if (const auto violation = take(bytes[n]); !violation.empty()) {
      return {n, violation};
    }
    ++n;
  }
  return {n, {}};
}

std::string_view
chunk_framing::take(char c) {
  const auto expect = [&](char wanted, part next) -> std::string_view {
    if (c != wanted) {
      return "CR LF is missing in a chunked body";
    }
    part_ = next;
    return {};
  };
  switch (part_) {
  case part::size_lf:
    return expect('\n', last_chunk_ ? part::trailer : part::data);
  case part::data_cr:
    return expect('\r', part::data_lf);
  case part::data_lf:
    return expect('\n', part::size);
  case part::trailer_lf:
    return expect('\n', last_line_empty_ ? part::complete : part::trailer);
  default:
    return take_line_byte(c);
  }
}

std::string_view
chunk_framing::take_line_byte(char c) {
  if (c == '\r') {
    return part_ == part::size ? end_size_line() : end_trailer_line();
  }
  if (!is_text(c)) {
    return "a line of a chunked body has a control character";
  }
  line_.push_back(c);
  if (part_ == part::size && line_.size() > max_size_line_bytes) {
    return "a chunk extension is too long";
  }
  if (part_ == part::trailer && ++trailer_bytes_ > max_trailer_bytes) {
    return "the trailer is too long";
  }
  return {};
}

std::string_view
chunk_framing::end_size_line() {
  constexpr int hex = 16;
  const std::string_view line = line_;
  const auto [end, ec] = std::from_chars(line.data(), line.data() + line.size(), remaining_, hex);
  if (ec != std::errc{}) {
    return "a chunk size is malformed";
  }
  if (!is_extension_list(line.substr(static_cast<std::size_t>(end - line.data())))) {
    return "a chunk extension is malformed";
  }
  last_chunk_ = remaining_ == 0;
  line_.clear();
  part_ = part::size_lf;
  return {};
}

std::string_view
chunk_framing::end_trailer_line() {
  const std::string_view line = line_;
  const std::string_view name = line.substr(0, line.find(':'));
  if (!line.empty() && (name.size() == line.size() || !is_token(name))) {
    return "a trailer field is malformed";
  }
  if (same_field_name(name, "Content-Length") || same_field_name(name, "Transfer-Encoding")) {
    return "the trailer gives the length of the body";
  }
  const bool announced = trailer_.any || line.empty() ||
                         std::any_of(trailer_.names.begin(), trailer_.names.end(),
                                     [&](const auto& it) { return same_field_name(it, name); });
  if (!announced) {
    return "the head does not announce a trailer field";
  }
  last_line_empty_ = line.empty();
  line_.clear();
  part_ = part::trailer_lf;
  return {};
}

} // namespace nutmegspur::http1
