// etcd v3 JSON gateway. As in etcd's own gateway, keys and values are base64, numbers are strings
// and fields with a default value are omitted.
#include "etcd_gateway.h"

#include <nutmegspur/clock.h>

#include <QtCore/QJsonDocument>

#include <algorithm>

namespace nutmegspur::standin {

namespace {

constexpr int tick_ms = 100;
constexpr int progress_ticks = 10; // A progress notification every second.
constexpr std::int64_t stale_revisions = 3;
constexpr int grpc_invalid = 3;
constexpr int grpc_not_found = 5;
constexpr int grpc_out_of_range = 11;

std::int64_t
now_ms() {
  return std::chrono::duration_cast<milliseconds>(boot_clock::now().time_since_epoch()).count();
}

QByteArray
decode_bytes(const QJsonValue& value) {
  return QByteArray::fromBase64(value.toString().toLatin1());
}

std::int64_t
decode_number(const QJsonValue& value) {
  return value.isString() ? value.toString().toLongLong() : value.toInteger();
}

// The gateway accepts both the original (snake_case) and the camelCase field names.
QJsonValue
field(const QJsonObject& object, const QString& name, const QString& camel) {
  return object.contains(name) ? object[name] : object[camel];
}

QString
number_text(std::int64_t n) {
  return QString::number(n);
}

QJsonObject
key_value_json(const kv_version& it) {
  QJsonObject json{{"key", QString::fromLatin1(it.key.toBase64())},
                   {"mod_revision", number_text(it.modified)}};
  if (it.value) {
    json["value"] = QString::fromLatin1(it.value->toBase64());
    json["create_revision"] = number_text(it.created);
    json["version"] = number_text(it.version);
  }
  if (it.lease != 0) {
    json["lease"] = number_text(it.lease);
  }
  return json;
}

kv_condition
read_condition(const QJsonObject& json) {
  kv_condition it;
  it.key = decode_bytes(json["key"]);
  const QString target = json["target"].toString();
  const QString relation = json["result"].toString();
  if (relation == "GREATER") {
    it.relation = '>';
  } else if (relation == "LESS") {
    it.relation = '<';
  } else if (relation == "NOT_EQUAL") {
    it.relation = '!';
  }
  if (target == "CREATE") {
    it.target = kv_condition::field::created;
    it.number = decode_number(field(json, "create_revision", "createRevision"));
  } else if (target == "VERSION") {
    it.target = kv_condition::field::version;
    it.number = decode_number(json["version"]);
  } else if (target == "VALUE") {
    it.target = kv_condition::field::value;
    it.value = decode_bytes(json["value"]);
  } else {
    it.number = decode_number(field(json, "mod_revision", "modRevision"));
  }
  return it;
}

std::vector<kv_operation>
read_operations(const QJsonArray& json) {
  std::vector<kv_operation> operations;
  for (const auto& item : json) {
    const QJsonObject it = item.toObject();
    const QJsonObject put = field(it, "request_put", "requestPut").toObject();
    const QJsonObject removal = field(it, "request_delete_range", "requestDeleteRange").toObject();
    if (!put.isEmpty()) {
      operations.push_back(
          {decode_bytes(put["key"]), {}, decode_bytes(put["value"]), decode_number(put["lease"])});
    } else if (!removal.isEmpty()) {
      operations.push_back({decode_bytes(removal["key"]),
                            decode_bytes(field(removal, "range_end", "rangeEnd")), std::nullopt,
                            0});
    }
  }
  return operations;
}

void
send_error(const response_channel& response, int status, int grpc_code, const QString& message) {
  response_channel(response).send(
      status, QJsonObject{{"error", message}, {"code", grpc_code}, {"message", message}});
}

void
send_error(const response_channel& response, kv_error why) {
  switch (why) {
  case kv_error::compacted:
    return send_error(response, 400, grpc_out_of_range,
                      "etcdserver: mvcc: required revision has been compacted");
  case kv_error::future_revision:
    return send_error(response, 400, grpc_out_of_range,
                      "etcdserver: mvcc: required revision is a future revision");
  case kv_error::lease_not_found:
    return send_error(response, 404, grpc_not_found, "etcdserver: requested lease not found");
  default:
    return send_error(response, 400, grpc_invalid,
                      "etcdserver: too many operations in txn request");
  }
}

QByteArray
result_line(const QJsonObject& result) {
  return QJsonDocument(QJsonObject{{"result", result}}).toJson(QJsonDocument::Compact) + "\n";
}

} // namespace

etcd_gateway::etcd_gateway() {
  QObject::connect(&timer_, &QTimer::timeout, &timer_, [this] { tick(); });
  timer_.start(tick_ms);
}

QJsonObject
etcd_gateway::header(std::int64_t revision) const {
  return {{"cluster_id", "1"},
          {"member_id", "1"},
          {"revision", number_text(revision)},
          {"raft_term", "1"}};
}

void
etcd_gateway::serve(const standin_request& request, const response_channel& response) {
  store_.expire(now_ms());
  const QString& path = request.path;
  if (path == "/v3/kv/range") {
    range(request, response);
  } else if (path == "/v3/kv/txn") {
    txn(request, response);
  } else if (path == "/v3/kv/compaction") {
    compact(request, response);
  } else if (path == "/v3/lease/grant") {
    grant(request, response);
  } else if (path == "/v3/lease/keepalive") {
    keep_alive(request, response);
  } else if (path == "/v3/lease/revoke" || path == "/v3/kv/lease/revoke") {
    revoke(request, response);
  } else if (path == "/v3/watch") {
    start_watch(request, response);
  } else {
    send_error(response, 404, grpc_not_found, "Not Found");
  }
  send_all_changes();
}

void
etcd_gateway::range(const standin_request& request, const response_channel& response) {
  const QJsonObject json = request.json();
  std::int64_t at = decode_number(json["revision"]);
  if (const kv_error why = store_.check_read(at); why != kv_error::none) {
    return send_error(response, why);
  }
  std::int64_t store_revision = store_.revision();
  if (request.stale && at == 0) {
    at = std::max({store_revision - stale_revisions, store_.compacted(), std::int64_t{1}});
    store_revision = at;
  }
  const auto found = store_.range(decode_bytes(json["key"]),
                                  decode_bytes(field(json, "range_end", "rangeEnd")), at);
  const auto limit = static_cast<std::size_t>(decode_number(json["limit"]));
  const std::size_t count = limit == 0 ? found.size() : std::min(limit, found.size());
  QJsonArray pairs;
  for (std::size_t n = 0; n < count; ++n) {
    pairs.append(key_value_json(found[n]));
  }
  QJsonObject body{{"header", header(store_revision)},
                   {"count", number_text(static_cast<std::int64_t>(found.size()))}};
  if (!pairs.isEmpty()) {
    body["kvs"] = pairs;
  }
  if (count < found.size()) {
    body["more"] = true;
  }
  response_channel(response).send(200, body);
}

void
etcd_gateway::txn(const standin_request& request, const response_channel& response) {
  const QJsonObject json = request.json();
  std::vector<kv_condition> conditions;
  for (const auto& it : json["compare"].toArray()) {
    conditions.push_back(read_condition(it.toObject()));
  }
  const bool holds = store_.holds(conditions);
  const auto operations = read_operations(json[holds ? "success" : "failure"].toArray());
  if (const kv_error why = store_.check_write(operations); why != kv_error::none) {
    return send_error(response, why);
  }
  store_.write(operations);
  QJsonObject body{{"header", header(store_.revision())}};
  if (holds) {
    body["succeeded"] = true;
  }
  response_channel(response).send(200, body);
}

void
etcd_gateway::grant(const standin_request& request, const response_channel& response) {
  const QJsonObject json = request.json();
  const std::int64_t ttl = decode_number(json["TTL"]);
  const std::int64_t id = store_.grant(decode_number(json["ID"]), ttl, now_ms());
  response_channel(response).send(200, QJsonObject{{"header", header(store_.revision())},
                                                   {"ID", number_text(id)},
                                                   {"TTL", number_text(ttl)}});
}

void
etcd_gateway::keep_alive(const standin_request& request, const response_channel& response) {
  const std::int64_t id = decode_number(request.json()["ID"]);
  const std::int64_t ttl = store_.keep_alive(id, now_ms());
  QJsonObject result{{"header", header(store_.revision())}, {"ID", number_text(id)}};
  if (ttl != 0) {
    result["TTL"] = number_text(ttl);
  }
  response_channel(response).send(200, result_line(result));
}

void
etcd_gateway::revoke(const standin_request& request, const response_channel& response) {
  if (!store_.revoke(decode_number(request.json()["ID"]))) {
    return send_error(response, kv_error::lease_not_found);
  }
  response_channel(response).send(200, QJsonObject{{"header", header(store_.revision())}});
}

void
etcd_gateway::compact(const standin_request& request, const response_channel& response) {
  store_.compact(decode_number(request.json()["revision"]));
  response_channel(response).send(200, QJsonObject{{"header", header(store_.revision())}});
}

void
etcd_gateway::start_watch(const standin_request& request, const response_channel& response) {
  const QJsonObject json = request.json();
  const QJsonObject create = field(json, "create_request", "createRequest").toObject();
  auto it = std::make_unique<watch>();
  it->response = response;
  it->from = decode_bytes(create["key"]);
  it->to = decode_bytes(field(create, "range_end", "rangeEnd"));
  it->progress = field(create, "progress_notify", "progressNotify").toBool();
  it->next = decode_number(field(create, "start_revision", "startRevision"));
  it->response.begin_stream("application/json");
  it->response.write_chunk(result_line({{"header", header(store_.revision())}, {"created", true}}));
  if (it->next == 0) {
    it->next = store_.revision() + 1;
  }
  if (it->next <= store_.compacted()) {
    it->response.write_chunk(
        result_line({{"header", header(store_.revision())},
                     {"canceled", true},
                     {"compact_revision", number_text(store_.compacted() + 1)}}));
    it->response.end_stream();
    return;
  }
  watches_.push_back(std::move(it));
}

void
etcd_gateway::send_changes(watch& it) {
  if (it.silent || it.next > store_.revision()) {
    return;
  }
  QJsonArray events;
  for (const auto& change : store_.changes(it.next)) {
    if (!in_range(change.key, it.from, it.to)) {
      continue;
    }
    QJsonObject event{{"kv", key_value_json(change)}};
    if (!change.value) {
      event["type"] = "DELETE";
    }
    events.append(event);
  }
  it.next = store_.revision() + 1;
  if (!events.isEmpty()) {
    it.response.write_chunk(
        result_line({{"header", header(store_.revision())}, {"events", events}}));
    it.idle_ticks = 0;
  }
}

void
etcd_gateway::send_all_changes() {
  std::erase_if(watches_, [](const auto& it) { return !it->response.open(); });
  for (const auto& it : watches_) {
    send_changes(*it);
  }
}

void
etcd_gateway::tick() {
  store_.expire(now_ms());
  send_all_changes();
  for (const auto& it : watches_) {
    it->idle_ticks += 1;
    if (it->progress && !it->silent && it->idle_ticks >= progress_ticks) {
      it->idle_ticks = 0;
      it->response.write_chunk(result_line({{"header", header(store_.revision())}}));
    }
  }
}

void
etcd_gateway::silence_watches() {
  for (const auto& it : watches_) {
    it->silent = true;
  }
}

} // namespace nutmegspur::standin
