// Formatting of resources and fields as text.
#include "ctl_output.h"

#include <QtCore/QJsonDocument>
#include <QtCore/QJsonValue>

#include <algorithm>

namespace nutmegspur {

namespace {

constexpr std::size_t column_gap = 2;
constexpr std::size_t shown_digest_chars = 12;

std::string
value_text(const QJsonValue& value) {
  if (value.isArray()) {
    std::string out;
    for (const auto& it : value.toArray()) {
      out += (out.empty() ? "" : ",") + value_text(it);
    }
    return out;
  }
  if (value.isObject()) {
    return QJsonDocument(value.toObject()).toJson(QJsonDocument::Compact).toStdString();
  }
  return value.toVariant().toString().toStdString();
}

std::string
spec_text(const QJsonObject& spec) {
  std::string out;
  for (const auto& name : spec.keys()) {
    std::string text = value_text(spec.value(name));
    if (text.empty()) {
      continue;
    }
    if (name == QLatin1String("secret_sha256")) {
      text = text.substr(0, shown_digest_chars) + "...";
    }
    out += (out.empty() ? "" : " ") + name.toStdString() + "=" + text;
  }
  return out;
}

void
add_fields(std::string& out, const std::string& prefix, const QJsonObject& object) {
  for (const auto& name : object.keys()) {
    const QJsonValue value = object.value(name);
    const std::string full = prefix + name.toStdString();
    if (value.isObject()) {
      add_fields(out, full + ".", value.toObject());
    } else {
      out += full + ": " + value_text(value) + "\n";
    }
  }
}

} // namespace

std::string
format_table(const std::vector<std::vector<std::string>>& rows) {
  std::vector<std::size_t> widths;
  for (const auto& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t n = 0; n < row.size(); ++n) {
      widths[n] = std::max(widths[n], row[n].size());
    }
  }
  std::string out;
  for (const auto& row : rows) {
    std::string line;
    for (std::size_t n = 0; n < row.size(); ++n) {
      line += row[n] + std::string(widths[n] - row[n].size() + column_gap, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    out += line + "\n";
  }
  return out;
}

std::string
resource_table(const QJsonArray& resources) {
  std::vector<std::vector<std::string>> rows{{"KIND", "NAME", "REVISION", "SPEC"}};
  for (const auto& entry : resources) {
    const QJsonObject it = entry.toObject();
    rows.push_back({value_text(it.value("kind")), value_text(it.value("name")),
                    value_text(it.value("revision")), spec_text(it.value("spec").toObject())});
  }
  return format_table(rows);
}

std::string
field_list(const QJsonObject& object) {
  std::string out;
  add_fields(out, "", object);
  return out;
}

} // namespace nutmegspur
