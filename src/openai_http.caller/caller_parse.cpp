// Parsing and validation of callers' requests.
#include "caller_parse.h"

#include <nutmegspur/prefix.h>

#include <QtCore/QCryptographicHash>
#include <QtCore/QJsonArray>
#include <QtCore/QJsonDocument>
#include <QtCore/QJsonObject>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace nutmegspur::openai_http {
namespace {

constexpr std::size_t max_name_bytes = 128;
constexpr std::size_t max_key_bytes = 512;
constexpr std::size_t max_idempotency_key_bytes = 255;
constexpr std::size_t min_searchable_key_bytes = 8;
constexpr std::uint32_t default_max_tokens = 256;
constexpr std::uint32_t max_tokens_limit = 1'000'000;
constexpr std::int64_t max_deadline_ms = 3'600'000;
constexpr std::uint32_t block_tokens = 16;
constexpr int standard_deadline_factor = 2;
constexpr int batch_deadline_factor = 20;

// Body fields that are forwarded to an engine. All others are dropped, so that a caller cannot set
// fields that are reserved for the protocol between instances and engines.
constexpr std::array<const char*, 11> forwarded_fields{
    "messages", "prompt",           "temperature",       "top_p",   "top_k",     "stop",
    "seed",     "presence_penalty", "frequency_penalty", "adapter", "min_tokens"};
// Unsupported fields are rejected: dropping them silently would give a wrong response.
constexpr std::array<const char*, 8> unsupported_fields{
    "tools", "functions", "tool_choice", "function_call", "logprobs", "suffix", "echo", "audio"};
// Headers that may hold credentials; they are never forwarded.
constexpr std::array<std::string_view, 4> credential_headers{"authorization", "proxy-authorization",
                                                             "cookie", "x-api-key"};

error
bad_request(std::string message, error_code code = error_code::invalid_argument) {
  return {code, step::caller_read, "", std::move(message)};
}

std::optional<std::int64_t>
parse_integer(std::string_view text) {
  std::int64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [at, ec] = std::from_chars(text.data(), end, value);
  if (ec != std::errc{} || at != end || text.empty()) {
    return std::nullopt;
  }
  return value;
}

bool
is_printable_ascii(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < '\x7f'; });
}

// The bearer key of the request; empty if there is no Authorization header.
result<std::string>
bearer_key(const raw_request& raw) {
  const std::string value = raw.header("authorization");
  if (value.empty()) {
    return std::string{};
  }
  constexpr std::string_view scheme = "Bearer ";
  const QByteArray head = QByteArray::fromStdString(value.substr(0, scheme.size()));
  const std::string key = value.size() > scheme.size() ? value.substr(scheme.size()) : "";
  if (head.toLower() != "bearer " || key.empty() || key.size() > max_key_bytes ||
      !is_printable_ascii(key)) {
    return fail(bad_request("the Authorization header must be 'Bearer <key>'",
                            error_code::unauthenticated));
  }
  return key;
}

std::string
key_digest(const std::string& key) {
  if (key.empty()) {
    return {};
  }
  return QCryptographicHash::hash(QByteArray::fromStdString(key), QCryptographicHash::Sha256)
      .toHex()
      .toStdString();
}

bool
key_outside_authorization(const raw_request& raw, const std::string& key) {
  if (key.size() < min_searchable_key_bytes) {
    return false;
  }
  const QByteArray needle = QByteArray::fromStdString(key);
  const bool in_header =
      std::any_of(raw.headers.begin(), raw.headers.end(), [&key](const header_field& field) {
        return field.name != "authorization" && field.value.find(key) != std::string::npos;
      });
  return in_header || raw.body.contains(needle) || raw.url.toEncoded().contains(needle) ||
         QByteArray::fromPercentEncoding(raw.url.toEncoded()).contains(needle);
}

result<request_class>
read_class(const raw_request& raw) {
  const std::string name = raw.header("x-request-class");
  if (name.empty()) {
    return request_class::standard;
  }
  if (const auto it = from_name<request_class>(name)) {
    return *it;
  }
  return fail(bad_request("x-request-class must be interactive, standard or batch"));
}

result<milliseconds>
read_deadline(const raw_request& raw, request_class priority, const settings& config) {
  const std::string text = raw.header("x-deadline-ms");
  if (!text.empty()) {
    const auto value = parse_integer(text);
    if (!value || *value < 1 || *value > max_deadline_ms) {
      return fail(bad_request("x-deadline-ms must be a whole number of 1 to 3600000"));
    }
    return milliseconds{*value};
  }
  switch (priority) {
  case request_class::interactive:
    return config.default_deadline;
  case request_class::standard:
    return config.default_deadline * standard_deadline_factor;
  case request_class::batch:
    return config.default_deadline * batch_deadline_factor;
  }
  return config.default_deadline;
}

