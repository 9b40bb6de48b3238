/// \file store_copy.h
/// An instance's copy of the platform's store, and the update of it that is sent to a peer: an
/// instance that does not watch the store, or cannot reach it, follows it through a peer.
#pragma once

#include <nutmegspur/error.h>
#include <nutmegspur/ids.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegspur::proxy {

/// A value as stored.
struct stored_value {
  std::string value;
  revision modified; ///< Revision of the last change that is not just a heartbeat.
};

using stored_values = std::map<std::string, stored_value>;

struct store_copy {
  revision store; ///< The copy contains all changes up to this revision.
  std::int64_t config_version = 0;
  std::string config;
  stored_values upstreams; ///< By key.
  stored_values instances; ///< Registrations, by the instance's name.
  std::optional<instance_id> duties_holder;
};

/// State of the copy of a peer that requests an update.
struct copy_position {
  revision store;
  std::int64_t config_version = 0;
};

/// The entries that changed since the peer's position, and the keys of all that exist, so that the
/// peer can remove the others.
struct store_update {
  revision store;
  std::string config; ///< Empty if the peer's configuration is at least as new.
  stored_values upstreams;
  stored_values instances;
  std::vector<std::string> upstream_keys;
  std::vector<std::string> instance_names;
  std::optional<instance_id> duties_holder;
};

store_update update_since(const store_copy& copy, const copy_position& position);

std::string pack_store_update(const store_update& update);
result<store_update> unpack_store_update(std::string_view bytes);

/// Encodes and decodes a position in the target of an update request. A target without a position
/// requests everything.
std::string update_target(const copy_position& position);
copy_position parse_update_target(std::string_view target);
/// Path of update requests.
inline constexpr std::string_view update_path = "/store-news";

} // namespace nutmegspur::proxy
