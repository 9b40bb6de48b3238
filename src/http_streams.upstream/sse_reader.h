/// \file sse_reader.h
/// Reads an engine's server-sent events into chunks with offsets.
#pragma once

#include <nutmegspur/request.h>

#include <QtCore/QByteArray>

#include <cstdint>
#include <string>
#include <vector>

class QJsonObject;

namespace nutmegspur::http_streams {

/// The reader of one attempt's stream. Bytes may be cut anywhere.
class sse_reader {
 public:
  /// Longest event accepted, in bytes.
  static constexpr qsizetype max_event_bytes = 1024L * 1024;

  /// `resume_from` is the offset at which the stream is to begin.
  sse_reader(attempt_id attempt, std::uint64_t resume_from)
      : attempt_(attempt), next_offset_(resume_from) {}

  /// Reads on; the chunks that became whole. After an error nothing more is read.
  std::vector<attempt_chunk> feed(const QByteArray& bytes);

  /// The stream said that it is whole.
  [[nodiscard]] bool done() const { return done_; }

  /// What is wrong with the stream; empty if nothing is.
  [[nodiscard]] const std::string& broken() const { return broken_; }

  [[nodiscard]] const token_usage& usage() const { return usage_; }

  [[nodiscard]] const std::string& finish_reason() const { return finish_reason_; }

  /// The position after the last chunk.
  [[nodiscard]] std::uint64_t end_offset() const { return next_offset_; }

 private:
  void read_line(QByteArray line, std::vector<attempt_chunk>& to);
  void read_event(const QByteArray& data, std::vector<attempt_chunk>& to);
  void read_choice(const QJsonObject& event, std::vector<attempt_chunk>& to);

  attempt_id attempt_;
  std::uint64_t next_offset_;
  QByteArray unread_;
  QByteArray data_; ///< Of the event that is coming in.
  token_usage usage_;
  std::string finish_reason_;
  std::string broken_;
  bool done_ = false;
};

} // namespace nutmegspur::http_streams
