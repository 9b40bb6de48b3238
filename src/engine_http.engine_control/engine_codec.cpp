// JSON documents of the engines' control interface.
#include "engine_codec.h"

#include <QtCore/QJsonArray>
#include <QtCore/QJsonDocument>
#include <QtCore/QJsonObject>

#include <algorithm>
#include <limits>

namespace nutmegspur::engine_http {

namespace {

constexpr int hexadecimal = 16;

QString
to_qt(const std::string& text) {
  return QString::fromStdString(text);
}

std::uint32_t
to_count(const QJsonObject& json, const char* name) {
  const qint64 max = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(
      std::clamp<qint64>(json[QLatin1String(name)].toInteger(), 0, max));
}

std::vector<std::uint64_t>
to_blocks(const QJsonObject& json, const char* name) {
  std::vector<std::uint64_t> blocks;
  for (const auto& it : json[QLatin1String(name)].toArray()) {
    bool ok = false;
    const auto block = it.toString().toULongLong(&ok, hexadecimal);
    if (ok) {
      blocks.push_back(block);
    }
  }
  return blocks;
}

} // namespace

QByteArray
encode_order(const engine_order& order) {
  QJsonArray adapters;
  for (const auto& it : order.wanted.adapters) {
    adapters.append(to_qt(it));
  }
  const std::string role{to_name(order.wanted.role)};
  const QJsonObject body{{"fence", qint64{order.authority.value}},
                         {"sequence", static_cast<qint64>(order.sequence)},
                         {"role", to_qt(role)},
                         {"model", to_qt(order.wanted.model.value)},
                         {"version", to_qt(order.wanted.version)},
                         {"adapters", adapters}};
  return QJsonDocument{body}.toJson(QJsonDocument::Compact);
}

std::optional<report_page>
decode_report(const upstream_id& upstream, const QByteArray& body, const moment& asked_at) {
  const QJsonObject json = QJsonDocument::fromJson(body).object();
  const auto role = from_name<engine_role>(json["role"].toString().toStdString());
  if (!role || !json["last_sequence"].isDouble() || !json["changing"].isBool()) {
    return std::nullopt;
  }
  report_page page;
  engine_report& it = page.report;
  it.upstream = upstream;
  it.highest_fence = fence{json["highest_fence"].toInteger()};
  it.last_sequence =
      static_cast<std::uint64_t>(std::max<qint64>(0, json["last_sequence"].toInteger()));
  it.changing = json["changing"].toBool();
  it.state.role = *role;
  it.state.model = model_id{json["model"].toString().toStdString()};
  it.state.version = json["version"].toString().toStdString();
  for (const auto& adapter : json["adapters"].toArray()) {
    it.state.adapters.push_back(adapter.toString().toStdString());
  }
  it.load.running = to_count(json, "running");
  it.load.waiting = to_count(json, "waiting");
  it.load.waiting_tokens = to_count(json, "waiting_tokens");
  it.load.free_blocks = to_count(json, "free_blocks");
  it.load.total_blocks = to_count(json, "total_blocks");
  it.measured = asked_at.after(-milliseconds{to_count(json, "age_ms")});
  page.leaving = json["leaving"].toBool();
  page.notice = seconds{to_count(json, "notice_seconds")};
  return page;
}

std::vector<cache_event>
decode_cache_events(const upstream_id& upstream, const QByteArray& body) {
  std::vector<cache_event> events;
  for (const auto& it : QJsonDocument::fromJson(body).object()["events"].toArray()) {
    const QJsonObject json = it.toObject();
    const qint64 number = json["number"].toInteger();
    if (number > 0) {
      events.push_back({upstream, static_cast<std::uint64_t>(number), to_blocks(json, "stored"),
                        to_blocks(json, "removed")});
    }
  }
  return events;
}

} // namespace nutmegspur::engine_http
