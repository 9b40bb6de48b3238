/// \file config.h
/// The configuration in force: an immutable snapshot, and the replica that keeps it current.
///
/// A replica reads the whole configuration once (from the store, or from a peer while the store is
/// out), then follows changes. It never goes back to an older revision and never applies half a
/// change. A few relays in each zone watch the store; all other instances hear from them.
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

/// A key and its name.
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
  /// Keys by the digest of their secret. Invariant: each digest in `keys` is here, once; where
  /// two keys share one, a withdrawn key goes first, then the lesser name.
  std::unordered_map<std::string, named_key> keys_by_digest;

  /// The resource, or null.
  [[nodiscard]] const resource* find(resource_kind kind, const std::string& name) const;
  /// All resources of a kind, by name.
  [[nodiscard]] const std::unordered_map<std::string, resource>& all_of(resource_kind kind) const;
  [[nodiscard]] const team_spec* team(const team_id& id) const;
  [[nodiscard]] const model_spec* model(const model_id& id) const;
  /// The key with this secret's digest, withdrawn or not, or null.
  [[nodiscard]] const named_key* key(const std::string& secret_sha256) const;
  /// Whether `team` (empty: no key) may use `model` in `zone`.
  [[nodiscard]] bool offered(const team_id& team, const model_id& model, const zone_id& zone) const;
  /// The route with the longest matching prefix, or null; none for a path with dot segments.
  [[nodiscard]] const route_spec* route(const service_id& service, const std::string& path) const;
  [[nodiscard]] bool drained(const upstream_id& upstream) const;
  /// What operators state about the upstream, or the defaults.
  [[nodiscard]] upstream_spec upstream(const upstream_id& id) const;

  /// Adds or replaces one resource, and keeps `keys_by_digest` in step.
  void put(const resource& it);
  /// Removes one resource, if it is there.
  void remove(resource_kind kind, const std::string& name);

 private:
  void index_key(const std::string& name, const key_spec& spec);
  void unindex_key(const std::string& name, const std::string& secret_sha256);
};

using config_view = std::shared_ptr<const config_snapshot>;

} // namespace nutmegspur
