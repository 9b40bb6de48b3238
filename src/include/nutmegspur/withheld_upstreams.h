/// \file withheld_upstreams.h
/// Upstreams that temporarily get no new requests, by notices that instances share. There are two
/// reasons: an engine whose stage is about to change rejects requests that it has not started, and
/// an address may have been taken over by another process before the upstream list shows it.
///
/// The end is a wall-clock time on which all instances agree, so that forwarding a notice does not
/// extend it.
#pragma once

#include <nutmegspur/clock.h>
#include <nutmegspur/ids.h>
#include <nutmegspur/upstream_list.h>

#include <map>
#include <vector>

namespace nutmegspur {

/// Excludes one upstream from new requests until a condition or a time.
struct withheld_notice {
  upstream_id upstream;
  /// The notice also ends when the upstream is listed with this stage; `none`: only at `until`.
  engine_stage until_stage = engine_stage::none;
  wall_time until{}; ///< Agreed wall-clock time at which the notice ends in any case.

  bool operator==(const withheld_notice&) const = default;
};

/// The notices in force, at most one per upstream.
class withheld_upstreams {
 public:
  /// Adds a local notice or a peer's. If an upstream already has a notice, the one that ends later
  /// applies. Returns whether `notice` was stored.
  bool add(const withheld_notice& notice);

  /// Removes the notice of an upstream that is gone or is now another process.
  void forget(const upstream_id& id) { notices_.erase(id); }

  /// Whether `it` must get no new requests at the agreed time `now`.
  [[nodiscard]] bool withheld(wall_time now, const listed_upstream& it) const;
  /// Returns all notices in force, for peers, and removes the expired ones.
  std::vector<withheld_notice> current(wall_time now);

 private:
  std::map<upstream_id, withheld_notice> notices_;
};

} // namespace nutmegspur
