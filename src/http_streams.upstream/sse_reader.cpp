// Parsing of server-sent events.
#include "sse_reader.h"

#include <QtCore/QJsonArray>
#include <QtCore/QJsonDocument>
#include <QtCore/QJsonObject>

namespace nutmegspur::http_streams {
namespace {

std::uint32_t
count_of(const QJsonObject& from, const char* field) {
  return static_cast<std::uint32_t>(from.value(QLatin1String(field)).toInteger(0));
}

token_usage
read_usage(const QJsonObject& from) {
  const QJsonObject details = from.value(QLatin1String("prompt_tokens_details")).toObject();
  return {count_of(from, "prompt_tokens"), count_of(from, "completion_tokens"),
          count_of(details, "cached_tokens")};
}

} // namespace

std::vector<attempt_chunk>
sse_reader::feed(const QByteArray& bytes) {
  std::vector<attempt_chunk> chunks;
  unread_ += bytes;
  qsizetype from = 0;
  while (broken_.empty()) {
    const qsizetype end = unread_.indexOf('\n', from);
    if (end < 0) {
      break;
    }
    read_line(unread_.mid(from, end - from), chunks);
    from = end + 1;
  }
  unread_.remove(0, from);
  if (unread_.size() + data_.size() > max_event_bytes) {
    broken_ = "an event of the stream exceeds the size limit";
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
    data_ += line.mid(line.startsWith("data: ") ? prefix + 1 : prefix);
    return;
  }
  if (line.isEmpty() && !data_.isEmpty()) {
    const QByteArray data = std::exchange(data_, QByteArray{});
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
    broken_ = "an event of the stream is not a JSON object";
    return;
  }
  const QJsonObject event = document.object();
  if (event.contains(QLatin1String("error"))) {
    broken_ = "the engine reported: " + event.value(QLatin1String("error"))
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
  const bool silent = text.toString().isEmpty();
  const QJsonValue offset = event.value(QLatin1String("x_offset"));
  const QJsonValue tokens = event.value(QLatin1String("x_tokens"));
  attempt_chunk chunk;
  chunk.attempt = attempt_;
  chunk.offset = offset.isDouble() ? static_cast<std::uint64_t>(offset.toInteger()) : next_offset_;
  chunk.tokens = tokens.isDouble() ? static_cast<std::uint32_t>(tokens.toInteger())
                 : silent          ? 0
                                   : 1;
  if (chunk.tokens == 0 && silent) {
    return; // Carries only a role or a finish reason.
  }
  chunk.text = text.toString().toStdString();
  next_offset_ = std::max(next_offset_, chunk.offset + chunk.tokens);
  to.push_back(std::move(chunk));
}

} // namespace nutmegspur::http_streams
