/// \file fleet_size.h
/// How many on-demand and reclaimable upstreams a scaling service should have in each availability
/// zone, and the orders that get it there.
///
/// Reclaimable upstreams are cheap, but a zone may lose all of them at once; the zone's on-demand
/// upstreams and the reclaimable ones of other zones must then carry the load.
#pragma once

#include <nutmegspur/clock.h>
#include <nutmegspur/ids.h>
#include <nutmegspur/proxy_config.h>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace nutmegspur {

/// Number of upstreams of one service in one zone.
struct zone_fleet {
  std::uint32_t on_demand = 0;   ///< Not leaving.
  std::uint32_t reclaimable = 0; ///< Not leaving.
};

/// An order: the number of upstreams of one kind that a zone should have.
struct fleet_order {
  service_id service;
  zone_id zone;
  bool reclaimable = false;
  std::uint32_t wanted = 0;
};

/// Result of an order to the upstream interface.
enum class order_result {
  accepted,
  unavailable, ///< That kind is not available in that zone at the moment.
  refused,
  unknown, ///< No answer; the order may have been carried out.
};

template <> struct enum_names<order_result> {
  static constexpr std::array<enum_name<order_result>, 4> table{{
      {order_result::accepted, "accepted"},
      {order_result::unavailable, "unavailable"},
      {order_result::refused, "refused"},
      {order_result::unknown, "unknown"},
  }};
};

/// Settings that determine fleet sizes and when orders are repeated.
struct fleet_policy {
  /// On-demand upstreams in a zone, as a share of the zone's maximum.
  double on_demand_share = 0.25;
  /// Upper limit of on-demand upstreams. With all reclaimable ones lost this leaves one for
  /// prefill, one for decode and a spare one, and the other zones carry the load.
  std::uint32_t max_on_demand = 3;
  /// Upstreams of both kinds in a zone, as a share of the zone's maximum.
  double total_share = 1.0;
  /// Maximum number of on-demand upstreams given up by one order, as a share of the zone's maximum:
  /// the zone runs with fewer upstreams until reclaimable ones have replaced them.
  double max_cut_share = 0.25;
  /// Delay before an order is repeated that was refused or unavailable.
  milliseconds unavailable_retry_delay{1'500};
  /// Delay before an order is repeated whose answer was lost. A repeated order with the same number
  /// is the same order.
  milliseconds unknown_repeat_delay{2'000};
  /// An accepted order is repeated if the number of listed upstreams does not match it after this
  /// time.
  milliseconds accepted_repeat_delay{8'000};
};

/// How many upstreams of each kind a zone should have.
zone_fleet wanted_fleet(const scaling_limits& limits, const fleet_policy& policy);

/// Determines which orders to send; one at a time for each service, zone and kind.
class fleet_orders {
 public:
  explicit fleet_orders(fleet_policy policy) : policy_(policy) {}

  /// Returns the orders to send now; each is in progress until `on_result` is called for it.
  std::vector<fleet_order> step(const moment& now, const service_id& service,
                                const scaling_limits& limits,
                                const std::map<zone_id, zone_fleet>& fleets);
  void on_result(const moment& now, const fleet_order& order, order_result answer);

  /// Forgets all orders in progress; for when the authority is lost.
  void reset() { orders_.clear(); }

 private:
  struct order_key {
    service_id service;
    zone_id zone;
    bool reclaimable = false;

    auto operator<=>(const order_key&) const = default;
  };

  struct order_state {
    bool in_progress = false;
    std::uint32_t wanted = 0;
    time_point next_order_at{};
  };

  fleet_policy policy_;
  std::map<order_key, order_state> orders_;
};

} // namespace nutmegspur
