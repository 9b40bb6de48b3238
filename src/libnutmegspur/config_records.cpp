// Names, store keys and JSON form of the configuration resources.
#include <nutmegspur/json_reader.h>
#include <nutmegspur/records.h>

#include <algorithm>
#include <limits>

namespace nutmegspur {

namespace {

constexpr std::size_t max_name_length = 128;
constexpr std::size_t sha256_hex_digits = 64;
constexpr std::size_t max_reason_bytes = 1024;
constexpr std::size_t max_path_bytes = 1024;
constexpr std::int64_t max_u32 = std::numeric_limits<std::uint32_t>::max();
constexpr milliseconds max_route_timeout{3'600'000};
constexpr seconds max_stale_key_limit{365 * 24 * 3600};

// -----------------------------------------------------------------------------------------------
// Parsing

template <class Id>
std::vector<Id>
ids_from(const std::vector<std::string>& names) {
  std::vector<Id> out;
  out.reserve(names.size());
  for (const auto& it : names) {
    out.emplace_back(it);
  }
  return out;
}

std::uint32_t
read_u32(json_reader& in, const char* name, std::uint32_t fallback, std::uint32_t least) {
  return static_cast<std::uint32_t>(in.integer(name, fallback, least, max_u32));
}

bool
is_sha256_hex(const std::string& text) {
  return text.size() == sha256_hex_digits &&
         text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

void
read(json_reader& in, team_spec& out) {
  out.weight = read_u32(in, "weight", out.weight, 1);
  out.max_in_flight = read_u32(in, "max_in_flight", out.max_in_flight, 0);
  if (in.has("stale_key_limit_s")) {
    out.stale_key_limit =
        seconds{in.integer("stale_key_limit_s", 0, 0, max_stale_key_limit.count())};
  }
}

void
read(json_reader& in, key_spec& out) {
  out.team = team_id{in.name("team", false)};
  const std::string role = in.text("role", to_name(out.role));
  if (const auto known = from_name<key_role>(role)) {
    out.role = *known;
  } else {
    in.reject("role", "must be 'caller' or 'operator'");
  }
  out.secret_sha256 = in.required_text("secret_sha256");
  if (!is_sha256_hex(out.secret_sha256)) {
    in.reject("secret_sha256", "must be 64 lower-case hexadecimal digits");
  }
  out.withdrawn = in.boolean("withdrawn", out.withdrawn);
  if (out.team.empty() == (out.role == key_role::caller)) {
    in.reject("team", "is required for a caller key and not allowed for an operator key");
  }
}

void
read(json_reader& in, model_spec& out) {
  out.current_version = in.name("current_version", false);
  out.context_tokens = read_u32(in, "context_tokens", out.context_tokens, 1);
  out.prompt_cost_milli = read_u32(in, "prompt_cost_milli", out.prompt_cost_milli, 0);
  out.output_cost_milli = read_u32(in, "output_cost_milli", out.output_cost_milli, 0);
}

void
read(json_reader& in, adapter_spec& out) {
  out.model = model_id{in.name("model", true)};
  out.weights = in.required_text("weights");
}

void
read(json_reader& in, version_spec& out) {
  out.model = model_id{in.name("model", true)};
  out.weights = in.required_text("weights");
  out.bytes = static_cast<std::uint64_t>(in.integer("bytes", 0, 0, max_json_integer));
}

void
read(json_reader& in, offer_spec& out) {
  out.model = model_id{in.name("model", true)};
  out.teams = ids_from<team_id>(in.names("teams"));
  out.open_to_all = in.boolean("open_to_all", out.open_to_all);
  out.zones = ids_from<zone_id>(in.names("zones"));
}

void
read(json_reader& in, route_spec& out) {
  out.service = service_id{in.name("service", true)};
  out.path_prefix = in.text("path_prefix", out.path_prefix, max_path_bytes);
  if (!out.path_prefix.starts_with('/')) {
    in.reject("path_prefix", "must begin with '/'");
  }
  out.repeatable = in.boolean("repeatable", out.repeatable);
  out.open_to_all = in.boolean("open_to_all", out.open_to_all);
  out.teams = ids_from<team_id>(in.names("teams"));
  out.timeout =
      milliseconds{in.integer("timeout_ms", out.timeout.count(), 1, max_route_timeout.count())};
}

void
read(json_reader& in, drain_spec& out) {
  out.upstream = upstream_id{in.name("upstream", true)};
  out.reason = in.text("reason", "", max_reason_bytes);
}

void
read(json_reader& in, upstream_spec& out) {
  out.checks_fence = in.boolean("checks_fence", out.checks_fence);
  out.reclaimable = in.boolean("reclaimable", out.reclaimable);
  out.price_milli = read_u32(in, "price_milli", out.price_milli, 0);
}

template <class Spec>
result<resource_spec>
read_whole(const QJsonObject& object, std::string what) {
  json_reader in(object, std::move(what));
  Spec spec;
  read(in, spec);
  if (const auto ok = in.finish(); !ok) {
    return fail(ok.error());
  }
  return resource_spec{std::move(spec)};
}

result<resource_spec>
read_spec(resource_kind kind, const QJsonObject& object, const std::string& what) {
  switch (kind) {
  case resource_kind::team:
    return read_whole<team_spec>(object, what);
  case resource_kind::key:
    return read_whole<key_spec>(object, what);
  case resource_kind::model:
    return read_whole<model_spec>(object, what);
  case resource_kind::adapter:
    return read_whole<adapter_spec>(object, what);
  case resource_kind::version:
    return read_whole<version_spec>(object, what);
  case resource_kind::offer:
    return read_whole<offer_spec>(object, what);
  case resource_kind::route:
    return read_whole<route_spec>(object, what);
  case resource_kind::drain:
    return read_whole<drain_spec>(object, what);
  case resource_kind::upstream:
    return read_whole<upstream_spec>(object, what);
  }
  return fail({error_code::internal, step::config_read, "", "unknown kind of resource"});
}

// -----------------------------------------------------------------------------------------------
// Serialization

void
put(QJsonObject& out, const char* name, std::string_view text) {
  out.insert(QLatin1String(name), to_qt(text));
}

void
put_number(QJsonObject& out, const char* name, std::int64_t number) {
  out.insert(QLatin1String(name), static_cast<qint64>(number));
}

void
put_flag(QJsonObject& out, const char* name, bool flag) {
  out.insert(QLatin1String(name), flag);
}

template <class Id>
void
put_names(QJsonObject& out, const char* name, const std::vector<Id>& ids) {
  QJsonArray list;
  for (const auto& it : ids) {
    list.append(to_qt(it.value));
  }
  out.insert(QLatin1String(name), list);
}

void
write(QJsonObject& out, const team_spec& spec) {
  put_number(out, "weight", spec.weight);
  put_number(out, "max_in_flight", spec.max_in_flight);
  if (spec.stale_key_limit) {
    put_number(out, "stale_key_limit_s", spec.stale_key_limit->count());
  }
}

void
write(QJsonObject& out, const key_spec& spec) {
  put(out, "team", spec.team.value);
  put(out, "role", to_name(spec.role));
  put(out, "secret_sha256", spec.secret_sha256);
  put_flag(out, "withdrawn", spec.withdrawn);
}

void
write(QJsonObject& out, const model_spec& spec) {
  put(out, "current_version", spec.current_version);
  put_number(out, "context_tokens", spec.context_tokens);
  put_number(out, "prompt_cost_milli", spec.prompt_cost_milli);
  put_number(out, "output_cost_milli", spec.output_cost_milli);
}

void
write(QJsonObject& out, const adapter_spec& spec) {
  put(out, "model", spec.model.value);
  put(out, "weights", spec.weights);
}

void
write(QJsonObject& out, const version_spec& spec) {
  put(out, "model", spec.model.value);
  put(out, "weights", spec.weights);
  put_number(out, "bytes", static_cast<std::int64_t>(spec.bytes));
}

void
write(QJsonObject& out, const offer_spec& spec) {
  put(out, "model", spec.model.value);
  put_names(out, "teams", spec.teams);
  put_flag(out, "open_to_all", spec.open_to_all);
  put_names(out, "zones", spec.zones);
}

void
write(QJsonObject& out, const route_spec& spec) {
  put(out, "service", spec.service.value);
  put(out, "path_prefix", spec.path_prefix);
  put_flag(out, "repeatable", spec.repeatable);
  put_flag(out, "open_to_all", spec.open_to_all);
  put_names(out, "teams", spec.teams);
  put_number(out, "timeout_ms", spec.timeout.count());
}

void
write(QJsonObject& out, const drain_spec& spec) {
  put(out, "upstream", spec.upstream.value);
  put(out, "reason", spec.reason);
}

void
write(QJsonObject& out, const upstream_spec& spec) {
  put_flag(out, "checks_fence", spec.checks_fence);
  put_flag(out, "reclaimable", spec.reclaimable);
  put_number(out, "price_milli", spec.price_milli);
}

QJsonObject
spec_object(const resource_spec& spec) {
  QJsonObject out;
  std::visit([&](const auto& it) { write(out, it); }, spec);
  return out;
}

} // namespace

resource_kind
kind_of(const resource_spec& spec) {
  return static_cast<resource_kind>(spec.index());
}

result<void>
check_resource_name(std::string_view name) {
  const bool fits = !name.empty() && name.size() <= max_name_length;
  const bool clean =
      name.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789._-") == std::string_view::npos;
  if (fits && clean) {
    return {};
  }
  return fail({error_code::invalid_argument, step::config_read, "",
               "a name must have 1 to 128 characters of [a-z0-9._-]"});
}

result<resource>
parse_resource(std::string_view json) {
  const auto object = parse_json_object(json, "resource");
  if (!object) {
    return fail(object.error());
  }
  json_reader in(*object, "resource");
  const std::string kind_name = in.required_text("kind");
  const auto kind = from_name<resource_kind>(kind_name);
  if (!kind) {
    in.reject("kind", "is not a kind of resource: '" + kind_name + "'");
  }
  resource out;
  out.name = in.name("name", true);
  out.changed = {in.integer("revision", 0, 0, max_json_integer)};
  const QJsonObject spec = in.required_object("spec");
  if (const auto ok = in.finish(); !ok) {
    return fail(ok.error());
  }
  auto parsed = read_spec(*kind, spec, kind_name + " '" + out.name + "'");
  if (!parsed) {
    return fail(parsed.error());
  }
  out.spec = std::move(*parsed);
  return out;
}

result<resource_spec>
parse_spec(resource_kind kind, std::string_view json) {
  const std::string what{to_name(kind)};
  const auto object = parse_json_object(json, what);
  if (!object) {
    return fail(object.error());
  }
  return read_spec(kind, *object, what);
}

std::string
spec_json(const resource_spec& spec) {
  return compact_json(spec_object(spec));
}

std::string
resource_json(const resource& it) {
  QJsonObject out;
  put(out, "kind", to_name(kind_of(it.spec)));
  put(out, "name", it.name);
  put_number(out, "revision", it.changed.value);
  out.insert(QLatin1String("spec"), spec_object(it.spec));
  return compact_json(out);
}

std::string
config_key(resource_kind kind, std::string_view name) {
  std::string out{config_prefix};
  out += to_name(kind);
  out += '/';
  out += name;
  return out;
}

std::optional<config_key_parts>
parse_config_key(std::string_view key) {
  if (!key.starts_with(config_prefix)) {
    return std::nullopt;
  }
  key.remove_prefix(config_prefix.size());
  const auto slash = key.find('/');
  if (slash == std::string_view::npos) {
    return std::nullopt;
  }
  const auto kind = from_name<resource_kind>(key.substr(0, slash));
  const auto name = key.substr(slash + 1);
  if (!kind || !check_resource_name(name)) {
    return std::nullopt;
  }
  return config_key_parts{*kind, std::string{name}};
}

} // namespace nutmegspur
