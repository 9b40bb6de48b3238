/// \file upstream_table.h
/// State of the upstreams of an instance's own zone and, in less detail, of other zones.
///
/// Updated from the instance list, operators' drains, engines' reports and peers' digests; read by
/// the router, the order manager and the fleet planner.
#pragma once

#include <nutmegspur/decision.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

namespace nutmegspur {

/// State of one upstream.
struct upstream_state {
  listed_instance listed;
  bool leaving = false;  ///< Some source reported that it is leaving; takes no new work.
  bool drained = false;  ///< An operator's drain is active.
  bool changing = false; ///< A change of role or model is in progress or about to be ordered.
  bool suspect = false;  ///< An attempt failed there; avoided until `suspect_until`.
  time_point suspect_until{};
  engine_state state; ///< As last reported.
  engine_load load;   ///< As last reported, directly or in a peer's digest.
  moment load_measured{};
  fence highest_fence;
  std::uint64_t last_sequence = 0;
  /// Requests of this instance in progress there.
  std::uint32_t own_in_flight = 0;
  std::uint32_t own_prompt_tokens = 0; ///< Of this instance's requests; not yet prefilled, as far
                                       ///< as this instance can tell.
  /// Prefix blocks assumed to be cached there.
  std::unordered_set<std::uint64_t> cached_blocks;
  std::uint64_t last_cache_event = 0;

  /// Whether it may take new work.
  [[nodiscard]] bool takes_work(time_point now) const {
    return !leaving && !drained && !changing && (!suspect || now >= suspect_until);
  }
};

/// Upstreams by id.
using upstream_map = std::map<upstream_id, upstream_state>;

} // namespace nutmegspur
