/// \file store_copy.h
/// What an instance holds of the platform's store, and the part of it that a peer is sent: an
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

/// A value as the store holds it.
struct stored_value {
  std::string value;
  revision modified; ///< Of the last change that says something new; heartbeats do not.
};

using stored_values = std::map<std::string, stored_value>;

struct store_copy {
  revision store; ///< All changes up to here are in it.
  std::int64_t config_version = 0;
  std::string config;
  stored_values upstreams; ///< By key.
  stored_values instances; ///< Registrations, by the instance's name.
  std::optional<instance_id> duties_holder;
};

/// Where a peer stands that asks for news.
struct copy_position {
  revision store;
  std::int64_t config_version = 0;
};

/// What such a peer lacks, and the names of all that is there, so that it can drop the rest.
struct store_update {
  revision store;
  std::string config; ///< Empty if the peer's is as new.
  stored_values upstreams;
  stored_values instances;
  std::vector<std::string> upstream_keys;
  std::vector<std::string> instance_names;
  std::optional<instance_id> duties_holder;
};

store_update update_since(const store_copy& copy, const copy_position& position);

std::string pack_store_update(const store_update& update);
result<store_update> unpack_store_update(std::string_view bytes);

/// The target of the request for news, and what it says. A target without a position asks for
/// everything.
std::string update_target(const copy_position& position);
copy_position parse_update_target(std::string_view target);
/// The path of such targets.
inline constexpr std::string_view update_path = "/store-news";

} // namespace nutmegspur::proxy
