/// \file role_planning.h
/// Computes the request rate that an engine sustains in each role, and how the engines of a zone
/// should be divided between the roles.
///
/// Pure functions of the traffic mix; `fleet_planner` decides when to apply the results.
#pragma once

#include <nutmegspur/latency_model.h>

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

namespace nutmegspur {

/// Requests of one kind: dominated either by prefill or by output.
struct traffic_class {
  double requests_per_second = 0;
  double prefill_tokens = 0; ///< Mean uncached prompt tokens per request.
  double output_tokens = 0;  ///< Mean per request.
  /// Maximum time between tokens that still meets the requests' deadlines; 0: no limit.
  double max_token_seconds = 0;
};

/// Performance of an engine, independent of its role.
struct engine_profile {
  engine_speed speed;
  std::uint32_t slots = 32; ///< In the mixed role.
};

/// Number of batch slots in `role`.
std::uint32_t batch_slots(const engine_profile& profile, engine_role role);

/// Requests per second that one engine sustains in `role`; 0 if there is no traffic.
double sustained_rate(const engine_profile& profile, engine_role role,
                      const traffic_class& traffic);

/// The role with the highest sustained rate for a traffic class, and the number of engines in that
/// role that the class keeps busy.
struct class_demand {
  engine_role role = engine_role::mixed;
  double engines = 0;
};

class_demand demand_of(const engine_profile& profile, const traffic_class& traffic);

/// Number of engines in each role, in the order of `enum_names<engine_role>`.
using role_counts = std::array<std::uint32_t, 3>;

/// The index of `role` in `role_counts`.
std::size_t role_index(engine_role role);

/// Divides `engines` between the best roles of `traffic_mix`, in proportion to the engines that
/// each class keeps busy.
role_counts target_roles(const engine_profile& profile,
                         const std::vector<traffic_class>& traffic_mix, std::uint32_t engines);

/// Share of the offered requests that engines in these roles can sustain (may exceed 1). Each class
/// uses the roles that serve it best first.
double served_share(const engine_profile& profile, const std::vector<traffic_class>& traffic_mix,
                    const role_counts& roles);

} // namespace nutmegspur
