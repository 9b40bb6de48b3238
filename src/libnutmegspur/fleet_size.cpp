// Numbers of upstreams that zones should have, and the orders for them.
#include <nutmegspur/fleet_size.h>

#include <algorithm>
#include <cmath>

namespace nutmegspur {

zone_fleet
wanted_fleet(const scaling_limits& limits, const fleet_policy& policy) {
  const auto upstreams_for = [&](double share) {
    const auto n = static_cast<std::uint32_t>(std::lround(limits.max_upstreams * share));
    return std::clamp(n, std::max(limits.min_upstreams, 1U), std::max(limits.max_upstreams, 1U));
  };
  const std::uint32_t total = upstreams_for(policy.total_share);
  if (!limits.reclaimable_price) {
    return {total, 0};
  }
  const std::uint32_t on_demand =
      std::min({upstreams_for(policy.on_demand_share),
                std::max(policy.max_on_demand, limits.min_upstreams), total});
  return {on_demand, total - on_demand};
}

std::vector<fleet_order>
fleet_orders::step(const moment& now, const service_id& service, const scaling_limits& limits,
                   const std::map<zone_id, zone_fleet>& fleets) {
  std::vector<fleet_order> out;
  const zone_fleet wanted = wanted_fleet(limits, policy_);
  for (const auto& [zone, current] : fleets) {
    const auto order_if_needed = [&, &zone = zone](bool reclaimable, std::uint32_t current_count,
                                                   std::uint32_t target_count) {
      order_state& state = orders_[{service, zone, reclaimable}];
      const bool matches = current_count == target_count;
      if (state.in_progress || matches ||
          (state.wanted == target_count && now.boot < state.next_order_at)) {
        return;
      }
      state.in_progress = true;
      state.wanted = target_count;
      out.push_back({service, zone, reclaimable, target_count});
    };
    // Both kinds together must not exceed the limit, so only the room left by on-demand upstreams
    // is filled with reclaimable ones.
    const std::uint32_t room =
        limits.max_upstreams - std::min(limits.max_upstreams, current.on_demand);
    order_if_needed(true, current.reclaimable, std::min(wanted.reclaimable, room));
    const bool reclaimable_in_place =
        current.reclaimable + current.on_demand >= limits.max_upstreams || room == 0 ||
        current.reclaimable >= std::min(wanted.reclaimable, room);
    if (current.on_demand < wanted.on_demand || reclaimable_in_place) {
      const auto max_cut = std::max(
          static_cast<std::uint32_t>(std::lround(limits.max_upstreams * policy_.max_cut_share)),
          1U);
      const std::uint32_t min_remaining = current.on_demand - std::min(current.on_demand, max_cut);
      order_if_needed(false, current.on_demand, std::max(wanted.on_demand, min_remaining));
    }
  }
  return out;
}

void
fleet_orders::on_result(const moment& now, const fleet_order& order, order_result answer) {
  order_state& state = orders_[{order.service, order.zone, order.reclaimable}];
  state.in_progress = false;
  switch (answer) {
  case order_result::accepted:
    state.next_order_at = now.boot + policy_.accepted_repeat_delay;
    break;
  case order_result::unavailable:
  case order_result::refused:
    state.next_order_at = now.boot + policy_.unavailable_retry_delay;
    break;
  case order_result::unknown:
    state.next_order_at = now.boot + policy_.unknown_repeat_delay;
    break;
  }
}

} // namespace nutmegspur
