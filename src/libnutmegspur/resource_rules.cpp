// The rules for changes of the configuration.
#include <nutmegspur/resource_rules.h>

#include <algorithm>

namespace nutmegspur {

namespace {

error
rule_error(error_code code, std::string message) {
  return {code, step::config_write, "", std::move(message)};
}

std::string
describe(resource_kind kind, const std::string& name) {
  return std::string{to_name(kind)} + " '" + name + "'";
}

result<void>
check_key(const std::string& name, const key_spec& next, const key_spec& now) {
  const std::string what = describe(resource_kind::key, name);
  if (now.withdrawn && !next.withdrawn) {
    return fail(rule_error(error_code::conflict, what + " is withdrawn, which cannot be undone"));
  }
  key_spec same = next;
  same.withdrawn = now.withdrawn;
  if (same != now) {
    return fail(
        rule_error(error_code::conflict,
                   what + ": only the field 'withdrawn' of a key can change; issue a new key"));
  }
  return {};
}

/// Appends the names of the resources in `map` for which `refers` is true: at most three, then the
/// number of the others.
template <class Spec, class Map, class Pred>
void
add_referrers(std::string& out, const Map& map, Pred refers) {
  constexpr std::size_t shown = 3;
  std::size_t n = 0;
  for (const auto& [name, it] : map) {
    const auto* spec = std::get_if<Spec>(&it.spec);
    if (spec == nullptr || !refers(*spec)) {
      continue;
    }
    if (++n <= shown) {
      out += (out.empty() ? "" : ", ") + describe(kind_of(it.spec), name);
    }
  }
  if (n > shown) {
    out += " and " + std::to_string(n - shown) + " more";
  }
}

template <class Id>
bool
contains(const std::vector<Id>& list, const std::string& name) {
  return std::any_of(list.begin(), list.end(), [&](const Id& it) { return it.value == name; });
}

std::string
referrers_of_team(const std::string& name, const config_snapshot& in) {
  std::string out;
  add_referrers<key_spec>(
      out, in.keys, [&](const key_spec& it) { return !it.withdrawn && it.team.value == name; });
  add_referrers<offer_spec>(out, in.offers,
                            [&](const offer_spec& it) { return contains(it.teams, name); });
  add_referrers<route_spec>(out, in.routes,
                            [&](const route_spec& it) { return contains(it.teams, name); });
  return out;
}

std::string
referrers_of_model(const std::string& name, const config_snapshot& in) {
  const auto refers_to_model = [&](const auto& it) { return it.model.value == name; };
  std::string out;
  add_referrers<adapter_spec>(out, in.adapters, refers_to_model);
  add_referrers<version_spec>(out, in.versions, refers_to_model);
  add_referrers<offer_spec>(out, in.offers, refers_to_model);
  return out;
}

std::string
referrers_of(const resource_reference& it, const config_snapshot& in) {
  switch (it.kind) {
  case resource_kind::team:
    return referrers_of_team(it.name, in);
  case resource_kind::model:
    return referrers_of_model(it.name, in);
  case resource_kind::version: {
    std::string out;
    add_referrers<model_spec>(
        out, in.models, [&](const model_spec& spec) { return spec.current_version == it.name; });
    return out;
  }
  default:
    return {};
  }
}

template <class Id>
void
add_all(std::vector<resource_reference>& out, resource_kind kind, const std::vector<Id>& ids) {
  for (const auto& it : ids) {
    out.push_back({kind, it.value});
  }
}

} // namespace

std::vector<resource_reference>
references_of(const resource_spec& spec) {
  std::vector<resource_reference> out;
  if (const auto* key = std::get_if<key_spec>(&spec)) {
    // A withdrawn key remains after its team is deleted, so that it stays known as withdrawn.
    if (!key->team.empty() && !key->withdrawn) {
      out.push_back({resource_kind::team, key->team.value});
    }
  } else if (const auto* model = std::get_if<model_spec>(&spec)) {
    if (!model->current_version.empty()) {
      out.push_back({resource_kind::version, model->current_version});
    }
  } else if (const auto* adapter = std::get_if<adapter_spec>(&spec)) {
    out.push_back({resource_kind::model, adapter->model.value});
  } else if (const auto* version = std::get_if<version_spec>(&spec)) {
    out.push_back({resource_kind::model, version->model.value});
  } else if (const auto* offer = std::get_if<offer_spec>(&spec)) {
    out.push_back({resource_kind::model, offer->model.value});
    add_all(out, resource_kind::team, offer->teams);
  } else if (const auto* route = std::get_if<route_spec>(&spec)) {
    add_all(out, resource_kind::team, route->teams);
  }
  return out;
}

result<void>
check_put(const resource& it, const resource* current, const resource_lookup& find) {
  const std::string what = describe(kind_of(it.spec), it.name);
  const auto* next_key = std::get_if<key_spec>(&it.spec);
  if (next_key != nullptr && current != nullptr) {
    const auto* key = std::get_if<key_spec>(&current->spec);
    if (auto ok = check_key(it.name, *next_key, *key); !ok) {
      return ok;
    }
  }
  for (const auto& referenced : references_of(it.spec)) {
    if (find(referenced) == nullptr) {
      return fail(rule_error(error_code::invalid_argument,
                             what + " refers to " + describe(referenced.kind, referenced.name) +
                                 ", which does not exist"));
    }
  }
  const auto* model = std::get_if<model_spec>(&it.spec);
  if (model == nullptr || model->current_version.empty()) {
    return {};
  }
  const resource* version = find({resource_kind::version, model->current_version});
  if (std::get<version_spec>(version->spec).model.value != it.name) {
    return fail(
        rule_error(error_code::invalid_argument,
                   what + ": field 'current_version' refers to a version of another model"));
  }
  return {};
}

result<void>
check_digest_is_new(const resource& it, const config_snapshot& in) {
  const auto* key = std::get_if<key_spec>(&it.spec);
  const named_key* known = key == nullptr ? nullptr : in.key(key->secret_sha256);
  if (known == nullptr || known->id.value == it.name) {
    return {};
  }
  return fail(rule_error(error_code::conflict, describe(resource_kind::key, it.name) +
                                                   " has the same secret as another key"));
}

result<void>
check_remove(const resource_reference& it, const config_snapshot& in) {
  const std::string what = describe(it.kind, it.name);
  if (it.kind == resource_kind::key) {
    return fail(rule_error(
        error_code::conflict,
        what + " cannot be deleted, because it could then be created again; withdraw it"));
  }
  const std::string referrers = referrers_of(it, in);
  if (referrers.empty()) {
    return {};
  }
  return fail(rule_error(error_code::conflict, what + " is still in use by " + referrers));
}

} // namespace nutmegspur
