/// \file caller_parse.h
/// Reads a caller's HTTP request into a typed one, or says what is wrong with it.
#pragma once

#include <nutmegspur/request.h>
#include <nutmegspur/settings.h>

#include <QtCore/QByteArray>
#include <QtCore/QUrl>

#include <string>
#include <vector>

namespace nutmegspur::openai_http {

/// A request as the HTTP library read it. Header names are lower case.
struct raw_request {
  std::string method; ///< Upper case.
  QUrl url;
  std::vector<header_field> headers;
  QByteArray body;

  /// The header's value, or empty.
  [[nodiscard]] std::string header(std::string_view name) const;
};

/// A request for the decision thread, and how its answer is to be written.
struct parsed_request {
  request_arrived arrived;
  bool stream = false;        ///< Server-sent events instead of one JSON document.
  bool include_usage = false; ///< A usage chunk at the end of the stream.
};

/// Reads `raw`. The bearer key is digested here and appears in nothing that is returned; a request
/// that carries its key in another place too is refused, because that place may be passed on.
result<parsed_request> parse_request(const raw_request& raw, request_id request,
                                     const settings& config, time_point now);

} // namespace nutmegspur::openai_http
