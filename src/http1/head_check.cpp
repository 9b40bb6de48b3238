// Checks of the lines of a head.
#include "head_check.h"

#include "field_syntax.h"

#include <nutmegspur/http_message.h>

#include <algorithm>

namespace nutmegspur::http1 {

namespace {

std::optional<std::string_view>
find_request_line_violation(std::string_view line) {
  const auto first = line.find(' ');
  const auto last = line.rfind(' ');
  if (first == std::string_view::npos || first == last || !is_token(line.substr(0, first))) {
    return "the request line is malformed";
  }
  const std::string_view target = line.substr(first + 1, last - first - 1);
  if (!target.starts_with('/') || target.find(' ') != std::string_view::npos) {
    return "the request target is not a path";
  }
  const std::string_view version = line.substr(last + 1);
  if (version != "HTTP/1.1" && version != "HTTP/1.0") {
    return "the HTTP version is not supported";
  }
  return std::nullopt;
}

bool
is_digit(char c) {
  return c >= '0' && c <= '9';
}

bool
is_number(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), is_digit);
}

std::optional<std::string_view>
find_status_line_violation(std::string_view line) {
  constexpr std::string_view major = "HTTP/1.";
  if (!line.starts_with(major)) {
    return "the response does not begin with a status line of HTTP/1";
  }
  line.remove_prefix(major.size());
  // The minor version, a space and three digits; the reason, and the space before it, may be left
  // out.
  constexpr std::size_t status_at = 2;
  constexpr std::size_t status_digits = 3;
  constexpr std::size_t reason_at = status_at + status_digits;
  if (line.size() < reason_at || !is_digit(line[0]) || line[1] != ' ' || line[status_at] == '0' ||
      !is_number(line.substr(status_at, status_digits)) ||
      (line.size() > reason_at && line[reason_at] != ' ')) {
    return "the status line is malformed";
  }
  if (line.find('\0') != std::string_view::npos) {
    return "the status line contains a control character";
  }
  return std::nullopt;
}

std::optional<std::string_view>
find_syntax_violation(std::string_view line) {
  const auto colon = line.find(':');
  if (colon == std::string_view::npos || !is_token(line.substr(0, colon))) {
    return "a header field is malformed";
  }
  if (std::any_of(line.begin(), line.end(), [](char c) { return c == '\0' || c == '\r'; })) {
    return "a header field contains a control character";
  }
  return std::nullopt;
}

std::optional<std::string_view>
find_field_violation(std::string_view line, field_counts& counts) {
  if (const auto violation = find_syntax_violation(line)) {
    return violation;
  }
  const auto colon = line.find(':');
  const std::string_view name = line.substr(0, colon);
  const std::string_view value = trimmed(line.substr(colon + 1));
  if (same_field_name(name, "Content-Length")) {
    counts.content_lengths++;
    counts.nonzero_length = value.find_first_not_of('0') != std::string_view::npos;
    if (!is_number(value)) {
      return "Content-Length is not a number";
    }
  } else if (same_field_name(name, "Transfer-Encoding")) {
    counts.transfer_codings++;
    if (!same_field_name(value, "chunked")) {
      return "the transfer coding is not supported";
    }
  } else if (same_field_name(name, "Host")) {
    counts.host_fields++;
  }
  return std::nullopt;
}

} // namespace

std::optional<std::size_t>
find_head_end(std::string_view bytes) {
  const auto at = bytes.find("\r\n\r\n");
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  constexpr std::size_t ending_bytes = 4;
  return at + ending_bytes;
}

std::optional<std::string>
find_head_violation(std::string_view head) {
  field_counts counts;
  bool first = true;
  bool old_version = false;
  while (!head.empty()) {
    const auto end = head.find("\r\n");
    if (end == std::string_view::npos || head.substr(0, end).find('\n') != std::string_view::npos) {
      return "a line does not end with CR LF";
    }
    const std::string_view line = head.substr(0, end);
    head.remove_prefix(end + 2);
    if (line.empty()) {
      break;
    }
    old_version = old_version || (first && line.ends_with("HTTP/1.0"));
    const auto violation =
        first ? find_request_line_violation(line) : find_field_violation(line, counts);
    if (violation) {
      return std::string{*violation};
    }
    first = false;
  }
  if (old_version && counts.transfer_codings > 0) {
    return "a request of HTTP/1.0 has a transfer coding";
  }
  if (counts.host_fields != 1) {
    return "the request must have exactly one Host field";
  }
  if (counts.content_lengths + counts.transfer_codings > 1) {
    return "the request gives the body length more than once (Content-Length, Transfer-Encoding)";
  }
  return std::nullopt;
}

std::optional<std::string_view>
response_head_check::check(std::string_view piece) {
  const std::string_view line_end = "\r\n";
  const std::size_t before = line_.size();
  line_.append(piece);
  const std::string_view read = line_;
  const auto end = read.find_first_of(line_end, before == 0 ? 0 : before - 1);
  if (end == std::string_view::npos || (end + 1 == read.size() && read[end] == '\r')) {
    return std::nullopt; // More of the line is to come.
  }
  if (read.substr(end) != line_end) {
    return "a line does not end with CR LF";
  }
  const auto violation = end_line(read.substr(0, end));
  line_.clear();
  return violation;
}

std::optional<std::string_view>
response_head_check::end_line(std::string_view line) {
  if (status_line_.empty()) {
    status_line_ = line;
    return find_status_line_violation(line);
  }
  if (!line.empty()) {
    return find_field_violation(line, counts_);
  }
  const auto violation = end_head();
  const bool chunked = counts_.transfer_codings > 0;
  *this = {};
  chunked_ = chunked;
  return violation;
}

std::optional<std::string_view>
response_head_check::end_head() const {
  if (counts_.transfer_codings > 0 && status_line_.starts_with("HTTP/1.0")) {
    return "a response of HTTP/1.0 has a transfer coding";
  }
  if (counts_.content_lengths + counts_.transfer_codings > 1) {
    return "the response gives the body length more than once";
  }
  constexpr std::size_t status_at = std::string_view{"HTTP/1.1 "}.size();
  const std::string_view status = std::string_view{status_line_}.substr(status_at);
  const bool bodiless = status.starts_with('1') || status.starts_with("204");
  if (bodiless && (counts_.transfer_codings > 0 || counts_.nonzero_length)) {
    return "a response that has no body gives the body length";
  }
  return std::nullopt;
}

} // namespace nutmegspur::http1
