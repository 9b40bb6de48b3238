/// \file role_planning.h
/// How many requests a second an engine serves in each role, and which roles a zone should have.
///
/// Pure functions of the request mix; `fleet_planner` decides when to act on them.
#pragma once

#include <nutmegspur/latency_model.h>

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

namespace nutmegspur {

/// Requests of one kind: those where prefill weighs more, or those where output does.
struct traffic_class {
  double requests_per_second = 0;
  double prefill_tokens = 0; ///< Mean for each request, without what is found in the cache.
  double output_tokens = 0;  ///< Mean for each request.
  /// Longest time between tokens with which the requests make their deadlines; 0: no limit.
  double max_token_seconds = 0;
};

/// What an engine offers apart from its role.
struct engine_profile {
  engine_speed speed;
  std::uint32_t slots = 32; ///< Batch slots in the mixed role.
};

/// Batch slots in `role`.
std::uint32_t batch_slots(const engine_profile& profile, engine_role role);

/// Requests a second that one engine sustains in `role`; 0 for an empty part.
double sustained_rate(const engine_profile& profile, engine_role role,
                      const traffic_class& traffic);

/// The role that sustains most of `part`, and how many engines of it the part keeps busy.
struct class_demand {
  engine_role role = engine_role::mixed;
  double engines = 0;
};

class_demand demand_of(const engine_profile& profile, const traffic_class& traffic);

/// Engines for each role, in the order of `enum_names<engine_role>`.
using role_counts = std::array<std::uint32_t, 3>;

/// The index of `role` in `role_counts`.
std::size_t role_index(engine_role role);

/// Shares `engines` between the roles that `parts` want, by the engines that each keeps busy.
role_counts target_roles(const engine_profile& profile,
                         const std::vector<traffic_class>& traffic_mix, std::uint32_t engines);

/// Share of the offered requests that engines in these roles can sustain (may be over 1), where
/// each part goes to the roles that serve it best first.
double served_share(const engine_profile& profile, const std::vector<traffic_class>& traffic_mix,
                    const role_counts& roles);

} // namespace nutmegspur
