/// \file store_copy.h
/// The message with which an instance that does not watch the store, or cannot reach it, follows it
/// through a peer: an update of the replica (store_replica.h), and the configuration, which has an
/// order of its own, its version, and a message of its own: it is far longer than what changes in
/// the replica, which must not wait for it.
#pragma once

#include <nutmegspur/error.h>
#include <nutmegspur/store_replica.h>

#include <cstdint>
#include <limits>
#include <string>
#include <string_view>

namespace nutmegspur::proxy {

/// What an instance that requests an update holds.
struct copy_position {
  /// In a request for the replica alone, in place of the version that is held.
  static constexpr std::int64_t without_config = std::numeric_limits<std::int64_t>::max();

  revision store;
  std::int64_t config_version = 0;
};

struct store_update {
  replica_update replica;
  /// Empty if the peer's configuration is at least as new. Only instances of earlier releases
  /// request it in this message.
  std::string config;
  /// Removals of upstreams up to this revision are final (upstream_list::confirm_removals()).
  revision final_through;
};

std::string pack_store_update(const store_update& update);
result<store_update> unpack_store_update(std::string_view bytes);

/// Encodes and decodes a position in the target of an update request. A target without a position
/// requests everything.
std::string update_target(const copy_position& position);
copy_position parse_update_target(std::string_view target);
/// Path of update requests.
inline constexpr std::string_view update_path = "/store-update";

/// The configuration as stored, compressed; empty if the peer's is at least as new.
std::string pack_config_copy(std::string_view config);
result<std::string> unpack_config_copy(std::string_view bytes);

/// Target of a request for the configuration if its version is higher than `held`.
std::string config_target(std::int64_t held);
inline constexpr std::string_view config_path = "/store-config";

/// The path and the message of earlier releases, whose instances still run while a release is
/// rolled out: the entries that changed since `base`, and the keys of all that exist.
inline constexpr std::string_view earlier_update_path = "/store-news";
std::string pack_earlier_update(const store_replica& replica, revision base,
                                const std::string& config, std::string_view upstream_prefix,
                                std::string_view instance_prefix, const std::string& duties_holder);

} // namespace nutmegspur::proxy
