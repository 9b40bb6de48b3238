/// \file withheld_upstreams.h
/// Upstreams that take no new requests for a while, as instances tell each other: an engine whose
/// stage is about to change rejects what it has not begun, and an address may have passed to
/// another process before the list shows it.
///
/// The end is a time of day that all agree on, so that passing a notice on does not lengthen it.
#pragma once

#include <nutmegspur/clock.h>
#include <nutmegspur/ids.h>
#include <nutmegspur/upstream_list.h>

#include <map>
#include <vector>

namespace nutmegspur {

/// Why and until when an upstream takes nothing.
struct withheld_notice {
  upstream_id upstream;
  /// It takes requests again once it is listed with this stage; `none` if only the time counts.
  engine_stage until_stage = engine_stage::none;
  wall_time until{}; ///< Agreed time of day; then it takes requests again in any case.

  bool operator==(const withheld_notice&) const = default;
};

class withheld_upstreams {
 public:
  /// Takes a notice, an own one or a peer's. Of two for an upstream the one that ends later counts.
  /// Returns whether it is new.
  bool add(const withheld_notice& notice);

  /// Another process is there under its id, or none.
  void forget(const upstream_id& id) { notices_.erase(id); }

  /// Whether `it` takes no new requests at the agreed time `now`.
  [[nodiscard]] bool withheld(wall_time now, const listed_upstream& it) const;
  /// All that have not ended, for peers; drops the others.
  std::vector<withheld_notice> current(wall_time now);

 private:
  std::map<upstream_id, withheld_notice> notices_;
};

} // namespace nutmegspur
