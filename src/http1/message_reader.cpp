// Request head checks and the http_parser callbacks.
#include "message_reader.h"

#include <algorithm>
#include <limits>

namespace nutmegspur::http1 {

namespace {

bool
is_token_char(char c) {
  constexpr std::string_view punctuation = "!#$%&'*+-.^_`|~";
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         punctuation.find(c) != std::string_view::npos;
}

bool
is_token(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), is_token_char);
}

std::optional<std::string>
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

std::string_view
trimmed(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
    text.remove_prefix(1);
  }
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
    text.remove_suffix(1);
  }
  return text;
}

/// How often a request head has the fields that frame the body, and Host.
struct field_counts {
  int content_lengths = 0;
  int transfer_codings = 0;
  int host_fields = 0;
};

std::optional<std::string>
find_field_violation(std::string_view line, field_counts& counts) {
  const auto colon = line.find(':');
  if (colon == std::string_view::npos || !is_token(line.substr(0, colon))) {
    return "a header field is malformed";
  }
  const std::string_view name = line.substr(0, colon);
  const std::string_view value = trimmed(line.substr(colon + 1));
  if (std::any_of(value.begin(), value.end(), [](char c) { return c == '\0' || c == '\r'; })) {
    return "a header field contains a control character";
  }
  if (same_field_name(name, "Content-Length")) {
    counts.content_lengths++;
    if (value.empty() ||
        !std::all_of(value.begin(), value.end(), [](char c) { return c >= '0' && c <= '9'; })) {
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
    auto violation = first ? find_request_line_violation(line) : find_field_violation(line, counts);
    if (violation) {
      return violation;
    }
    first = false;
  }
  if (counts.host_fields != 1) {
    return "the request must have exactly one Host field";
  }
  if (counts.content_lengths + counts.transfer_codings > 1) {
    return "the request gives the body length more than once (Content-Length, Transfer-Encoding)";
  }
  return std::nullopt;
}

message_reader::message_reader(kind type, reader_events events)
    : events_(std::move(events)), kind_(type) {
  http_parser_init(&parser_, type == kind::request ? HTTP_REQUEST : HTTP_RESPONSE);
  parser_.data = this;
}

void
message_reader::begin() {
  in_message_ = true;
  head_done_ = false;
  request_ = {};
  response_ = {};
  fields_ = kind_ == kind::request ? &request_.fields : &response_.fields;
  value_seen_ = true;
}

void
message_reader::add_field_name(std::string_view text) {
  if (value_seen_) {
    fields_->add({}, {});
    value_seen_ = false;
  }
  fields_->all.back().first.append(text);
}

void
message_reader::finish_head() {
  head_done_ = true;
  const bool keep_alive = http_should_keep_alive(&parser_) != 0;
  if (kind_ == kind::request) {
    request_.method = http_method_str(static_cast<http_method>(parser_.method));
    request_.keep_alive = keep_alive;
  } else {
    response_.status = static_cast<int>(parser_.status_code);
    constexpr int no_content = 204;
    constexpr int not_modified = 304;
    constexpr int first_final_status = 200;
    const bool bodiless = no_body_ || response_.status < first_final_status ||
                          response_.status == no_content || response_.status == not_modified;
    const bool framed = (parser_.flags & F_CHUNKED) != 0 ||
                        parser_.content_length != std::numeric_limits<std::uint64_t>::max();
    response_.close_delimited = !bodiless && !framed;
    response_.keep_alive = keep_alive && !response_.close_delimited;
  }
  if (events_.on_head) {
    events_.on_head();
  }
}

const http_parser_settings&
message_reader::callbacks() {
  static const http_parser_settings settings = [] {
    http_parser_settings to{};
    to.on_message_begin = [](http_parser* p) {
      self(p).begin();
      return 0;
    };
    to.on_url = [](http_parser* p, const char* at, std::size_t n) {
      self(p).request_.target.append(at, n);
      return 0;
    };
    to.on_status = [](http_parser* p, const char* at, std::size_t n) {
      self(p).response_.reason.append(at, n);
      return 0;
    };
    to.on_header_field = [](http_parser* p, const char* at, std::size_t n) {
      self(p).add_field_name({at, n});
      return 0;
    };
    to.on_header_value = [](http_parser* p, const char* at, std::size_t n) {
      message_reader& it = self(p);
      it.value_seen_ = true;
      it.fields_->all.back().second.append(at, n);
      return 0;
    };
    to.on_headers_complete = [](http_parser* p) {
      self(p).finish_head();
      return self(p).no_body_ ? 1 : 0;
    };
    to.on_body = [](http_parser* p, const char* at, std::size_t n) {
      if (self(p).events_.on_body) {
        self(p).events_.on_body({at, n});
      }
      return 0;
    };
    to.on_message_complete = [](http_parser* p) {
      self(p).in_message_ = false;
      // The bytes after this one belong to the next message.
      http_parser_pause(p, 1);
      return 0;
    };
    return to;
  }();
  return settings;
}

read_progress
message_reader::feed(std::string_view bytes) {
  read_progress progress;
  const bool was_in_message = in_message_;
  progress.consumed = http_parser_execute(&parser_, &callbacks(), bytes.data(), bytes.size());
  const http_errno ec = HTTP_PARSER_ERRNO(&parser_);
  if (ec == HPE_PAUSED) {
    http_parser_pause(&parser_, 0);
    // The parser pauses on the last byte of a message and counts that byte as consumed.
    if (!in_message_ && (was_in_message || head_done_) && events_.on_end) {
      events_.on_end();
    }
  } else if (ec != HPE_OK) {
    progress.violation = http_errno_description(ec);
  } else if (parser_.upgrade != 0) {
    progress.violation = "protocol upgrades are not supported";
  }
  return progress;
}

bool
message_reader::feed_end() {
  if (!in_message_) {
    return false;
  }
  http_parser_execute(&parser_, &callbacks(), nullptr, 0);
  if (in_message_) {
    return false;
  }
  if (events_.on_end) {
    events_.on_end();
  }
  return true;
}

} // namespace nutmegspur::http1
