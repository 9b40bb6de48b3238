// Serialization of responses.
#include "answer_format.h"

#include <QtCore/QJsonArray>
#include <QtCore/QJsonDocument>
#include <QtCore/QJsonObject>

namespace nutmegspur::openai_http {
namespace {

constexpr std::int64_t ms_per_second = 1000;

QByteArray
compact(const QJsonObject& it) {
  return QJsonDocument{it}.toJson(QJsonDocument::Compact);
}

QJsonObject
common_fields(const response_identity& it, const char* object) {
  return {{QStringLiteral("id"), QString::fromStdString(it.id)},
          {QStringLiteral("object"), QLatin1String(object)},
          {QStringLiteral("created"), static_cast<qint64>(it.created)},
          {QStringLiteral("model"), QString::fromStdString(it.model)}};
}

const char*
chunk_object(const response_identity& it) {
  return it.format == api_format::chat_completions ? "chat.completion.chunk" : "text_completion";
}

QJsonValue
reason_value(const std::string& reason) {
  return reason.empty() ? QJsonValue{} : QJsonValue{QString::fromStdString(reason)};
}

QJsonObject
usage_object(const token_usage& usage) {
  return {
      {QStringLiteral("prompt_tokens"), static_cast<qint64>(usage.prompt_tokens)},
      {QStringLiteral("completion_tokens"), static_cast<qint64>(usage.output_tokens)},
      {QStringLiteral("total_tokens"),
       static_cast<qint64>(std::int64_t{usage.prompt_tokens} + usage.output_tokens)},
      {QStringLiteral("prompt_tokens_details"),
       QJsonObject{{QStringLiteral("cached_tokens"), static_cast<qint64>(usage.cached_tokens)}}}};
}

const char*
error_type(error_code code) {
  switch (code) {
  case error_code::unauthenticated:
  case error_code::key_withdrawn:
    return "authentication_error";
  case error_code::permission_denied:
    return "permission_error";
  case error_code::overloaded:
    return "rate_limit_error";
  case error_code::invalid_argument:
  case error_code::not_found:
  case error_code::conflict:
  case error_code::too_large:
    return "invalid_request_error";
  default:
    return "server_error";
  }
}

const char*
reason_phrase(int status) {
  switch (status) {
  case 200:
    return "OK";
  case 400:
    return "Bad Request";
  case 401:
    return "Unauthorized";
  case 403:
    return "Forbidden";
  case 404:
    return "Not Found";
  case 409:
    return "Conflict";
  case 413:
    return "Payload Too Large";
  case 429:
    return "Too Many Requests";
  case 503:
    return "Service Unavailable";
  default:
    return "Status";
  }
}

// Replaces CR and LF, so that a header value cannot inject further headers.
QByteArray
header_value(const std::string& value) {
  QByteArray text = QByteArray::fromStdString(value);
  text.replace('\r', ' ').replace('\n', ' ');
  return text;
}

} // namespace

QByteArray
stream_chunk(const response_identity& it, const std::string& text, bool first,
             const std::string& finish_reason) {
  QJsonObject choice{{QStringLiteral("index"), 0},
                     {QStringLiteral("finish_reason"), reason_value(finish_reason)}};
  const QString content = QString::fromStdString(text);
  if (it.format == api_format::chat_completions) {
    QJsonObject delta;
    if (first) {
      delta.insert(QStringLiteral("role"), QStringLiteral("assistant"));
    }
    if (finish_reason.empty()) {
      delta.insert(QStringLiteral("content"), content);
    }
    choice.insert(QStringLiteral("delta"), delta);
  } else {
    choice.insert(QStringLiteral("text"), content);
    choice.insert(QStringLiteral("logprobs"), QJsonValue{});
  }
  QJsonObject chunk = common_fields(it, chunk_object(it));
  chunk.insert(QStringLiteral("choices"), QJsonArray{choice});
  return compact(chunk);
}

QByteArray
usage_chunk(const response_identity& it, const token_usage& usage) {
  QJsonObject chunk = common_fields(it, chunk_object(it));
  chunk.insert(QStringLiteral("choices"), QJsonArray{});
  chunk.insert(QStringLiteral("usage"), usage_object(usage));
  return compact(chunk);
}

QByteArray
completion_document(const response_identity& it, const std::string& text, const token_usage& usage,
                    const std::string& finish_reason) {
  const bool chat = it.format == api_format::chat_completions;
  QJsonObject choice{{QStringLiteral("index"), 0},
                     {QStringLiteral("finish_reason"), reason_value(finish_reason)}};
  if (chat) {
    choice.insert(QStringLiteral("message"),
                  QJsonObject{{QStringLiteral("role"), QStringLiteral("assistant")},
                              {QStringLiteral("content"), QString::fromStdString(text)}});
  } else {
    choice.insert(QStringLiteral("text"), QString::fromStdString(text));
    choice.insert(QStringLiteral("logprobs"), QJsonValue{});
  }
  QJsonObject document = common_fields(it, chat ? "chat.completion" : "text_completion");
  document.insert(QStringLiteral("choices"), QJsonArray{choice});
  document.insert(QStringLiteral("usage"), usage_object(usage));
  return compact(document);
}

QByteArray
error_document(const error& why, const std::string& request) {
  QJsonObject detail{{QStringLiteral("code"), QLatin1String(to_name(why.code).data())},
                     {QStringLiteral("message"), QString::fromStdString(why.message)},
                     {QStringLiteral("type"), QLatin1String(error_type(why.code))},
                     {QStringLiteral("request_id"), QString::fromStdString(request)},
                     {QStringLiteral("ran"), QLatin1String(to_name(why.ran).data())}};
  if (why.retry_after) {
    detail.insert(QStringLiteral("retry_after_ms"), static_cast<qint64>(why.retry_after->count()));
  }
  return compact({{QStringLiteral("error"), detail}});
}

QByteArray
sse_event(const QByteArray& data) {
  return "data: " + data + "\n\n";
}

QByteArray
transfer_chunk(const QByteArray& data) {
  constexpr int hexadecimal = 16;
  return QByteArray::number(data.size(), hexadecimal) + "\r\n" + data + "\r\n";
}

QByteArray
last_transfer_chunk() {
  return "0\r\n\r\n";
}

QByteArray
response_head(int status, const std::vector<header_field>& headers) {
  QByteArray head = "HTTP/1.1 " + QByteArray::number(status) + " " + reason_phrase(status) + "\r\n";
  for (const auto& field : headers) {
    head += QByteArray::fromStdString(field.name) + ": " + header_value(field.value) + "\r\n";
  }
  return head + "\r\n";
}

std::vector<header_field>
retry_headers(const error& why) {
  if (!why.retry_after) {
    return {};
  }
  const std::int64_t retry_seconds = (why.retry_after->count() + ms_per_second - 1) / ms_per_second;
  return {{"retry-after", std::to_string(retry_seconds)}};
}

} // namespace nutmegspur::openai_http
