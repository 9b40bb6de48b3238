/// \file fleet_planner.h
/// Plans a zone's engines: their roles, and how many upstreams of which kind to order.
///
/// It follows the mix of the requests that arrive here and acts only with the zone's authority.
/// Changes go through hooks to the order keeper, which drains an engine before it changes it.
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
  /// How long the mix is averaged; it must be well below `horizon`.
  seconds mix_memory{15};
  /// Engine time that a role change costs, with its drain.
  seconds change_cost{12};
  /// A change must repay its cost within this.
  seconds horizon{120};
  /// A change must raise the share served by at least this, relative to now.
  double hysteresis = 0.04;
  /// Least time between two changes in the zone.
  seconds change_spacing{30};
  /// Most changes under way in the zone at once.
  std::uint32_t max_changes = 1;
  /// Roles are left alone while less than this share of the engines is busy.
  double least_busy = 0.6;

  /// Share of an engine's sustained rate that is planned with.
  double target_busy = 0.7;
  /// Most of a zone's engines that one reclaim may take away, in percent.
  std::uint32_t reclaimable_percent = 50;
  std::uint32_t least_upstreams = 2;
  std::uint32_t most_upstreams = 64;
  /// The wish for fewer upstreams must stand for so long before it is acted on.
  seconds shrink_delay{120};
};

/// What a fleet planner asks of the rest of the node.
struct fleet_hooks {
  /// Wants an engine in this state.
  std::function<void(const moment&, const upstream_id&, const engine_state&, action_list&)> want;
  /// Wants so many upstreams of a kind in the zone. Optional: without it none are ordered.
  std::function<void(const moment&, const std::string& kind, std::uint32_t, action_list&)>
      want_upstreams;
  /// Entry instances of the zone, which share its callers evenly.
  std::function<std::uint32_t()> instances;
};

/// How many upstreams of each kind a zone should have.
struct upstream_wish {
  std::uint32_t on_demand = 0;
  std::uint32_t reclaimable = 0;

  bool operator==(const upstream_wish&) const = default;
};

/// Splits `needed` upstreams so that losing every reclaimable one leaves the rest.
upstream_wish split_kinds(std::uint32_t needed, std::uint32_t reclaimable_percent);

/// A decision part (duty::fleet).
class fleet_planner {
 public:
  fleet_planner(fleet_options options, fleet_hooks hooks, const upstream_map& upstreams,
                const authority_source& source);

  void step(const moment& now, const event& ev, action_list& out);

  /// The mix as last averaged: requests heavy in prefill, and those heavy in output.
  [[nodiscard]] std::vector<traffic_class> mix() const;

 private:
  /// Sums over `mix_memory`, fading.
  struct part_sums {
    double requests = 0;
    double prefill_tokens = 0;
    double output_tokens = 0;
    double allowed_seconds = 0; ///< Until their deadlines.
  };

  struct role_change {
    engine_role from = engine_role::mixed;
    engine_role to = engine_role::mixed;
  };

  void on_arrived(const moment& now, const request_arrived& it);
  void on_ended(const attempt_ended& it);
  void fade(const moment& now);
  void plan_roles(const moment& now, action_list& out);
  void plan_upstreams(const moment& now, action_list& out);
  [[nodiscard]] std::optional<role_change> best_change(const role_counts& roles) const;
  [[nodiscard]] const upstream_state* pick_engine(engine_role role) const;
  [[nodiscard]] std::vector<const upstream_state*> engines() const;
  [[nodiscard]] std::uint32_t wanted_engines() const;

  fleet_options options_;
  fleet_hooks hooks_;
  const upstream_map& upstreams_;
  const authority_source& source_;
  part_sums heavy_prefill_;
  part_sums heavy_output_;
  double cached_share_ = 0; ///< Of prompt tokens, as engines reported.
  std::optional<time_point> first_seen_;
  time_point last_fade_{};
  time_point next_plan_{};
  std::optional<time_point> last_change_;
  std::optional<time_point> shrink_since_;
  std::uint32_t wanted_ = 0; ///< Upstreams wanted last; 0 before the first plan.
};

} // namespace nutmegspur