result<QJsonObject>
read_object(const QByteArray& body) {
  QJsonParseError ec{};
  const QJsonDocument document = QJsonDocument::fromJson(body, &ec);
  if (ec.error != QJsonParseError::NoError) {
    return fail(bad_request("the body is not valid JSON: " + ec.errorString().toStdString() +
                            " at byte " + std::to_string(ec.offset)));
  }
  if (!document.isObject()) {
    return fail(bad_request("the body must be a JSON object"));
  }
  return document.object();
}

result<std::string>
read_name(const QJsonObject& body, const char* field, bool required) {
  const QJsonValue value = body.value(QLatin1String(field));
  const std::string text = value.toString().toStdString();
  const bool absent = value.isUndefined() || value.isNull();
  if (absent && !required) {
    return std::string{};
  }
  if (!value.isString() || text.empty() || text.size() > max_name_bytes) {
    return fail(
        bad_request(std::string{"field '"} + field + "' must be a name of 1 to 128 characters"));
  }
  return text;
}

result<bool>
read_flag(const QJsonObject& body, const char* field) {
  const QJsonValue value = body.value(QLatin1String(field));
  if (!value.isUndefined() && !value.isNull() && !value.isBool()) {
    return fail(bad_request(std::string{"field '"} + field + "' must be true or false"));
  }
  return value.toBool(false);
}

result<std::uint32_t>
read_max_tokens(const QJsonObject& body) {
  QJsonValue value = body.value(QLatin1String("max_completion_tokens"));
  if (value.isUndefined() || value.isNull()) {
    value = body.value(QLatin1String("max_tokens"));
  }
  if (value.isUndefined() || value.isNull()) {
    return default_max_tokens;
  }
  const double n = value.toDouble(0);
  if (!value.isDouble() || n < 1 || n > max_tokens_limit || n != std::floor(n)) {
    return fail(bad_request("field 'max_tokens' must be a whole number of 1 to 1000000"));
  }
  return static_cast<std::uint32_t>(n);
}

bool
is_text_content(const QJsonValue& content) {
  if (content.isString()) {
    return true;
  }
  const QJsonArray parts = content.toArray();
  return content.isArray() && std::all_of(parts.begin(), parts.end(), [](const QJsonValue& part) {
           return part.toObject().value(QLatin1String("text")).isString();
         });
}

result<void>
check_prompt(const QJsonObject& body, api_format format) {
  if (format == api_format::completions) {
    if (!body.value(QLatin1String("prompt")).isString()) {
      return fail(bad_request("field 'prompt' must be a string"));
    }
    return {};
  }
  const QJsonArray messages = body.value(QLatin1String("messages")).toArray();
  const bool valid = !messages.isEmpty() &&
                     std::all_of(messages.begin(), messages.end(), [](const QJsonValue& it) {
                       const QJsonObject message = it.toObject();
                       return message.value(QLatin1String("role")).isString() &&
                              is_text_content(message.value(QLatin1String("content")));
                     });
  if (!valid) {
    return fail(bad_request(
        "field 'messages' must be a list of {\"role\", \"content\"} with text content"));
  }
  return {};
}

result<void>
check_fields(const QJsonObject& body) {
  for (const char* field : unsupported_fields) {
    const QJsonValue value = body.value(QLatin1String(field));
    if (!value.isUndefined() && !value.isNull() && value != QJsonValue(false)) {
      return fail(bad_request(std::string{"field '"} + field + "' is not supported"));
    }
  }
  for (const char* field : {"n", "best_of"}) {
    if (body.value(QLatin1String(field)).toInt(1) != 1) {
      return fail(bad_request(std::string{"field '"} + field + "' must be 1"));
    }
  }
  return {};
}

shared_body
engine_body(const QJsonObject& from, const inference_call& call) {
  QJsonObject to;
  for (const char* field : forwarded_fields) {
    const QJsonValue value = from.value(QLatin1String(field));
    if (!value.isUndefined() && !value.isNull()) {
      to.insert(QLatin1String(field), value);
    }
  }
  to.insert(QStringLiteral("model"), QString::fromStdString(call.model.value));
  to.insert(QStringLiteral("max_tokens"), static_cast<qint64>(call.max_tokens));
  to.insert(QStringLiteral("stream"), true);
  to.insert(QStringLiteral("stream_options"), QJsonObject{{QStringLiteral("include_usage"), true}});
  return std::make_shared<const std::string>(
      QJsonDocument{to}.toJson(QJsonDocument::Compact).toStdString());
}

