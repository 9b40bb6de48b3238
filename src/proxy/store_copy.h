/// \file store_copy.h
/// The message with which an instance that does not watch the store, or cannot reach it, follows it
/// through a peer: an update of the replica (store_replica.h) and of the configuration, which has
/// an order of its own, its version.
#pragma once

#include <nutmegspur/error.h>
#include <nutmegspur/store_replica.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace nutmegspur::proxy {

/// What an instance that requests an update holds.
struct copy_position {
  revision store;
  std::int64_t config_version = 0;
};

struct store_update {
  replica_update replica;
  std::string config; ///< Empty if the peer's configuration is at least as new.
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

/// The path and the message of earlier releases, whose instances still run while a release is
/// rolled out: the entries that changed since `base`, and the keys of all that exist.
inline constexpr std::string_view earlier_update_path = "/store-news";
std::string pack_earlier_update(const store_replica& replica, revision base,
                                const std::string& config, std::string_view upstream_prefix,
                                std::string_view instance_prefix, const std::string& duties_holder);

} // namespace nutmegspur::proxy
