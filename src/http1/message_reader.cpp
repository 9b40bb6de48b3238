// The http_parser callbacks.
#include "message_reader.h"

#include "field_syntax.h"

#include <algorithm>
#include <limits>

namespace nutmegspur::http1 {

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
  chunked_ = false;
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
message_reader::add_field_value(std::string_view text) {
  value_seen_ = true;
  fields_->all.back().second.append(text);
}

bool
message_reader::finish_head() {
  head_done_ = true;
  chunked_ = (parser_.flags & F_CHUNKED) != 0;
  // http_parser forgets the coding at a later field whose name only begins like Transfer-Encoding.
  if (kind_ == kind::response && chunked_ != head_check_.chunked()) {
    violation_ = "a field name can be taken for Transfer-Encoding";
    return false;
  }
  const bool keep_alive = http_should_keep_alive(&parser_) != 0;
  if (kind_ == kind::request) {
    request_.method = http_method_str(static_cast<http_method>(parser_.method));
    request_.keep_alive = keep_alive;
    request_.minor_version = parser_.http_minor;
  } else {
    response_.status = static_cast<int>(parser_.status_code);
    constexpr int no_content = 204;
    constexpr int not_modified = 304;
    constexpr int first_final_status = 200;
    skip_body_ = no_body_ || response_.status < first_final_status ||
                 response_.status == no_content || response_.status == not_modified;
    const bool framed =
        chunked_ || parser_.content_length != std::numeric_limits<std::uint64_t>::max();
    response_.close_delimited = !skip_body_ && !framed;
    response_.keep_alive = keep_alive && !response_.close_delimited;
  }
  chunked_ = chunked_ && !skip_body_;
  if (chunked_) {
    framing_ = chunk_framing{expected_trailer()};
  }
  if (events_.on_head) {
    events_.on_head();
  }
  return true;
}

trailer_rule
message_reader::expected_trailer() const {
  constexpr std::string_view event_stream = "text/event-stream";
  const auto type = response_.fields.get("Content-Type").substr(0, event_stream.size());
  // A response that names no media type may carry events, too.
  const bool may_carry_events = type.empty() || same_field_name(type, event_stream);
  trailer_rule rule;
  rule.any = kind_ == kind::request || !may_carry_events;
  for (const auto& [name, value] : response_.fields.all) {
    if (!same_field_name(name, "Trailer")) {
      continue;
    }
    for (std::string_view rest = value; !rest.empty();) {
      const auto end = rest.find(',');
      rule.names.emplace_back(trimmed(rest.substr(0, end)));
      rest.remove_prefix(end == std::string_view::npos ? rest.size() : end + 1);
    }
  }
  return rule;
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
    // Fields after the head are those of a trailer, which must not be merged (RFC 9110, 6.5.1).
    to.on_header_field = [](http_parser* p, const char* at, std::size_t n) {
      if (!self(p).head_done_) {
        self(p).add_field_name({at, n});
      }
      return 0;
    };
    to.on_header_value = [](http_parser* p, const char* at, std::size_t n) {
      if (!self(p).head_done_) {
        self(p).add_field_value({at, n});
      }
      return 0;
    };
    to.on_headers_complete = [](http_parser* p) {
      constexpr int failed = -1;
      if (!self(p).finish_head()) {
        return failed;
      }
      return self(p).skip_body_ ? 1 : 0;
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

checked_bytes
message_reader::check(std::string_view bytes) {
  if (!in_message_ || !head_done_) {
    // Line by line, so that the end of the head is known before bytes of the body are parsed.
    const std::size_t n = std::min(bytes.find('\n'), bytes.size() - 1) + 1;
    // The owner has checked the head of a request.
    const auto violation =
        kind_ == kind::request ? std::nullopt : head_check_.check(bytes.substr(0, n));
    return violation ? checked_bytes{0, *violation} : checked_bytes{n, {}};
  }
  return chunked_ ? framing_.check(bytes) : checked_bytes{bytes.size(), {}};
}

bool
message_reader::parse(std::string_view bytes, std::size_t& consumed) {
  const bool was_in_message = in_message_;
  consumed += http_parser_execute(&parser_, &callbacks(), bytes.data(), bytes.size());
  const http_errno ec = HTTP_PARSER_ERRNO(&parser_);
  if (ec == HPE_PAUSED) {
    http_parser_pause(&parser_, 0);
    // The parser pauses on the last byte of a message and counts that byte as consumed.
    if (chunked_ && !framing_.complete()) {
      violation_ = "the chunked body ends early";
    } else if (!in_message_ && (was_in_message || head_done_) && events_.on_end) {
      events_.on_end();
    }
    return false;
  }
  if (ec == HPE_CB_headers_complete) {
    return false; // The violation is set.
  }
  if (ec != HPE_OK) {
    violation_ = http_errno_description(ec);
  } else if (parser_.upgrade != 0) {
    violation_ = "protocol upgrades are not supported";
  } else if (chunked_ && in_message_ && framing_.complete()) {
    violation_ = "the chunked body has no end";
  }
  return violation_.empty();
}

read_progress
message_reader::feed(std::string_view bytes) {
  read_progress progress;
  while (violation_.empty() && progress.consumed < bytes.size()) {
    const std::string_view rest = bytes.substr(progress.consumed);
    const checked_bytes next = check(rest);
    // An empty piece would tell http_parser that the connection was closed.
    if (next.valid > 0 && !parse(rest.substr(0, next.valid), progress.consumed)) {
      break;
    }
    violation_ = next.violation;
  }
  progress.violation = violation_;
  return progress;
}

bool
message_reader::feed_end() {
  if (!in_message_ || !violation_.empty()) {
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
