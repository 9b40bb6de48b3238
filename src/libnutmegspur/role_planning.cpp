/// \file role_planning.cpp
/// Sustained request rates per role, and the division of engines between roles.

#include <nutmegspur/role_planning.h>

#include <algorithm>
#include <cmath>

namespace nutmegspur {

namespace {

constexpr std::array<engine_role, 3> all_roles{engine_role::mixed, engine_role::prefill,
                                               engine_role::decode};

/// Engines in `role` that `traffic` keeps busy; 0 if the role cannot serve it.
double
engines_needed_for(const engine_profile& profile, engine_role role, const traffic_class& traffic) {
  const auto rate = sustained_rate(profile, role, traffic);
  return rate > 0 ? traffic.requests_per_second / rate : 0;
}

} // namespace

std::size_t
role_index(engine_role role) {
  const auto it = std::find(all_roles.begin(), all_roles.end(), role);
  return static_cast<std::size_t>(it - all_roles.begin());
}

std::uint32_t
batch_slots(const engine_profile& profile, engine_role role) {
  switch (role) {
  case engine_role::prefill:
    return std::max(1U, profile.slots / 2);
  case engine_role::decode:
    return profile.slots * 2;
  case engine_role::mixed:
    break;
  }
  return profile.slots;
}

double
sustained_rate(const engine_profile& profile, engine_role role, const traffic_class& traffic) {
  if (traffic.requests_per_second <= 0 || traffic.output_tokens <= 0) {
    return 0;
  }
  // In steady state each step decodes `batch` sequences and prefills replacements for those that
  // finish.
  const auto& speed = profile.speed;
  const double prefill_per_output_token = traffic.prefill_tokens / traffic.output_tokens;
  double batch = batch_slots(profile, role);
  if (prefill_per_output_token > 0) {
    batch = std::min(batch, prefill_chunk_tokens(role) / prefill_per_output_token);
  }
  const double seconds_per_sequence = speed.step_seconds * speed.batch_penalty +
                                      prefill_per_output_token / speed.prefill_tokens_per_second;
  if (traffic.max_token_seconds > 0) {
    batch =
        std::min(batch, (traffic.max_token_seconds - speed.step_seconds) / seconds_per_sequence);
  }
  if (batch <= 0) {
    return 0;
  }
  return batch / (traffic.output_tokens * (speed.step_seconds + batch * seconds_per_sequence));
}

class_demand
demand_of(const engine_profile& profile, const traffic_class& traffic) {
  class_demand best;
  double best_rate = 0;
  for (const auto role : all_roles) {
    const double rate = sustained_rate(profile, role, traffic);
    if (rate > best_rate) {
      best_rate = rate;
      best = {role, traffic.requests_per_second / rate};
    }
  }
  return best;
}

role_counts
target_roles(const engine_profile& profile, const std::vector<traffic_class>& traffic_mix,
             std::uint32_t engines) {
  std::array<double, 3> busy_by_role{};
  double sum = 0;
  for (const auto& traffic : traffic_mix) {
    const auto demand = demand_of(profile, traffic);
    busy_by_role[role_index(demand.role)] += demand.engines;
    sum += demand.engines;
  }
  role_counts counts{};
  if (sum <= 0) {
    counts[role_index(engine_role::mixed)] = engines;
    return counts;
  }
  // Largest remainder method, so that the counts add up to `engines`.
  std::array<double, 3> remainders{};
  std::uint32_t assigned = 0;
  for (std::size_t i = 0; i < counts.size(); ++i) {
    const double exact = engines * busy_by_role[i] / sum;
    counts[i] = static_cast<std::uint32_t>(exact);
    remainders[i] = exact - counts[i];
    assigned += counts[i];
  }
  for (; assigned < engines; ++assigned) {
    const auto most = std::max_element(remainders.begin(), remainders.end());
    counts[static_cast<std::size_t>(most - remainders.begin())] += 1;
    *most = -1;
  }
  return counts;
}

double
served_share(const engine_profile& profile, const std::vector<traffic_class>& traffic_mix,
             const role_counts& roles) {
  // Bisection finds the largest share at which greedy assignment of every traffic class to its best
  // roles still succeeds. All classes are served to the same share.
  const auto can_serve_share = [&](double share) {
    std::array<double, 3> available{};
    for (std::size_t i = 0; i < available.size(); ++i) {
      available[i] = roles[i];
    }
    for (const auto& traffic : traffic_mix) {
      if (traffic.requests_per_second <= 0 || traffic.output_tokens <= 0) {
        continue;
      }
      auto order = all_roles;
      std::sort(order.begin(), order.end(), [&](engine_role a, engine_role b) {
        return engines_needed_for(profile, a, traffic) < engines_needed_for(profile, b, traffic);
      });
      double unserved = share;
      for (const auto role : order) {
        const double engines_needed = engines_needed_for(profile, role, traffic);
        if (engines_needed <= 0) {
          continue;
        }
        const double served = std::min(unserved, available[role_index(role)] / engines_needed);
        available[role_index(role)] -= served * engines_needed;
        unserved -= served;
      }
      if (unserved > 1e-9) {
        return false;
      }
    }
    return true;
  };
  constexpr double max_share = 8;
  constexpr int bisection_steps = 24;
  double lower = 0;
  double upper = max_share;
  for (int i = 0; i < bisection_steps; ++i) {
    const double middle = (lower + upper) / 2;
    (can_serve_share(middle) ? lower : upper) = middle;
  }
  return lower;
}

} // namespace nutmegspur
