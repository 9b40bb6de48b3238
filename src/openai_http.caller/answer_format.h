/// \file answer_format.h
/// Serializes responses: OpenAI-compatible JSON, server-sent events and HTTP/1.1 framing.
#pragma once

#include <nutmegspur/request.h>

#include <QtCore/QByteArray>

#include <cstdint>
#include <string>
#include <vector>

namespace nutmegspur::openai_http {

/// Fields that every chunk or document of one response repeats.
struct response_identity {
  api_format format = api_format::chat_completions;
  std::string id; ///< For example "chatcmpl-i1-17".
  std::string model;
  std::int64_t created = 0; ///< Seconds since 1970, UTC.
};

/// One chunk of a stream. `finish_reason` is empty in all chunks but the last; `first` adds the
/// role.
QByteArray stream_chunk(const response_identity& it, const std::string& text, bool first,
                        const std::string& finish_reason);
/// The chunk that carries the token usage at the end of a stream.
QByteArray usage_chunk(const response_identity& it, const token_usage& usage);
/// A complete, non-streamed completion as one JSON document.
QByteArray completion_document(const response_identity& it, const std::string& text,
                               const token_usage& usage, const std::string& finish_reason);
/// The JSON error document. `request` is the request id as the caller sees it.
QByteArray error_document(const error& why, const std::string& request);

/// A server-sent event with a single data line.
QByteArray sse_event(const QByteArray& data);
/// One chunk of a body in chunked transfer coding.
QByteArray transfer_chunk(const QByteArray& data);
/// The zero-length chunk that ends a body in chunked transfer coding.
QByteArray last_transfer_chunk();
/// Status line and headers, including the empty line that ends them.
QByteArray response_head(int status, const std::vector<header_field>& headers);
/// The Retry-After header (whole seconds, rounded up), or none if `why` has no retry delay.
std::vector<header_field> retry_headers(const error& why);

} // namespace nutmegspur::openai_http
