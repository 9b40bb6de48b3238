/// \file json_reader.h
/// Reads the fields of one JSON object strictly: each field is asked for by name, and whatever was
/// not asked for, has the wrong type or is out of range gives an error that names the field.
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

/// Largest whole number that JSON carries without loss.
inline constexpr std::int64_t max_json_integer = (std::int64_t{1} << 53) - 1;

/// The string as Qt holds it.
QString to_qt(std::string_view text);

/// Parses `json` as one object. `what` begins the error's message.
result<QJsonObject> parse_json_object(std::string_view json, std::string_view what);

/// The object as compact JSON.
std::string compact_json(const QJsonObject& object);

/// Collects the first error, so that a parse function reads its fields in a straight line and asks
/// `finish()` once at the end.
class json_reader {
 public:
  /// `what` begins each message, for example "team 'thun'".
  json_reader(const QJsonObject& object, std::string what)
      : object_(object), what_(std::move(what)) {}

  [[nodiscard]] bool has(const char* name) const { return object_.contains(QLatin1String(name)); }

  /// A string of at most `most` bytes. Without the field, `fallback`.
  std::string text(const char* name, std::string_view fallback, std::size_t max_bytes = 256);
  /// A string that must be there.
  std::string required_text(const char* name, std::size_t max_bytes = 256);
  /// A resource's name, or empty where the field is absent or empty and not `required`.
  std::string name(const char* field, bool required);
  /// Names, none of them empty, none twice.
  std::vector<std::string> names(const char* field);
  /// A whole number of [least, most]. Without the field, `fallback`.
  std::int64_t integer(const char* name, std::int64_t fallback, std::int64_t min_value,
                       std::int64_t max_value);
  /// True or false. Without the field, `fallback`.
  bool boolean(const char* name, bool fallback);
  /// A nested object that must be there.
  QJsonObject required_object(const char* name);

  /// Notes an error for field `name`, unless there is one already.
  void reject(const char* name, const std::string& why);

  /// The first error, if any; also where a field was present that nobody asked for.
  [[nodiscard]] result<void> finish() const;

 private:
  QJsonValue request_field(const char* name);

  QJsonObject object_;
  std::string what_;
  std::set<std::string> requested_;
  std::optional<error> first_error_;
};

} // namespace nutmegspur
