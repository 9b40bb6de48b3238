/// \file upstream_derivation.h
/// Derives the list of upstreams (upstream_list.h) from the replica of the store
/// (store_replica.h).
#pragma once

#include <nutmegspur/error.h>
#include <nutmegspur/store_replica.h>
#include <nutmegspur/upstream_list.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace nutmegspur {

/// What has become of an upstream whose entry changed.
struct derived_upstream {
  upstream_id id;
  upstream_change how = upstream_change::none;
  std::optional<error> unreadable; ///< Its entry cannot be read, so it names no upstream to use.
};

class upstream_derivation {
 public:
  using entry_parser =
      std::function<result<listed_upstream>(const std::string& key, const std::string& value)>;

  /// `prefix` is that of the upstreams' keys; the rest of a key is the upstream's id.
  upstream_derivation(std::string prefix, entry_parser parse)
      : prefix_(std::move(prefix)), parse_(std::move(parse)), changes_(prefix_) {}

  /// Applies what has changed in `replica` since the last call to `list`, which nothing else may
  /// change.
  std::vector<derived_upstream> step(const moment& now, const store_replica& replica,
                                     upstream_list& list);

 private:
  std::string prefix_;
  entry_parser parse_;
  key_changes changes_;
};

} // namespace nutmegspur
