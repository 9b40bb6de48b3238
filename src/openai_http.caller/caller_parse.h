/// \file caller_parse.h
/// Parses and validates HTTP requests of callers.
#pragma once

#include <nutmegspur/request.h>
#include <nutmegspur/settings.h>

#include <QtCore/QByteArray>
#include <QtCore/QUrl>

#include <string>
#include <vector>

namespace nutmegspur::openai_http {

/// A request as received by the HTTP library. Header names are lower case.
struct raw_request {
  std::string method; ///< Upper case.
  QUrl url;
  std::vector<header_field> headers;
  QByteArray body;

  /// The value of the header, or empty if there is none.
  [[nodiscard]] std::string header(std::string_view name) const;
};

/// The request event for the decision thread, and the format of its response.
struct parsed_request {
  request_arrived arrived;
  bool stream = false;        ///< Respond with server-sent events instead of one JSON document.
  bool include_usage = false; ///< Send a usage chunk at the end of the stream.
};

/// Parses `raw`. The result holds only the SHA-256 of the bearer key. A request that repeats its
/// key outside the Authorization header is rejected, because those parts may be forwarded.
result<parsed_request> parse_request(const raw_request& raw, request_id request,
                                     const settings& config, time_point now);

} // namespace nutmegspur::openai_http