result<void>
read_inference(const raw_request& raw, api_format format, parsed_request& to) {
  const auto body = read_object(raw.body);
  if (!body) {
    return fail(body.error());
  }
  inference_call call;
  call.format = format;
  const auto model = read_name(*body, "model", true);
  const auto adapter = read_name(*body, "adapter", false);
  const auto stream = read_flag(*body, "stream");
  const auto max_tokens = read_max_tokens(*body);
  for (const auto* why :
       {model ? nullptr : &model.error(), adapter ? nullptr : &adapter.error(),
        stream ? nullptr : &stream.error(), max_tokens ? nullptr : &max_tokens.error()}) {
    if (why != nullptr) {
      return fail(*why);
    }
  }
  if (auto ok = check_prompt(*body, format); !ok) {
    return ok;
  }
  if (auto ok = check_fields(*body); !ok) {
    return ok;
  }
  call.model = model_id{*model};
  call.adapter = *adapter;
  call.stream = *stream;
  call.max_tokens = *max_tokens;
  const std::string prompt = prompt_text(*body, format);
  call.prompt_tokens = estimate_tokens(prompt);
  call.prefix_blocks = hash_prefix_blocks(prompt, "", block_tokens);
  to.stream = call.stream;
  to.include_usage = body->value(QLatin1String("stream_options"))
                         .toObject()
                         .value(QLatin1String("include_usage"))
                         .toBool();
  to.arrived.body = engine_body(*body, call);
  to.arrived.call = std::move(call);
  return {};
}

// Dot segments could escape the path prefix that a route allows.
bool
has_dot_segments(const QString& path) {
  const QStringList segments = path.split(QLatin1Char('/'));
  return segments.contains(QStringLiteral(".")) || segments.contains(QStringLiteral(".."));
}

result<void>
read_service(const raw_request& raw, parsed_request& to) {
  constexpr int prefix_length = 10; // "/services/"
  const QString encoded = raw.url.path(QUrl::FullyEncoded);
  const qsizetype slash = encoded.indexOf(QLatin1Char('/'), prefix_length);
  const QString name = encoded.mid(prefix_length, slash < 0 ? -1 : slash - prefix_length);
  if (name.isEmpty() || has_dot_segments(raw.url.path(QUrl::FullyDecoded)) ||
      encoded.contains(QLatin1String("%2f"), Qt::CaseInsensitive)) {
    return fail(bad_request("the path must be /services/<name>/... without dot segments"));
  }
  service_call call;
  call.service = service_id{name.toStdString()};
  call.method = raw.method;
  call.path = slash < 0 ? "/" : encoded.mid(slash).toStdString();
  if (raw.url.hasQuery()) {
    call.path += "?" + raw.url.query(QUrl::FullyEncoded).toStdString();
  }
  call.idempotency_key = raw.header("idempotency-key");
  if (call.idempotency_key.size() > max_idempotency_key_bytes ||
      !is_printable_ascii(call.idempotency_key)) {
    return fail(
        bad_request("Idempotency-Key must be 1 to 255 printable characters without spaces"));
  }
  for (const auto& field : raw.headers) {
    if (std::find(credential_headers.begin(), credential_headers.end(), field.name) ==
        credential_headers.end()) {
      call.headers.push_back(field);
    }
  }
  to.arrived.body = std::make_shared<const std::string>(raw.body.toStdString());
  to.arrived.call = std::move(call);
  return {};
}

result<void>
read_call(const raw_request& raw, parsed_request& to) {
  const QString path = raw.url.path(QUrl::FullyEncoded);
  if (path.startsWith(QLatin1String("/services/"))) {
    return read_service(raw, to);
  }
  const bool models = path == QLatin1String("/v1/models");
  const bool chat = path == QLatin1String("/v1/chat/completions");
  const bool text_completions = path == QLatin1String("/v1/completions");
  if (!models && !chat && !text_completions) {
    return fail(bad_request("no such path", error_code::not_found));
  }
  if (raw.method != (models ? "GET" : "POST")) {
    return fail(bad_request(std::string{"the method must be "} + (models ? "GET" : "POST")));
  }
  if (models) {
    to.arrived.call = list_models_call{};
    return {};
  }
  return read_inference(raw, chat ? api_format::chat_completions : api_format::completions, to);
}

} // namespace

std::string
raw_request::header(std::string_view name) const {
  const auto it = std::find_if(headers.begin(), headers.end(),
                               [name](const header_field& field) { return field.name == name; });
  return it == headers.end() ? std::string{} : it->value;
}

result<parsed_request>
parse_request(const raw_request& raw, request_id request, const settings& config, time_point now) {
  parsed_request to;
  to.arrived.request = request;
  const auto key = bearer_key(raw);
  if (!key) {
    return fail(key.error());
  }
  if (key_outside_authorization(raw, *key)) {
    return fail(bad_request("the key must be in the Authorization header only"));
  }
  to.arrived.secret_sha256 = key_digest(*key);
  const auto priority = read_class(raw);
  if (!priority) {
    return fail(priority.error());
  }
  to.arrived.priority = *priority;
  const auto timeout = read_deadline(raw, *priority, config);
  if (!timeout) {
    return fail(timeout.error());
  }
  to.arrived.deadline = now + *timeout;
  if (auto ok = read_call(raw, to); !ok) {
    return fail(ok.error());
  }
  return to;
}

} // namespace nutmegspur::openai_http
