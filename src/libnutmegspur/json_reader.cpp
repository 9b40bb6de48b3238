// Strict reading of the fields of JSON objects.
#include <nutmegspur/json_reader.h>
#include <nutmegspur/records.h>

#include <QtCore/QJsonDocument>

#include <algorithm>
#include <cmath>

namespace nutmegspur {

namespace {

error
invalid(std::string message) {
  return {error_code::invalid_argument, step::config_read, "", std::move(message)};
}

} // namespace

QString
to_qt(std::string_view text) {
  return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
}

result<QJsonObject>
parse_json_object(std::string_view json, std::string_view what) {
  const QByteArray bytes(json.data(), static_cast<qsizetype>(json.size()));
  QJsonParseError ec{};
  const QJsonDocument document = QJsonDocument::fromJson(bytes, &ec);
  const std::string prefix{what};
  if (ec.error != QJsonParseError::NoError) {
    return fail(invalid(prefix + ": not JSON: " + ec.errorString().toStdString() + " at byte " +
                        std::to_string(ec.offset)));
  }
  if (!document.isObject()) {
    return fail(invalid(prefix + ": must be a JSON object"));
  }
  return document.object();
}

std::string
compact_json(const QJsonObject& object) {
  return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

QJsonValue
json_reader::request_field(const char* name) {
  requested_.insert(name);
  return object_.value(QLatin1String(name));
}

void
json_reader::reject(const char* name, const std::string& why) {
  if (!first_error_) {
    first_error_ = invalid(what_ + ": field '" + name + "' " + why);
  }
}

std::string
json_reader::text(const char* name, std::string_view fallback, std::size_t max_bytes) {
  const QJsonValue value = request_field(name);
  if (value.isUndefined()) {
    return std::string{fallback};
  }
  if (!value.isString()) {
    reject(name, "must be a string");
    return {};
  }
  std::string out = value.toString().toStdString();
  if (out.size() > max_bytes) {
    reject(name, "must be at most " + std::to_string(max_bytes) + " bytes long");
  }
  return out;
}

std::string
json_reader::required_text(const char* name, std::size_t max_bytes) {
  if (!has(name)) {
    requested_.insert(name);
    reject(name, "is missing");
    return {};
  }
  return text(name, "", max_bytes);
}

std::string
json_reader::name(const char* field, bool required) {
  std::string out = required ? required_text(field) : text(field, "");
  if (out.empty() && !required) {
    return out;
  }
  if (const auto ok = check_resource_name(out); !ok) {
    reject(field, "is not a valid name: " + ok.error().message);
  }
  return out;
}

std::vector<std::string>
json_reader::names(const char* field) {
  const QJsonValue value = request_field(field);
  std::vector<std::string> out;
  if (value.isUndefined()) {
    return out;
  }
  if (!value.isArray()) {
    reject(field, "must be a list of names");
    return out;
  }
  for (const auto& it : value.toArray()) {
    std::string text = it.toString().toStdString();
    if (!it.isString() || !check_resource_name(text)) {
      reject(field, "must be a list of names of [a-z0-9._-]");
      return out;
    }
    if (std::find(out.begin(), out.end(), text) != out.end()) {
      reject(field, "contains '" + text + "' twice");
      return out;
    }
    out.push_back(std::move(text));
  }
  return out;
}

std::int64_t
json_reader::integer(const char* name, std::int64_t fallback, std::int64_t min_value,
                     std::int64_t max_value) {
  const QJsonValue value = request_field(name);
  if (value.isUndefined()) {
    return fallback;
  }
  const double number = value.toDouble(std::nan(""));
  const bool is_integer = value.isDouble() && std::floor(number) == number;
  if (!is_integer || number < static_cast<double>(min_value) ||
      number > static_cast<double>(max_value)) {
    reject(name, "must be an integer from " + std::to_string(min_value) + " to " +
                     std::to_string(max_value));
    return fallback;
  }
  return static_cast<std::int64_t>(number);
}

bool
json_reader::boolean(const char* name, bool fallback) {
  const QJsonValue value = request_field(name);
  if (value.isUndefined()) {
    return fallback;
  }
  if (!value.isBool()) {
    reject(name, "must be true or false");
    return fallback;
  }
  return value.toBool();
}

QJsonObject
json_reader::required_object(const char* name) {
  const QJsonValue value = request_field(name);
  if (!value.isObject()) {
    reject(name, value.isUndefined() ? "is missing" : "must be an object");
    return {};
  }
  return value.toObject();
}

result<void>
json_reader::finish() const {
  if (first_error_) {
    return fail(*first_error_);
  }
  for (const auto& field : object_.keys()) {
    if (!requested_.contains(field.toStdString())) {
      return fail(invalid(what_ + ": unknown field '" + field.toStdString() + "'"));
    }
  }
  return {};
}

} // namespace nutmegspur
