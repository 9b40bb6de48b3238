/// \file answer_format.h
/// The bytes of answers: the OpenAI-compatible JSON, server-sent events and HTTP framing.
#pragma once

#include <nutmegspur/request.h>

#include <QtCore/QByteArray>

#include <cstdint>
#include <string>
#include <vector>

namespace nutmegspur::openai_http {

/// What all parts of one answer share.
struct answer_identity {
  api_format format = api_format::chat_completions;
  std::string id; ///< For example "chatcmpl-entry1-17".
  std::string model;
  std::int64_t created = 0; ///< Seconds since 1970, UTC.
};

/// One chunk of a stream. Empty `finish_reason` for all but the last.
QByteArray stream_chunk(const answer_identity& it, const std::string& text, bool first,
                        const std::string& finish_reason);
/// The chunk that tells the usage at the end of a stream.
QByteArray usage_chunk(const answer_identity& it, const token_usage& usage);
/// The whole answer as one document.
QByteArray whole_answer(const answer_identity& it, const std::string& text,
                        const token_usage& usage, const std::string& finish_reason);
/// The error document. `request` is what the caller sees as the request's id.
QByteArray error_document(const error& why, const std::string& request);

/// A server-sent event with `data` as its one line.
QByteArray sse_event(const QByteArray& data);
/// A part of a body in chunked transfer coding.
QByteArray transfer_chunk(const QByteArray& data);
/// The end of a body in chunked transfer coding.
QByteArray last_transfer_chunk();
/// Status line and headers, up to the empty line.
QByteArray response_head(int status, const std::vector<header_field>& headers);
/// The Retry-After header of `why`, if it has one: whole seconds, rounded up.
std::vector<header_field> retry_headers(const error& why);

} // namespace nutmegspur::openai_http
