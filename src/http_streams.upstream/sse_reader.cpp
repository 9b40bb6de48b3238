// Parsing of server-sent events.
#include "sse_reader.h"

#include <QtCore/QJsonArray>
#include <QtCore/QJsonDocument>
#include <QtCore/QJsonObject>

namespace nutmegspur::http_streams {
namespace {

std::uint32_t
token_count(const QJsonObject& from, const char* field) {
  return static_cast<std::uint32_t>(from.value(QLatin1String(field)).toInteger(0));
}

token_usage
read_usage(const QJsonObject& from) {
  const QJsonObject details = from.value(QLatin1String("prompt_tokens_details")).toObject();
  return {token_count(from, "prompt_tokens"), token_count(from, "completion_tokens"),
          token_count(details, "cached_tokens")};
}

} // namespace

std::vector<attempt_chunk>
sse_reader::feed(const QByteArray& bytes) {
  std::vector<attempt_chunk> chunks;
  buffer_ += bytes;
  qsizetype from = 0;
  while (stream_error_.empty()) {
    const qsizetype end = buffer_.indexOf('\n', from);
    if (end < 0) {
      break;
    }
    read_line(buffer_.mid(from, end - from), chunks);
    from = end + 1;
  }
  buffer_.remove(0, from);
  if (buffer_.size() + event_data_.size() > max_event_bytes) {
    stream_error_ = "an event of the stream exceeds the size limit";
  }
  return chunks;
}

void
sse_reader::read_line(QByteArray line, std::vector<attempt_chunk>& to) {
  if (line.endsWith('\r')) {
    line.chop(1);
  }
  constexpr qsizetype prefix = 5;
  if (line.startsWith("data:")) {
    event_data_ += line.mid(line.startsWith("data: ") ? prefix + 1 : prefix);
    return;
  }
  if (line.isEmpty() && !event_data_.isEmpty()) {
    const QByteArray data = std::exchange(event_data_, QByteArray{});
    read_event(data, to);
  }
}

void
sse_reader::read_event(const QByteArray& data, std::vector<attempt_chunk>& to) {
  if (data == "[DONE]") {
    done_ = true;
    return;
  }
  const QJsonDocument document = QJsonDocument::fromJson(data);
  if (!document.isObject()) {
    stream_error_ = "an event of the stream is not a JSON object";
    return;
  }
  const QJsonObject event = document.object();
  if (event.contains(QLatin1String("error"))) {
    stream_error_ = "the engine reported: " + event.value(QLatin1String("error"))
                                                  .toObject()
                                                  .value(QLatin1String("message"))
                                                  .toString()
                                                  .toStdString();
    return;
  }
  if (event.value(QLatin1String("usage")).isObject()) {
    usage_ = read_usage(event.value(QLatin1String("usage")).toObject());
  }
  read_choice(event, to);
}

void
sse_reader::read_choice(const QJsonObject& event, std::vector<attempt_chunk>& to) {
  const QJsonArray choices = event.value(QLatin1String("choices")).toArray();
  if (choices.isEmpty()) {
    return;
  }
  const QJsonObject choice = choices.first().toObject();
  const QString reason = choice.value(QLatin1String("finish_reason")).toString();
  if (!reason.isEmpty()) {
    finish_reason_ = reason.toStdString();
  }
  QJsonValue text = choice.value(QLatin1String("text"));
  if (!text.isString()) {
    text = choice.value(QLatin1String("delta")).toObject().value(QLatin1String("content"));
  }
  const bool empty_text = text.toString().isEmpty();
  const QJsonValue offset = event.value(QLatin1String("x_offset"));
  const QJsonValue tokens = event.value(QLatin1String("x_tokens"));
  attempt_chunk chunk;
  chunk.attempt = attempt_;
  chunk.offset = offset.isDouble() ? static_cast<std::uint64_t>(offset.toInteger()) : next_offset_;
  chunk.tokens = tokens.isDouble() ? static_cast<std::uint32_t>(tokens.toInteger())
                 : empty_text      ? 0
                                   : 1;
  if (chunk.tokens == 0 && empty_text) {
    return; // Carries only a role or a finish reason.
  }
  chunk.text = text.toString().toStdString();
  next_offset_ = std::max(next_offset_, chunk.offset + chunk.tokens);
  to.push_back(std::move(chunk));
}

} // namespace nutmegspur::http_streams
