// Look-ups in a configuration snapshot, and the changes that build the next one.
#include <nutmegspur/config.h>

#include <algorithm>

namespace nutmegspur {

namespace {

template <class Map>
auto
find_in(Map& map, const std::string& name) -> decltype(&map.begin()->second) {
  const auto it = map.find(name);
  return it == map.end() ? nullptr : &it->second;
}

template <class Spec>
const Spec*
spec_of(const resource* it) {
  return it == nullptr ? nullptr : std::get_if<Spec>(&it->spec);
}

template <class Snapshot>
auto&
map_of(Snapshot& in, resource_kind kind) {
  switch (kind) {
  case resource_kind::team:
    return in.teams;
  case resource_kind::key:
    return in.keys;
  case resource_kind::model:
    return in.models;
  case resource_kind::adapter:
    return in.adapters;
  case resource_kind::version:
    return in.versions;
  case resource_kind::offer:
    return in.offers;
  case resource_kind::route:
    return in.routes;
  case resource_kind::drain:
    return in.drains;
  case resource_kind::upstream:
    break;
  }
  return in.upstreams;
}

template <class T>
bool
contains(const std::vector<T>& list, const T& wanted) {
  return std::find(list.begin(), list.end(), wanted) != list.end();
}

/// Whether `path` is `prefix` or is below it: "/pay" covers "/pay" and "/pay/1", not "/payroll".
bool
covers(const std::string& prefix, const std::string& path) {
  if (!path.starts_with(prefix)) {
    return false;
  }
  return prefix.ends_with('/') || path.size() == prefix.size() || path[prefix.size()] == '/';
}

/// Whether `path` contains a "." or ".." segment, plain or percent-encoded. A service may resolve
/// such a path to one that belongs to another route, so no route matches it.
bool
has_dot_segment(std::string path) {
  for (const std::string_view encoded : {"%2e", "%2E"}) {
    for (auto at = path.find(encoded); at != std::string::npos; at = path.find(encoded, at)) {
      path.replace(at, encoded.size(), ".");
    }
  }
  path += '/';
  return path.find("/./") != std::string::npos || path.find("/../") != std::string::npos;
}

} // namespace

const resource*
config_snapshot::find(resource_kind kind, const std::string& name) const {
  return find_in(map_of(*this, kind), name);
}

const std::unordered_map<std::string, resource>&
config_snapshot::all_of(resource_kind kind) const {
  return map_of(*this, kind);
}

const team_spec*
config_snapshot::team(const team_id& id) const {
  return spec_of<team_spec>(find_in(teams, id.value));
}

const model_spec*
config_snapshot::model(const model_id& id) const {
  return spec_of<model_spec>(find_in(models, id.value));
}

const named_key*
config_snapshot::key(const std::string& secret_sha256) const {
  return find_in(keys_by_digest, secret_sha256);
}

bool
config_snapshot::offered(const team_id& team, const model_id& model, const zone_id& zone) const {
  const auto allows = [&](const auto& entry) {
    const auto* it = spec_of<offer_spec>(&entry.second);
    if (it == nullptr || it->model != model) {
      return false;
    }
    const bool zone_matches = it->zones.empty() || contains(it->zones, zone);
    const bool team_matches = it->open_to_all || (!team.empty() && contains(it->teams, team));
    return zone_matches && team_matches;
  };
  return std::any_of(offers.begin(), offers.end(), allows);
}

const route_spec*
config_snapshot::route(const service_id& service, const std::string& path) const {
  if (has_dot_segment(path)) {
    return nullptr;
  }
  const route_spec* best = nullptr;
  const std::string* best_name = nullptr;
  for (const auto& [name, entry] : routes) {
    const auto* it = spec_of<route_spec>(&entry);
    if (it == nullptr || it->service != service || !covers(it->path_prefix, path)) {
      continue;
    }
    const bool is_longer = best == nullptr || it->path_prefix.size() > best->path_prefix.size();
    // Of two routes with the same prefix the name that sorts first applies, so that all instances
    // choose the same route.
    const bool same_length = best != nullptr && it->path_prefix.size() == best->path_prefix.size();
    if (is_longer || (same_length && name < *best_name)) {
      best = it;
      best_name = &name;
    }
  }
  return best;
}

bool
config_snapshot::drained(const upstream_id& upstream) const {
  const auto is_for_upstream = [&](const auto& entry) {
    const auto* it = spec_of<drain_spec>(&entry.second);
    return it != nullptr && it->upstream == upstream;
  };
  return std::any_of(drains.begin(), drains.end(), is_for_upstream);
}

upstream_spec
config_snapshot::upstream(const upstream_id& id) const {
  const auto* it = spec_of<upstream_spec>(find_in(upstreams, id.value));
  return it == nullptr ? upstream_spec{} : *it;
}

void
config_snapshot::put(const resource& it) {
  const resource_kind kind = kind_of(it.spec);
  remove(kind, it.name);
  map_of(*this, kind).emplace(it.name, it);
  if (const auto* spec = std::get_if<key_spec>(&it.spec)) {
    index_key(it.name, *spec);
  }
}

void
config_snapshot::remove(resource_kind kind, const std::string& name) {
  auto& map = map_of(*this, kind);
  const auto it = map.find(name);
  if (it == map.end()) {
    return;
  }
  const resource old = std::move(it->second);
  map.erase(it);
  if (const auto* spec = std::get_if<key_spec>(&old.spec)) {
    unindex_key(name, spec->secret_sha256);
  }
}

void
config_snapshot::index_key(const std::string& name, const key_spec& spec) {
  const named_key entry{key_id{name}, spec};
  const auto [it, added] = keys_by_digest.try_emplace(spec.secret_sha256, entry);
  if (added) {
    return;
  }
  // Of two keys with the same secret the withdrawn one takes precedence, so that a copy of a
  // withdrawn key under another name does not make it usable again. Otherwise the name that sorts
  // first does, so that all instances choose the same key.
  const named_key& held = it->second;
  const auto rank = [](const named_key& of) {
    return std::pair<bool, const std::string&>{!of.spec.withdrawn, of.id.value};
  };
  if (rank(entry) < rank(held)) {
    it->second = entry;
  }
}

void
config_snapshot::unindex_key(const std::string& name, const std::string& secret_sha256) {
  const auto known = keys_by_digest.find(secret_sha256);
  if (known == keys_by_digest.end() || known->second.id.value != name) {
    return;
  }
  keys_by_digest.erase(known);
  for (const auto& [other, entry] : keys) {
    const auto* spec = std::get_if<key_spec>(&entry.spec);
    if (spec != nullptr && spec->secret_sha256 == secret_sha256) {
      index_key(other, *spec);
    }
  }
}

} // namespace nutmegspur
