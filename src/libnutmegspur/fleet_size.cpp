// Wanted numbers of upstreams, and the orders for them.
#include <nutmegspur/fleet_size.h>

#include <algorithm>
#include <cmath>

namespace nutmegspur {

zone_fleet
wanted_fleet(const scaling_limits& limits, const fleet_policy& policy) {
  const auto share = [&](double part) {
    const auto n = static_cast<std::uint32_t>(std::lround(limits.max_upstreams * part));
    return std::clamp(n, std::max(limits.min_upstreams, 1U), std::max(limits.max_upstreams, 1U));
  };
  const std::uint32_t total = share(policy.total_share);
  if (!limits.reclaimable_price) {
    return {total, 0};
  }
  const std::uint32_t on_demand =
      std::min({share(policy.on_demand_share),
                std::max(policy.most_on_demand, limits.min_upstreams), total});
  return {on_demand, total - on_demand};
}

std::vector<fleet_order>
fleet_orders::step(const moment& now, const service_id& service, const scaling_limits& limits,
                   const std::map<zone_id, zone_fleet>& fleets) {
  std::vector<fleet_order> out;
  const zone_fleet wanted = wanted_fleet(limits, policy_);
  for (const auto& [zone, has] : fleets) {
    const auto consider = [&, &zone = zone](bool reclaimable, std::uint32_t have,
                                            std::uint32_t want) {
      order_state& state = orders_[{service, zone, reclaimable}];
      const bool matches = have == want;
      if (state.under_way || matches || (state.wanted == want && now.boot < state.next)) {
        return;
      }
      state.under_way = true;
      state.wanted = want;
      out.push_back({service, zone, reclaimable, want});
    };
    // Both kinds together are bounded: room is made before it is filled.
    const std::uint32_t room = limits.max_upstreams - std::min(limits.max_upstreams, has.on_demand);
    consider(true, has.reclaimable, std::min(wanted.reclaimable, room));
    const bool cheap_there = has.reclaimable + has.on_demand >= limits.max_upstreams || room == 0 ||
                             has.reclaimable >= std::min(wanted.reclaimable, room);
    if (has.on_demand < wanted.on_demand || cheap_there) {
      const auto cut = std::max(
          static_cast<std::uint32_t>(std::lround(limits.max_upstreams * policy_.largest_cut)), 1U);
      const std::uint32_t kept = has.on_demand - std::min(has.on_demand, cut);
      consider(false, has.on_demand, std::max(wanted.on_demand, kept));
    }
  }
  return out;
}

void
fleet_orders::on_result(const moment& now, const fleet_order& order, order_result how) {
  order_state& state = orders_[{order.service, order.zone, order.reclaimable}];
  state.under_way = false;
  switch (how) {
  case order_result::accepted:
    state.next = now.boot + policy_.repeat_accepted;
    break;
  case order_result::unavailable:
  case order_result::refused:
    state.next = now.boot + policy_.retry_unavailable;
    break;
  case order_result::unknown:
    state.next = now.boot + policy_.repeat_unknown;
    break;
  }
}

} // namespace nutmegspur
