/// \file role_planning.cpp
/// Sustained rates of roles for a request mix.

#include <nutmegspur/role_planning.h>

#include <algorithm>
#include <cmath>

namespace nutmegspur {

namespace {

constexpr std::array<engine_role, 3> all_roles{engine_role::mixed, engine_role::prefill,
                                               engine_role::decode};

/// Engine time that a part needs in the given role for each second.
double
busy_engines(const engine_shape& shape, engine_role role, const traffic_part& part) {
  const auto rate = sustained_rate(shape, role, part);
  return rate > 0 ? part.requests_per_second / rate : 0;
}

} // namespace

std::size_t
role_index(engine_role role) {
  const auto it = std::find(all_roles.begin(), all_roles.end(), role);
  return static_cast<std::size_t>(it - all_roles.begin());
}

std::uint32_t
batch_slots(const engine_shape& shape, engine_role role) {
  switch (role) {
  case engine_role::prefill:
    return std::max(1U, shape.slots / 2);
  case engine_role::decode:
    return shape.slots * 2;
  case engine_role::mixed:
    break;
  }
  return shape.slots;
}

double
sustained_rate(const engine_shape& shape, engine_role role, const traffic_part& part) {
  if (part.requests_per_second <= 0 || part.output_tokens <= 0) {
    return 0;
  }
  // Each step decodes `batch` sequences and prefills what the finished ones make room for.
  const auto& speed = shape.speed;
  const double prefill_each = part.prefill_tokens / part.output_tokens;
  double batch = batch_slots(shape, role);
  if (prefill_each > 0) {
    batch = std::min(batch, prefill_chunk_tokens(role) / prefill_each);
  }
  const double each_seconds =
      speed.step_seconds * speed.batch_penalty + prefill_each / speed.prefill_tokens_per_second;
  if (part.most_token_seconds > 0) {
    batch = std::min(batch, (part.most_token_seconds - speed.step_seconds) / each_seconds);
  }
  if (batch <= 0) {
    return 0;
  }
  return batch / (part.output_tokens * (speed.step_seconds + batch * each_seconds));
}

part_demand
demand_of(const engine_shape& shape, const traffic_part& part) {
  part_demand best;
  double best_rate = 0;
  for (const auto role : all_roles) {
    const double rate = sustained_rate(shape, role, part);
    if (rate > best_rate) {
      best_rate = rate;
      best = {role, part.requests_per_second / rate};
    }
  }
  return best;
}

role_counts
wanted_roles(const engine_shape& shape, const std::vector<traffic_part>& parts,
             std::uint32_t engines) {
  std::array<double, 3> busy{};
  double sum = 0;
  for (const auto& part : parts) {
    const auto demand = demand_of(shape, part);
    busy[role_index(demand.role)] += demand.engines;
    sum += demand.engines;
  }
  role_counts counts{};
  if (sum <= 0) {
    counts[role_index(engine_role::mixed)] = engines;
    return counts;
  }
  // Largest remainders, so that the counts add up to `engines`.
  std::array<double, 3> rest{};
  std::uint32_t given = 0;
  for (std::size_t i = 0; i < counts.size(); ++i) {
    const double exact = engines * busy[i] / sum;
    counts[i] = static_cast<std::uint32_t>(exact);
    rest[i] = exact - counts[i];
    given += counts[i];
  }
  for (; given < engines; ++given) {
    const auto most = std::max_element(rest.begin(), rest.end());
    counts[static_cast<std::size_t>(most - rest.begin())] += 1;
    *most = -1;
  }
  return counts;
}

double
served_share(const engine_shape& shape, const std::vector<traffic_part>& parts,
             const role_counts& roles) {
  // Engine time left in each role; every part is spread so that all of it is served to one share.
  // A bisection finds the greatest share for which greedy filling succeeds.
  const auto fits = [&](double share) {
    std::array<double, 3> left{};
    for (std::size_t i = 0; i < left.size(); ++i) {
      left[i] = roles[i];
    }
    for (const auto& part : parts) {
      if (part.requests_per_second <= 0 || part.output_tokens <= 0) {
        continue;
      }
      auto order = all_roles;
      std::sort(order.begin(), order.end(), [&](engine_role a, engine_role b) {
        return busy_engines(shape, a, part) < busy_engines(shape, b, part);
      });
      double unserved = share;
      for (const auto role : order) {
        const double need = busy_engines(shape, role, part);
        if (need <= 0) {
          continue;
        }
        const double part_served = std::min(unserved, left[role_index(role)] / need);
        left[role_index(role)] -= part_served * need;
        unserved -= part_served;
      }
      if (unserved > 1e-9) {
        return false;
      }
    }
    return true;
  };
  constexpr double most_share = 8;
  constexpr int halvings = 24;
  double low = 0;
  double high = most_share;
  for (int i = 0; i < halvings; ++i) {
    const double middle = (low + high) / 2;
    (fits(middle) ? low : high) = middle;
  }
  return low;
}

} // namespace nutmegspur
