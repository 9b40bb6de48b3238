// The etcd v3 JSON gateway of the platform stand-in. Keys and values are base64, numbers are
// strings and fields with a default value are left out, as the published gateway does.
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
bytes_of(const QJsonValue& value) {
  return QByteArray::fromBase64(value.toString().toLatin1());
}

std::int64_t
number_of(const QJsonValue& value) {
  return value.isString() ? value.toString().toLongLong() : value.toInteger();
}

// The gateway accepts both the original and the camel-case field names.
QJsonValue
field(const QJsonObject& object, const QString& name, const QString& camel) {
  return object.contains(name) ? object[name] : object[camel];
}

QString
text_of(std::int64_t n) {
  return QString::number(n);
}

QJsonObject
pair_json(const kv_version& it) {
  QJsonObject json{{"key", QString::fromLatin1(it.key.toBase64())},
                   {"mod_revision", text_of(it.modified)}};
  if (it.value) {
    json["value"] = QString::fromLatin1(it.value->toBase64());
    json["create_revision"] = text_of(it.created);
    json["version"] = text_of(it.version);
  }
  if (it.lease != 0) {
    json["lease"] = text_of(it.lease);
  }
  return json;
}

kv_condition
read_condition(const QJsonObject& json) {
  kv_condition it;
  it.key = bytes_of(json["key"]);
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
    it.number = number_of(field(json, "create_revision", "createRevision"));
  } else if (target == "VERSION") {
    it.target = kv_condition::field::version;
    it.number = number_of(json["version"]);
  } else if (target == "VALUE") {
    it.target = kv_condition::field::value;
    it.value = bytes_of(json["value"]);
  } else {
    it.number = number_of(field(json, "mod_revision", "modRevision"));
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
          {bytes_of(put["key"]), {}, bytes_of(put["value"]), number_of(put["lease"])});
    } else if (!removal.isEmpty()) {
      operations.push_back({bytes_of(removal["key"]),
                            bytes_of(field(removal, "range_end", "rangeEnd")), std::nullopt, 0});
    }
  }
  return operations;
}

void
refuse(const reply_channel& reply, int status, int grpc_code, const QString& message) {
  reply_channel(reply).send(
      status, QJsonObject{{"error", message}, {"code", grpc_code}, {"message", message}});
}

void
refuse(const reply_channel& reply, kv_refusal why) {
  switch (why) {
  case kv_refusal::compacted:
    return refuse(reply, 400, grpc_out_of_range,
                  "etcdserver: mvcc: required revision has been compacted");
  case kv_refusal::future_revision:
    return refuse(reply, 400, grpc_out_of_range,
                  "etcdserver: mvcc: required revision is a future revision");
  case kv_refusal::lease_not_found:
    return refuse(reply, 404, grpc_not_found, "etcdserver: requested lease not found");
  default:
    return refuse(reply, 400, grpc_invalid, "etcdserver: too many operations in txn request");
  }
}

QByteArray
line_of(const QJsonObject& result) {
  return QJsonDocument(QJsonObject{{"result", result}}).toJson(QJsonDocument::Compact) + "\n";
}

} // namespace

etcd_gateway::etcd_gateway() {
  QObject::connect(&timer_, &QTimer::timeout, &timer_, [this] { tick(); });
  timer_.start(tick_ms);
}

QJsonObject
etcd_gateway::header(std::int64_t revision) const {
  return {
      {"cluster_id", "1"}, {"member_id", "1"}, {"revision", text_of(revision)}, {"raft_term", "1"}};
}

void
etcd_gateway::serve(const standin_request& request, const reply_channel& reply) {
  store_.expire(now_ms());
  const QString& path = request.path;
  if (path == "/v3/kv/range") {
    range(request, reply);
  } else if (path == "/v3/kv/txn") {
    txn(request, reply);
  } else if (path == "/v3/kv/compaction") {
    compact(request, reply);
  } else if (path == "/v3/lease/grant") {
    grant(request, reply);
  } else if (path == "/v3/lease/keepalive") {
    keep_alive(request, reply);
  } else if (path == "/v3/lease/revoke" || path == "/v3/kv/lease/revoke") {
    revoke(request, reply);
  } else if (path == "/v3/watch") {
    start_watch(request, reply);
  } else {
    refuse(reply, 404, grpc_not_found, "Not Found");
  }
  pump_all();
}

void
etcd_gateway::range(const standin_request& request, const reply_channel& reply) {
  const QJsonObject json = request.json();
  std::int64_t at = number_of(json["revision"]);
  if (const kv_refusal why = store_.check_read(at); why != kv_refusal::none) {
    return refuse(reply, why);
  }
  std::int64_t store_revision = store_.revision();
  if (request.stale && at == 0) {
    at = std::max({store_revision - stale_revisions, store_.compacted(), std::int64_t{1}});
    store_revision = at;
  }
  const auto found =
      store_.range(bytes_of(json["key"]), bytes_of(field(json, "range_end", "rangeEnd")), at);
  const auto limit = static_cast<std::size_t>(number_of(json["limit"]));
  const std::size_t count = limit == 0 ? found.size() : std::min(limit, found.size());
  QJsonArray pairs;
  for (std::size_t n = 0; n < count; ++n) {
    pairs.append(pair_json(found[n]));
  }
  QJsonObject answer{{"header", header(store_revision)},
                     {"count", text_of(static_cast<std::int64_t>(found.size()))}};
  if (!pairs.isEmpty()) {
    answer["kvs"] = pairs;
  }
  if (count < found.size()) {
    answer["more"] = true;
  }
  reply_channel(reply).send(200, answer);
}

