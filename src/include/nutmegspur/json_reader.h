/// \file json_reader.h
/// Strict reading of a JSON object. Fields are requested by name; a field that was not requested,
/// has the wrong type or is out of range results in an error that names it.
#pragma once

#include <nutmegspur/clock.h>
#include <nutmegspur/error.h>
#include <nutmegspur/ids.h>

#include <QtCore/QJsonArray>
#include <QtCore/QJsonObject>
#include <QtCore/QJsonValue>
#include <QtCore/QString>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegspur {

/// The largest integer that JSON numbers (doubles) represent exactly.
inline constexpr std::int64_t max_json_integer = (std::int64_t{1} << 53) - 1;

/// Converts from UTF-8.
QString to_qt(std::string_view text);

/// Parses `json` as one object. An error message starts with `what`.
result<QJsonObject> parse_json_object(std::string_view json, std::string_view what);

/// The object as compact JSON.
std::string compact_json(const QJsonObject& object);

/// Reads the fields of one object and keeps the first error, so that a parse function reads all its
/// fields without checks and calls `finish()` once at the end.
class json_reader {
 public:
  /// Each error message starts with `what`, for example "team 'thun'".
  json_reader(const QJsonObject& object, std::string what)
      : object_(object), what_(std::move(what)) {}

  [[nodiscard]] bool has(const char* name) const { return object_.contains(QLatin1String(name)); }

  /// A string of at most `max_bytes` bytes. `fallback` if the field is absent.
  std::string text(const char* name, std::string_view fallback, std::size_t max_bytes = 256);
  /// A string. The field is required.
  std::string required_text(const char* name, std::size_t max_bytes = 256);
  /// A resource name. May be absent or empty if not `required`; returns an empty string then.
  std::string name(const char* field, bool required);
  /// A list of distinct resource names. Empty if the field is absent.
  std::vector<std::string> names(const char* field);
  /// An integer in [min_value, max_value]. `fallback` if the field is absent.
  std::int64_t integer(const char* name, std::int64_t fallback, std::int64_t min_value,
                       std::int64_t max_value);
  /// A Boolean. `fallback` if the field is absent.
  bool boolean(const char* name, bool fallback);
  /// A nested object. The field is required.
  QJsonObject required_object(const char* name);

  /// Records an error for field `name`, unless one has been recorded.
  void reject(const char* name, const std::string& why);

  /// The first error, if any. A field that was not requested is an error, too.
  [[nodiscard]] result<void> finish() const;

 private:
  QJsonValue request_field(const char* name);

  QJsonObject object_;
  std::string what_;
  std::set<std::string> requested_;
  std::optional<error> first_error_;
};

} // namespace nutmegspur
