/// \file config.h
/// The configuration in force as an immutable snapshot, with the look-ups that request handling
/// needs.
///
/// Each instance keeps its snapshot current with a replica (config_replica.h). The replica reads
/// the whole configuration once, from the store or, while the store is unavailable, from a peer,
/// and then applies changes. It never returns to an older revision and never applies part of a
/// change. A few relays in each zone watch the store and forward changes to the other instances.
#pragma once

#include <nutmegspur/decision.h>
#include <nutmegspur/records.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace nutmegspur {

/// A key resource: its name and spec.
struct named_key {
  key_id id;
  key_spec spec;
};

/// The whole configuration at one revision.
struct config_snapshot {
  revision at;
  std::unordered_map<std::string, resource> teams;
  std::unordered_map<std::string, resource> keys;
  std::unordered_map<std::string, resource> models;
  std::unordered_map<std::string, resource> adapters;
  std::unordered_map<std::string, resource> versions;
  std::unordered_map<std::string, resource> offers;
  std::unordered_map<std::string, resource> routes;
  std::unordered_map<std::string, resource> drains;
  std::unordered_map<std::string, resource> upstreams;
  /// Keys by the digest of their secret. Invariant: has exactly one entry for each digest that
  /// occurs in `keys`. If several keys share a digest, a withdrawn key takes precedence, then the
  /// name that sorts first.
  std::unordered_map<std::string, named_key> keys_by_digest;

  /// The resource, or null if there is none.
  [[nodiscard]] const resource* find(resource_kind kind, const std::string& name) const;
  /// All resources of `kind`, indexed by name.
  [[nodiscard]] const std::unordered_map<std::string, resource>& all_of(resource_kind kind) const;
  [[nodiscard]] const team_spec* team(const team_id& id) const;
  [[nodiscard]] const model_spec* model(const model_id& id) const;
  /// The key whose secret has this digest, even if it is withdrawn; null if there is none.
  [[nodiscard]] const named_key* key(const std::string& secret_sha256) const;
  /// Whether `team` may use `model` in `zone`. An empty `team` stands for a call without a key.
  [[nodiscard]] bool offered(const team_id& team, const model_id& model, const zone_id& zone) const;
  /// The route with the longest matching prefix. Null if none matches or if `path` contains a "."
  /// or ".." segment.
  [[nodiscard]] const route_spec* route(const service_id& service, const std::string& path) const;
  /// Whether an operator has asked that the upstream be drained.
  [[nodiscard]] bool drained(const upstream_id& upstream) const;
  /// The operators' settings of the upstream, or the defaults if there are none.
  [[nodiscard]] upstream_spec upstream(const upstream_id& id) const;

  /// Adds or replaces a resource and updates `keys_by_digest`.
  void put(const resource& it);
  /// Removes a resource, if it exists, and updates `keys_by_digest`.
  void remove(resource_kind kind, const std::string& name);

 private:
  void index_key(const std::string& name, const key_spec& spec);
  void unindex_key(const std::string& name, const std::string& secret_sha256);
};

using config_view = std::shared_ptr<const config_snapshot>;

} // namespace nutmegspur
