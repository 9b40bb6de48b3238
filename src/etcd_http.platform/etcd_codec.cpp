// Encoding and decoding of platform operations.
#include "etcd_codec.h"

#include <QtCore/QDateTime>
#include <QtCore/QJsonArray>
#include <QtCore/QJsonDocument>
#include <QtCore/QJsonObject>

namespace nutmegspur::etcd_http {

namespace {

constexpr int status_conflict = 409;
constexpr int status_not_found = 404;
constexpr int status_too_many_requests = 429;
constexpr int status_server_error = 500;

template <class... F> struct overloaded : F... { using F::operator()...; };

template <class... F> overloaded(F...) -> overloaded<F...>;

QString
base64(std::string_view bytes) {
  return QString::fromLatin1(
      QByteArray::fromRawData(bytes.data(), static_cast<qsizetype>(bytes.size())).toBase64());
}

std::string
from_base64(const QJsonValue& value) {
  return QByteArray::fromBase64(value.toString().toLatin1()).toStdString();
}

QString
to_text(std::int64_t n) {
  return QString::number(n);
}

QString
to_text(const std::string& text) {
  return QString::fromStdString(text);
}

// The JSON gateway writes 64-bit numbers as strings.
std::int64_t
to_number(const QJsonValue& value) {
  return value.isString() ? value.toString().toLongLong() : value.toInteger();
}

QByteArray
compact(const QJsonObject& json) {
  return QJsonDocument(json).toJson(QJsonDocument::Compact);
}

http_call
read_call(std::string_view kind, const char* path, const QJsonObject& body) {
  return {kind, "POST", path, compact(body)};
}

http_call
write_call(std::string_view kind, const QByteArray& path, const QJsonObject& body) {
  http_call call{kind, "POST", path, compact(body)};
  call.one_shot = true;
  return call;
}

http_call
encode_range(const kv_range& it) {
  QJsonObject body{{"key", base64(it.from)}, {"limit", to_text(it.limit)}};
  if (!it.to.empty()) {
    body["range_end"] = base64(it.to);
  }
  if (it.at.value != 0) {
    body["revision"] = to_text(it.at.value);
  }
  return read_call("range", "/v3/kv/range", body);
}

QJsonObject
encode_write(const kv_write& it) {
  if (!it.value) {
    return {{"request_delete_range", QJsonObject{{"key", base64(it.key)}}}};
  }
  QJsonObject put{{"key", base64(it.key)}, {"value", base64(*it.value)}};
  if (!it.lease.empty()) {
    put["lease"] = to_text(static_cast<std::int64_t>(it.lease.value));
  }
  return {{"request_put", put}};
}

http_call
encode_txn(const kv_txn& it) {
  QJsonArray conditions;
  for (const auto& condition : it.conditions) {
    conditions.append(QJsonObject{{"key", base64(condition.key)},
                                  {"target", "MOD"},
                                  {"result", "EQUAL"},
                                  {"mod_revision", to_text(condition.modified.value)}});
  }
  QJsonArray writes;
  for (const auto& write : it.writes) {
    writes.append(encode_write(write));
  }
  return write_call("txn", "/v3/kv/txn", {{"compare", conditions}, {"success", writes}});
}

http_call
encode_upstream_order(const upstream_order& it) {
  const QByteArray zone = QByteArray::fromStdString(it.zone.value).toPercentEncoding();
  http_call call = write_call("upstream_order", "/v1/zones/" + zone + "/upstream-orders",
                              {{"kind", to_text(it.kind)},
                               {"wanted", static_cast<qint64>(it.wanted)},
                               {"fence", to_text(it.authority.value)},
                               {"order", to_text(static_cast<std::int64_t>(it.order))}});
  call.idempotency_key =
      QByteArray::fromStdString(it.zone.value + "/" + it.kind + "/" + std::to_string(it.order));
  return call;
}

http_call
encode_usage(const usage_report& it) {
  const auto data = QJsonDocument::fromJson(QByteArray::fromStdString(to_json(it.record))).object();
  const auto start = QDateTime::fromSecsSinceEpoch(it.record.window_start, Qt::UTC);
  http_call call = write_call("usage_report", "/v1/usage",
                              {{"specversion", "1.0"},
                               {"id", to_text(it.id)},
                               {"source", to_text("nutmegspur/" + it.record.zone.value)},
                               {"type", "nutmegspur.usage.v1"},
                               {"time", start.toString(Qt::ISODate)},
                               {"datacontenttype", "application/json"},
                               {"data", data}});
  call.content_type = "application/cloudevents+json";
  return call;
}

http_call
encode_lease(std::string_view kind, const char* path, lease_id lease) {
  return write_call(kind, path, {{"ID", to_text(static_cast<std::int64_t>(lease.value))}});
}

http_call
encode_grant(const lease_grant& it) {
  return write_call("lease_grant", "/v3/lease/grant", {{"TTL", to_text(it.ttl.count())}});
}

http_call
encode_list() {
  http_call call{"list_instances", "GET", "/apis/discovery.k8s.io/v1/endpointslices", {}};
  return call;
}

revision
header_revision(const QJsonObject& json) {
  return {to_number(json["header"].toObject()["revision"])};
}

kv_range_reply
decode_range(const QJsonObject& json) {
  kv_range_reply reply;
  for (const auto& item : json["kvs"].toArray()) {
    const QJsonObject it = item.toObject();
    reply.pairs.push_back({from_base64(it["key"]),
                           from_base64(it["value"]),
                           {to_number(it["create_revision"])},
                           {to_number(it["mod_revision"])}});
  }
  reply.more = json["more"].toBool();
  reply.store = header_revision(json);
  return reply;
}

// The response to a keep-alive is a stream of one message, wrapped in "result".
lease_reply
decode_lease(const QJsonObject& json) {
  const QJsonObject it = json.contains("result") ? json["result"].toObject() : json;
  return {{static_cast<std::uint64_t>(to_number(it["ID"]))}, seconds{to_number(it["TTL"])}};
}

error
status_error(int status, const QByteArray& body) {
  error ec{error_code::internal, step::platform_call, "platform", "", outcome::not_run};
  const QJsonObject json = QJsonDocument::fromJson(body).object();
  ec.message = "status " + std::to_string(status) + ": " +
               json[json.contains("message") ? "message" : "error"].toString().toStdString();
  if (status == status_conflict) {
    ec.code = error_code::conflict;
  } else if (status == status_not_found) {
    ec.code = error_code::not_found;
  } else if (status == status_too_many_requests) {
    ec.code = error_code::overloaded;
    ec.retry_after = seconds{1};
  } else if (status >= status_server_error) {
    // The gateway also responds with 5xx when a write was proposed and its outcome is not known.
    ec.code = error_code::unavailable;
    ec.ran = outcome::unknown;
    ec.retry_after = seconds{1};
  } else {
    ec.code = error_code::invalid_argument;
  }
  return ec;
}

tl::unexpected<error>
malformed_error(const char* what) {
  return fail({error_code::internal, step::platform_call, "platform",
               std::string{"malformed "} + what, outcome::unknown});
}

listed_instance
decode_endpoint(const QJsonObject& slice, const QJsonObject& endpoint) {
  const QJsonObject labels = slice["metadata"].toObject()["labels"].toObject();
  listed_instance it;
  it.name = endpoint["targetRef"].toObject()["name"].toString().toStdString();
  it.zone = zone_id{endpoint["zone"].toString().toStdString()};
  it.region = labels["nutmegspur/region"].toString().toStdString();
  it.address = endpoint["addresses"].toArray().at(0).toString().toStdString();
  it.port = static_cast<std::uint16_t>(slice["ports"].toArray().at(0)["port"].toInt());
  it.service = labels["kubernetes.io/service-name"].toString().toStdString();
  it.leaving = endpoint["conditions"].toObject()["terminating"].toBool();
  return it;
}

} // namespace

http_call
encode(const platform_request& request) {
  return std::visit(overloaded{
                        [](const kv_range& it) { return encode_range(it); },
                        [](const kv_txn& it) { return encode_txn(it); },
                        [](const lease_grant& it) { return encode_grant(it); },
                        [](const lease_keep_alive& it) {
                          return encode_lease("lease_keep_alive", "/v3/lease/keepalive", it.lease);
                        },
                        [](const lease_revoke& it) {
                          return encode_lease("lease_revoke", "/v3/lease/revoke", it.lease);
                        },
                        [](const watch_start& it) {
                          return http_call{"watch_start", "POST", "/v3/watch", encode_watch(it)};
                        },
                        [](const watch_stop&) { return http_call{"watch_stop"}; },
                        [](const list_instances&) { return encode_list(); },
                        [](const upstream_order& it) { return encode_upstream_order(it); },
                        [](const usage_report& it) { return encode_usage(it); },
                    },
                    request);
}

QByteArray
encode_watch(const watch_start& request) {
  QJsonObject create{{"key", base64(request.from)},
                     {"start_revision", to_text(request.since.value)},
                     {"progress_notify", true}};
  if (!request.to.empty()) {
    create["range_end"] = base64(request.to);
  }
  return compact({{"create_request", create}});
}

result<platform_answer>
decode(const platform_request& request, int status, const QByteArray& body) {
  const bool is_lease_call = std::holds_alternative<lease_keep_alive>(request) ||
                             std::holds_alternative<lease_revoke>(request);
  if (status == status_not_found && is_lease_call) {
    return lease_reply{};
  }
  if (status / 100 != 2) {
    return fail(status_error(status, body));
  }
  if (std::holds_alternative<upstream_order>(request) ||
      std::holds_alternative<usage_report>(request)) {
    return accepted_reply{};
  }
  const QJsonObject json = QJsonDocument::fromJson(body).object();
  if (json.isEmpty()) {
    return malformed_error("answer");
  }
  if (std::holds_alternative<kv_range>(request)) {
    return decode_range(json);
  }
  if (std::holds_alternative<kv_txn>(request)) {
    return kv_txn_reply{json["succeeded"].toBool(), header_revision(json)};
  }
  if (std::holds_alternative<list_instances>(request)) {
    return json["items"].isArray()
               ? result<platform_answer>{instances_reply{decode_instances(body)}}
               : malformed_error("instance list");
  }
  if (std::holds_alternative<lease_revoke>(request)) {
    return lease_reply{};
  }
  return decode_lease(json);
}

result<watch_message>
decode_watch(const QByteArray& line) {
  const QJsonObject json = QJsonDocument::fromJson(line).object()["result"].toObject();
  if (json.isEmpty()) {
    return malformed_error("watch message");
  }
  watch_message message;
  message.created = json["created"].toBool();
  message.cancelled = json["canceled"].toBool();
  message.compacted = to_number(json["compact_revision"]) != 0;
  message.store = header_revision(json);
  for (const auto& item : json["events"].toArray()) {
    const QJsonObject it = item.toObject();
    const QJsonObject pair = it["kv"].toObject();
    kv_change change{from_base64(pair["key"]),
                     std::nullopt,
                     {to_number(pair["create_revision"])},
                     {to_number(pair["mod_revision"])}};
    if (it["type"].toString() != "DELETE") {
      change.value = from_base64(pair["value"]);
    }
    message.changes.push_back(std::move(change));
  }
  return message;
}

std::vector<listed_instance>
decode_instances(const QByteArray& body) {
  std::vector<listed_instance> found;
  for (const auto& item : QJsonDocument::fromJson(body).object()["items"].toArray()) {
    const QJsonObject slice = item.toObject();
    const QString kind_name =
        slice["metadata"].toObject()["labels"].toObject()["nutmegspur/kind"].toString();
    const auto kind = from_name<instance_kind>(kind_name.toStdString());
    if (!kind) {
      continue;
    }
    for (const auto& endpoint : slice["endpoints"].toArray()) {
      listed_instance it = decode_endpoint(slice, endpoint.toObject());
      it.kind = *kind;
      if (!it.name.empty() && !it.address.empty() && it.port != 0) {
        found.push_back(std::move(it));
      }
    }
  }
  return found;
}

} // namespace nutmegspur::etcd_http
