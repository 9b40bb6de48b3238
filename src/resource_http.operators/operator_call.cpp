// Parsing of calls of the operators' API.
#include "operator_call.h"

#include <nutmegspur/json_reader.h>

#include <QtCore/QCryptographicHash>
#include <QtCore/QJsonDocument>
#include <QtCore/QRandomGenerator>

#include <array>

namespace nutmegspur::operators {

namespace {

constexpr QStringView api_root = u"/api/v1/";
constexpr std::size_t secret_word_count = 8; // of 32 bits

error
bad_request(std::string message) {
  return {error_code::invalid_argument, step::caller_read, "", std::move(message)};
}

error
no_such_endpoint(const operator_call& it) {
  return {error_code::not_found, step::caller_read, "",
          "no such endpoint: " + it.method + " " + it.path.toStdString()};
}

/// The resource kind with this name, which may be in the plural.
std::optional<resource_kind>
find_kind(const QString& name) {
  std::string text = name.toStdString();
  if (const auto kind = from_name<resource_kind>(text)) {
    return kind;
  }
  if (text.ends_with('s')) {
    text.pop_back();
  }
  return from_name<resource_kind>(text);
}

result<std::optional<revision>>
read_condition(const operator_call& it) {
  if (!it.if_none_match.isEmpty()) {
    if (it.if_none_match != "*" || !it.if_match.isEmpty()) {
      return fail(bad_request("If-None-Match must be '*' and cannot be combined with If-Match"));
    }
    return std::optional{revision{}};
  }
  if (it.if_match.isEmpty()) {
    return std::optional<revision>{};
  }
  QByteArray tag = it.if_match.trimmed();
  if (tag.size() > 1 && tag.startsWith('"') && tag.endsWith('"')) {
    tag = tag.mid(1, tag.size() - 2);
  }
  bool ok = false;
  const qint64 number = tag.toLongLong(&ok);
  if (!ok || number < 1) {
    return fail(bad_request("If-Match must be a revision in quotes, for example \"17\""));
  }
  return std::optional{revision{number}};
}

result<std::vector<resource>>
read_resources(const QByteArray& body) {
  QJsonParseError ec{};
  const QJsonDocument document = QJsonDocument::fromJson(body, &ec);
  if (ec.error != QJsonParseError::NoError) {
    return fail(bad_request("the body is not valid JSON: " + ec.errorString().toStdString() +
                            " at byte " + std::to_string(ec.offset)));
  }
  QJsonArray list = document.array();
  if (document.isObject()) {
    const QJsonObject object = document.object();
    list = object.contains(QLatin1String("items")) ? object.value(QLatin1String("items")).toArray()
                                                   : QJsonArray{object};
  }
  std::vector<resource> out;
  for (const auto& it : list) {
    auto parsed = parse_resource(compact_json(it.toObject()));
    if (!parsed) {
      return fail(
          bad_request("item " + std::to_string(out.size() + 1) + ": " + parsed.error().message));
    }
    out.push_back(std::move(*parsed));
  }
  if (out.empty()) {
    return fail(bad_request("the body contains no resource"));
  }
  return out;
}

result<void>
read_issue(const operator_call& it, parsed_operator_call& out) {
  const auto object =
      parse_json_object({it.body.constData(), static_cast<std::size_t>(it.body.size())}, "key");
  if (!object) {
    return fail(object.error());
  }
  json_reader in(*object, "key");
  const std::string name = in.name("name", true);
  const std::string team = in.name("team", false);
  const std::string role_name = in.text("role", "caller");
  const auto role = from_name<key_role>(role_name);
  if (!role) {
    in.reject("role", "must be 'caller' or 'operator'");
  } else if (team.empty() == (*role == key_role::caller)) {
    in.reject("team", "is required for a caller key and not allowed for an operator key");
  }
  if (auto ok = in.finish(); !ok) {
    return ok;
  }
  out.new_secret = generate_secret();
  out.request.verb = resource_verb::issue_key;
  out.request.kind = resource_kind::key;
  out.request.name = name;
  out.request.resources = {
      {name, {}, key_spec{team_id{team}, *role, sha256_hex(out.new_secret), false}}};
  return {};
}

result<void>
read_watch(const operator_call& it, resource_request& out) {
  out.verb = resource_verb::watch;
  if (it.query.hasQueryItem("since")) {
    bool ok = false;
    out.since = {it.query.queryItemValue("since").toLongLong(&ok)};
    if (!ok || out.since < revision{}) {
      return fail(bad_request("'since' must be a revision"));
    }
  }
  if (it.query.hasQueryItem("kind")) {
    out.kind = find_kind(it.query.queryItemValue("kind"));
    if (!out.kind) {
      return fail(bad_request("'kind' must be a kind of resource"));
    }
  }
  return {};
}

result<void>
read_put(const operator_call& it, resource_request& out) {
  auto list = read_resources(it.body);
  if (!list) {
    return fail(list.error());
  }
  const bool same = list->size() == 1 && list->front().name == out.name &&
                    kind_of(list->front().spec) == *out.kind;
  if (!same) {
    return fail(bad_request("the body must contain exactly the resource that the path names"));
  }
  out.verb = resource_verb::put;
  out.resources = std::move(*list);
  return {};
}

/// Parses calls of /<kind> and /<kind>/<name>.
result<void>
read_resource_call(const operator_call& it, const QString& rest, resource_request& out) {
  const auto slash = rest.indexOf('/');
  out.kind = find_kind(rest.left(slash));
  if (!out.kind) {
    return fail(no_such_endpoint(it));
  }
  if (slash < 0) {
    out.verb = resource_verb::list;
    return it.method == "GET" ? result<void>{} : fail(no_such_endpoint(it));
  }
  out.name = rest.mid(slash + 1).toStdString();
  if (auto ok = check_resource_name(out.name); !ok) {
    return ok;
  }
  const auto condition = read_condition(it);
  if (!condition) {
    return fail(condition.error());
  }
  out.if_revision = *condition;
  if (it.method == "GET") {
    out.verb = resource_verb::get;
    return {};
  }
  if (it.method == "DELETE") {
    out.verb = resource_verb::remove;
    return {};
  }
  return it.method == "PUT" ? read_put(it, out) : fail(no_such_endpoint(it));
}

result<void>
parse_endpoint(const operator_call& it, parsed_operator_call& out) {
  const QString rest = it.path.mid(api_root.size());
  const bool get = it.method == "GET";
  const bool post = it.method == "POST";
  if (get && rest == QLatin1String("status")) {
    out.request.verb = resource_verb::status;
    return {};
  }
  if (get && rest == QLatin1String("watch")) {
    return read_watch(it, out.request);
  }
  if (post && rest == QLatin1String("keys:issue")) {
    return read_issue(it, out);
  }
  if (post && rest == QLatin1String("apply")) {
    auto list = read_resources(it.body);
    if (!list) {
      return fail(list.error());
    }
    out.request.verb = resource_verb::put;
    out.request.resources = std::move(*list);
    return {};
  }
  return read_resource_call(it, rest, out.request);
}

} // namespace

std::string
generate_secret() {
  std::array<quint32, secret_word_count> words{};
  QRandomGenerator::system()->fillRange(words.data(), static_cast<qsizetype>(words.size()));
  const QByteArray bytes(reinterpret_cast<const char*>(words.data()), sizeof(words));
  return "nsk-" + bytes.toHex().toStdString();
}

std::string
sha256_hex(std::string_view text) {
  const QByteArray bytes(text.data(), static_cast<qsizetype>(text.size()));
  return QCryptographicHash::hash(bytes, QCryptographicHash::Sha256).toHex().toStdString();
}

result<parsed_operator_call>
parse_call(const operator_call& it) {
  parsed_operator_call out;
  constexpr QByteArrayView scheme = "bearer ";
  if (it.authorization.toLower().startsWith(scheme)) {
    out.request.secret_sha256 =
        sha256_hex(it.authorization.mid(scheme.size()).trimmed().toStdString());
  }
  if (!it.path.startsWith(api_root)) {
    return fail(no_such_endpoint(it));
  }
  if (const auto ok = parse_endpoint(it, out); !ok) {
    return fail(ok.error());
  }
  return out;
}

QByteArray
error_body(const error& ec, request_id request) {
  QJsonObject detail{{"code", to_qt(to_name(ec.code))},
                     {"message", to_qt(ec.message)},
                     {"type", to_qt(to_name(ec.at))},
                     {"request_id", QString::number(request.value)},
                     {"ran", to_qt(to_name(ec.ran))}};
  if (ec.retry_after) {
    detail.insert("retry_after_ms", static_cast<qint64>(ec.retry_after->count()));
  }
  return QJsonDocument(QJsonObject{{"error", detail}}).toJson(QJsonDocument::Compact);
}

std::string
with_secret(const std::string& json, const std::string& secret) {
  auto object = parse_json_object(json, "key");
  if (!object) {
    return json;
  }
  object->insert(QLatin1String("secret"), to_qt(secret));
  return compact_json(*object);
}

QByteArray
entity_tag(const std::string& json) {
  const auto object = parse_json_object(json, "resource");
  if (!object || !object->contains(QLatin1String("spec"))) {
    return {};
  }
  const auto number = object->value(QLatin1String("revision")).toInteger();
  return '"' + QByteArray::number(number) + '"';
}

} // namespace nutmegspur::operators
