/// \file sse_reader.h
/// Parses an engine's server-sent events into chunks with token offsets.
#pragma once

#include <nutmegspur/request.h>

#include <QtCore/QByteArray>

#include <cstdint>
#include <string>
#include <vector>

class QJsonObject;

namespace nutmegspur::http_streams {

/// Incremental parser for the stream of one attempt. Input may be split at any byte.
class sse_reader {
 public:
  /// Longest event accepted, in bytes.
  static constexpr qsizetype max_event_bytes = 1024L * 1024;

  /// `resume_from` is the token offset at which the stream begins.
  sse_reader(attempt_id attempt, std::uint64_t resume_from)
      : attempt_(attempt), next_offset_(resume_from) {}

  /// Parses further input and returns the completed chunks. After an error, input is ignored.
  std::vector<attempt_chunk> feed(const QByteArray& bytes);

  /// True once the stream ended with `[DONE]`.
  [[nodiscard]] bool done() const { return done_; }

  /// Message of the first error; empty if there is none.
  [[nodiscard]] const std::string& stream_error() const { return stream_error_; }

  [[nodiscard]] const token_usage& usage() const { return usage_; }

  [[nodiscard]] const std::string& finish_reason() const { return finish_reason_; }

  /// The token offset after the last chunk.
  [[nodiscard]] std::uint64_t end_offset() const { return next_offset_; }

 private:
  void read_line(QByteArray line, std::vector<attempt_chunk>& to);
  void read_event(const QByteArray& data, std::vector<attempt_chunk>& to);
  void read_choice(const QJsonObject& event, std::vector<attempt_chunk>& to);

  attempt_id attempt_;
  std::uint64_t next_offset_;
  QByteArray buffer_;
  QByteArray event_data_; ///< Data lines of the incomplete event.
  token_usage usage_;
  std::string finish_reason_;
  std::string stream_error_;
  bool done_ = false;
};

} // namespace nutmegspur::http_streams
