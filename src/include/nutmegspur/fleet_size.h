/// \file fleet_size.h
/// How many upstreams of a scaling service each availability zone should have, on demand and
/// reclaimable, and which orders bring that about.
///
/// Reclaimable upstreams are cheap, and a zone may lose all of them at once; the on-demand ones of
/// a zone, and the reclaimable ones of the others, must carry the load then.
#pragma once

#include <nutmegspur/clock.h>
#include <nutmegspur/ids.h>
#include <nutmegspur/proxy_config.h>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace nutmegspur {

/// Upstreams of one service in one zone, as listed.
struct zone_fleet {
  std::uint32_t on_demand = 0;   ///< Not leaving.
  std::uint32_t reclaimable = 0; ///< Not leaving.
};

/// An order: the wanted number of one kind in a zone.
struct fleet_order {
  service_id service;
  zone_id zone;
  bool reclaimable = false;
  std::uint32_t wanted = 0;
};

/// What the interface made of an order.
enum class order_result {
  accepted,
  unavailable, ///< None of that kind are to be had in that zone now.
  refused,
  unknown, ///< No answer; it may have been carried out.
};

template <> struct enum_names<order_result> {
  static constexpr std::array<enum_name<order_result>, 4> table{{
      {order_result::accepted, "accepted"},
      {order_result::unavailable, "unavailable"},
      {order_result::refused, "refused"},
      {order_result::unknown, "unknown"},
  }};
};

/// Sizes for one service.
struct fleet_policy {
  /// On-demand upstreams that a zone keeps, as a share of the most that it may have.
  double on_demand_share = 0.25;
  /// And no more than this: with all reclaimable ones lost, one that reads prompts, one that makes
  /// tokens and a spare one are left, and the other zones carry the load.
  std::uint32_t max_on_demand = 3;
  /// Upstreams in all that a zone should have, as a share of the most.
  double total_share = 1.0;
  /// On-demand upstreams that are given up at once, as a share of the most that a zone may have:
  /// until reclaimable ones have started in their place, the zone lacks them.
  double max_cut_share = 0.25;
  /// An order that was unavailable is tried again after this.
  milliseconds unavailable_retry_delay{1'500};
  /// An order whose answer was lost is repeated after this; the same number is the same order.
  milliseconds unknown_repeat_delay{2'000};
  /// An accepted order is repeated if the list has not come to match it after this.
  milliseconds accepted_repeat_delay{8'000};
};

/// The wanted numbers of a zone.
zone_fleet wanted_fleet(const scaling_limits& limits, const fleet_policy& policy);

/// Works out orders; one at a time for each service, zone and kind.
class fleet_orders {
 public:
  explicit fleet_orders(fleet_policy policy) : policy_(policy) {}

  /// Orders that should be sent now; each is under way until `on_result`.
  std::vector<fleet_order> step(const moment& now, const service_id& service,
                                const scaling_limits& limits,
                                const std::map<zone_id, zone_fleet>& fleets);
  void on_result(const moment& now, const fleet_order& order, order_result answer);

  /// The authority was lost: nothing is under way any more.
  void reset() { orders_.clear(); }

 private:
  struct order_key {
    service_id service;
    zone_id zone;
    bool reclaimable = false;

    auto operator<=>(const order_key&) const = default;
  };

  struct order_state {
    bool under_way = false;
    std::uint32_t wanted = 0;
    time_point next_order_at{};
  };

  fleet_policy policy_;
  std::map<order_key, order_state> orders_;
};

} // namespace nutmegspur
