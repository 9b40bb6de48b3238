/// \file http_message.h
/// Heads of HTTP/1.1 messages (RFC 9112), as parsed or to be sent.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace nutmegspur {

/// Header fields in the order of the message. Names keep their case; lookups ignore case.
struct http_fields {
  std::vector<std::pair<std::string, std::string>> all;

  /// The value of the first field called `name`, or empty.
  [[nodiscard]] std::string_view get(std::string_view name) const;
  [[nodiscard]] bool has(std::string_view name) const;
  [[nodiscard]] std::size_t count(std::string_view name) const;

  void add(std::string name, std::string value) {
    all.emplace_back(std::move(name), std::move(value));
  }
};

/// Whether two field names are the same, ignoring ASCII case.
bool same_field_name(std::string_view a, std::string_view b);

/// Whether `name` is a hop-by-hop field that is not forwarded (RFC 9110, 7.6.1), or describes the
/// message framing, which is separate for each connection.
bool is_connection_field(std::string_view name);

struct http_request_head {
  std::string method;
  std::string target; ///< Path and query.
  http_fields fields;
  bool keep_alive = true;
  int minor_version = 1; ///< Of HTTP/1. Callers of HTTP/1.0 know no chunked coding.

  /// The target without its query.
  [[nodiscard]] std::string_view path() const {
    return std::string_view{target}.substr(0, target.find('?'));
  }
};

struct http_response_head {
  int status = 0;
  std::string reason;
  http_fields fields;
  bool keep_alive = true;
  /// True if the end of the body is the close of the connection; false if it is given by the
  /// body's length or its last chunk.
  bool close_delimited = false;
};

/// The bytes of a request with its body. `Content-Length` is added where there is a body, or where
/// the method usually has one; connection fields among `fields` are left out.
std::string format_request(std::string_view method, std::string_view target,
                           const http_fields& fields, std::string_view body);

/// The usual reason phrase of a status.
std::string_view reason_phrase(int status);

} // namespace nutmegspur
