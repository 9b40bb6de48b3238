/// \file upstream_removals.h
/// Removals of upstreams' entries from the store that instances tell each other. An instance that
/// does not reach the store, or follows it through one that does not, learns from these notices
/// that an upstream has left.
///
/// Only an instance that the store serves, and that is in no grace period (upstream_list.h),
/// announces a removal. The end is an agreed wall-clock time, so that forwarding a notice does not
/// extend it.
#pragma once

#include <nutmegspur/clock.h>
#include <nutmegspur/ids.h>

#include <map>
#include <vector>

namespace nutmegspur {

/// The entry of an upstream was removed from the store.
struct removal_notice {
  upstream_id upstream;
  revision at;       ///< An entry that was written later is not concerned.
  wall_time until{}; ///< Agreed wall-clock time until which peers are told.

  bool operator==(const removal_notice&) const = default;
};

/// The removals that peers are told of, the latest one of each upstream.
class upstream_removals {
 public:
  /// Longer than an instance is usually cut off from its peers.
  static constexpr milliseconds shared_period{8'000};

  /// Adds an own notice or a peer's.
  void add(const removal_notice& notice);
  /// Returns the notices in force at the agreed time `now`, and drops the others.
  std::vector<removal_notice> current(wall_time now);

 private:
  std::map<upstream_id, removal_notice> notices_;
};

} // namespace nutmegspur