void
etcd_gateway::txn(const standin_request& request, const reply_channel& reply) {
  const QJsonObject json = request.json();
  std::vector<kv_condition> conditions;
  for (const auto& it : json["compare"].toArray()) {
    conditions.push_back(read_condition(it.toObject()));
  }
  const bool holds = store_.holds(conditions);
  const auto operations = read_operations(json[holds ? "success" : "failure"].toArray());
  if (const kv_refusal why = store_.check_write(operations); why != kv_refusal::none) {
    return refuse(reply, why);
  }
  store_.write(operations);
  QJsonObject answer{{"header", header(store_.revision())}};
  if (holds) {
    answer["succeeded"] = true;
  }
  reply_channel(reply).send(200, answer);
}

void
etcd_gateway::grant(const standin_request& request, const reply_channel& reply) {
  const QJsonObject json = request.json();
  const std::int64_t ttl = number_of(json["TTL"]);
  const std::int64_t id = store_.grant(number_of(json["ID"]), ttl, now_ms());
  reply_channel(reply).send(200, QJsonObject{{"header", header(store_.revision())},
                                             {"ID", text_of(id)},
                                             {"TTL", text_of(ttl)}});
}

void
etcd_gateway::keep_alive(const standin_request& request, const reply_channel& reply) {
  const std::int64_t id = number_of(request.json()["ID"]);
  const std::int64_t ttl = store_.keep_alive(id, now_ms());
  QJsonObject result{{"header", header(store_.revision())}, {"ID", text_of(id)}};
  if (ttl != 0) {
    result["TTL"] = text_of(ttl);
  }
  reply_channel(reply).send(200, line_of(result));
}

void
etcd_gateway::revoke(const standin_request& request, const reply_channel& reply) {
  if (!store_.revoke(number_of(request.json()["ID"]))) {
    return refuse(reply, kv_refusal::lease_not_found);
  }
  reply_channel(reply).send(200, QJsonObject{{"header", header(store_.revision())}});
}

void
etcd_gateway::compact(const standin_request& request, const reply_channel& reply) {
  store_.compact(number_of(request.json()["revision"]));
  reply_channel(reply).send(200, QJsonObject{{"header", header(store_.revision())}});
}

void
etcd_gateway::start_watch(const standin_request& request, const reply_channel& reply) {
  const QJsonObject json = request.json();
  const QJsonObject create = field(json, "create_request", "createRequest").toObject();
  auto it = std::make_unique<watch>();
  it->reply = reply;
  it->from = bytes_of(create["key"]);
  it->to = bytes_of(field(create, "range_end", "rangeEnd"));
  it->progress = field(create, "progress_notify", "progressNotify").toBool();
  it->next = number_of(field(create, "start_revision", "startRevision"));
  it->reply.begin_stream("application/json");
  it->reply.write_chunk(line_of({{"header", header(store_.revision())}, {"created", true}}));
  if (it->next == 0) {
    it->next = store_.revision() + 1;
  }
  if (it->next <= store_.compacted()) {
    it->reply.write_chunk(line_of({{"header", header(store_.revision())},
                                   {"canceled", true},
                                   {"compact_revision", text_of(store_.compacted() + 1)}}));
    it->reply.end_stream();
    return;
  }
  watches_.push_back(std::move(it));
}

void
etcd_gateway::pump(watch& it) {
  if (it.silent || it.next > store_.revision()) {
    return;
  }
  QJsonArray events;
  for (const auto& change : store_.changes(it.next)) {
    if (!in_range(change.key, it.from, it.to)) {
      continue;
    }
    QJsonObject event{{"kv", pair_json(change)}};
    if (!change.value) {
      event["type"] = "DELETE";
    }
    events.append(event);
  }
  it.next = store_.revision() + 1;
  if (!events.isEmpty()) {
    it.reply.write_chunk(line_of({{"header", header(store_.revision())}, {"events", events}}));
    it.idle_ticks = 0;
  }
}

void
etcd_gateway::pump_all() {
  std::erase_if(watches_, [](const auto& it) { return !it->reply.open(); });
  for (const auto& it : watches_) {
    pump(*it);
  }
}

void
etcd_gateway::tick() {
  store_.expire(now_ms());
  pump_all();
  for (const auto& it : watches_) {
    it->idle_ticks += 1;
    if (it->progress && !it->silent && it->idle_ticks >= progress_ticks) {
      it->idle_ticks = 0;
      it->reply.write_chunk(line_of({{"header", header(store_.revision())}}));
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
