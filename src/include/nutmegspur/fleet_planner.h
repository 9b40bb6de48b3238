/// \file fleet_planner.h
/// Plans the engines of a zone: the role of each, and how many upstreams of each kind to order.
///
/// The plan follows the traffic mix that arrives at this instance, and is acted on only while this
/// instance has the zone's authority. Changes go through hooks to the order manager, which drains
/// an engine before it changes it.
#pragma once

#include <nutmegspur/authority.h>
#include <nutmegspur/role_planning.h>
#include <nutmegspur/upstream_table.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace nutmegspur {

/// Settings of a fleet planner.
struct fleet_options {
  zone_id zone;
  engine_profile shape;
  milliseconds period{1000};
  /// Time constant of the exponential average of the traffic mix; must be well below `horizon`.
  seconds mix_time_constant{15};
  /// Engine time that a role change costs, including the drain.
  seconds change_cost{12};
  /// A role change must repay its cost within this time.
  seconds horizon{120};
  /// A role is changed only if that raises the share of the traffic that can be served by at least
  /// this fraction.
  double hysteresis = 0.04;
  /// Minimum time between two role changes in the zone.
  seconds min_change_interval{30};
  /// Maximum number of changes in progress in the zone.
  std::uint32_t max_changes = 1;
  /// Roles are not changed while a smaller share than this of the engines is busy.
  double min_utilization = 0.6;

  /// Share of an engine's sustained rate that is planned for.
  double target_utilization = 0.7;
  /// Maximum share of a zone's engines that one reclaim may take away, in percent.
  std::uint32_t reclaimable_percent = 50;
  std::uint32_t min_upstreams = 2;
  std::uint32_t max_upstreams = 64;
  /// Fewer upstreams must be needed for this long before the target is lowered by one.
  seconds shrink_delay{120};
};

/// Functions through which a fleet planner reaches the rest of the node.
struct fleet_hooks {
  /// Sets the state that an engine should have.
  std::function<void(const moment&, const upstream_id&, const engine_state&, action_list&)>
      set_wanted_state;
  /// Sets how many upstreams of a kind the zone should have. Optional: without it none are ordered.
  std::function<void(const moment&, const std::string& kind, std::uint32_t, action_list&)>
      set_wanted_upstreams;
  /// Number of entry instances in the zone; they share its callers evenly.
  std::function<std::uint32_t()> instances;
};

/// How many upstreams of each kind a zone should have.
struct upstream_counts {
  std::uint32_t on_demand = 0;
  std::uint32_t reclaimable = 0;

  bool operator==(const upstream_counts&) const = default;
};

/// Splits `needed` upstreams by kind so that at most `reclaimable_percent` of them are reclaimable.
upstream_counts split_by_kind(std::uint32_t needed, std::uint32_t reclaimable_percent);

/// Decides on role changes and orders of upstreams (duty::fleet).
class fleet_planner {
 public:
  fleet_planner(fleet_options options, fleet_hooks hooks, const upstream_map& upstreams,
                const authority_source& source);

  void step(const moment& now, const event& ev, action_list& out);

  /// The averaged traffic mix: prefill-heavy requests, then output-heavy ones.
  [[nodiscard]] std::vector<traffic_class> traffic_mix() const;

 private:
  /// Sums that decay exponentially with `mix_time_constant`.
  struct traffic_sums {
    double requests = 0;
    double prefill_tokens = 0;
    double output_tokens = 0;
    double deadline_seconds = 0; ///< Sum of the times from arrival to deadline.
  };

  struct role_change {
    engine_role from = engine_role::mixed;
    engine_role to = engine_role::mixed;
  };

  void on_arrived(const moment& now, const request_arrived& it);
  void on_ended(const attempt_ended& it);
  void decay(const moment& now);
  void plan_roles(const moment& now, action_list& out);
  void plan_upstreams(const moment& now, action_list& out);
  [[nodiscard]] std::optional<role_change> best_change(const role_counts& roles) const;
  [[nodiscard]] const upstream_state* least_loaded_engine(engine_role role) const;
  [[nodiscard]] std::vector<const upstream_state*> engines() const;
  [[nodiscard]] std::uint32_t needed_upstreams() const;

  fleet_options options_;
  fleet_hooks hooks_;
  const upstream_map& upstreams_;
  const authority_source& source_;
  traffic_sums prefill_heavy_;
  traffic_sums output_heavy_;
  double cached_share_ = 0; ///< Share of prompt tokens found in a cache, as reported by engines.
  std::optional<time_point> averaging_since_;
  time_point last_decay_{};
  time_point next_plan_{};
  std::optional<time_point> last_change_;
  std::optional<time_point> shrink_since_;
  std::uint32_t target_upstreams_ = 0; ///< 0 before the first plan.
};

} // namespace nutmegspur
