/// \file workload.cpp
/// Generates arrivals as a Poisson process whose rate and mix follow the scenario's phases.

#include "workload.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace nutmegspur::load {

namespace {

constexpr double micros_per_second = 1e6;

/// Request rates at one time, per second.
struct demand_rates {
  double rate = 0;
  std::vector<double> class_rate; ///< By index of the class.
};

std::vector<double>
class_rates(const scenario& in, const phase_plan& phase) {
  std::vector<double> rates(in.classes.size(), 0);
  double sum = 0;
  for (const auto& class_share : phase.mix) {
    sum += class_share.share;
  }
  for (const auto& class_share : phase.mix) {
    for (std::size_t i = 0; i < in.classes.size(); ++i) {
      if (in.classes[i].name == class_share.class_name && sum > 0) {
        rates[i] += phase.requests_per_second * class_share.share / sum;
      }
    }
  }
  return rates;
}

demand_rates
demand_at(const scenario& in, double at_s) {
  std::size_t n = 0;
  double phase_start = 0;
  while (n + 1 < in.phases.size() && at_s >= in.phases[n].until_s) {
    phase_start = in.phases[n].until_s;
    n += 1;
  }
  demand_rates demand;
  demand.class_rate = class_rates(in, in.phases[n]);
  const double ramp = in.phases[n].ramp_s;
  if (n > 0 && ramp > 0 && at_s < phase_start + ramp) {
    const auto before = class_rates(in, in.phases[n - 1]);
    const double ramp_fraction = (at_s - phase_start) / ramp;
    for (std::size_t i = 0; i < before.size(); ++i) {
      demand.class_rate[i] = before[i] + ramp_fraction * (demand.class_rate[i] - before[i]);
    }
  }
  for (const auto rate : demand.class_rate) {
    demand.rate += rate;
  }
  return demand;
}

/// Returns each team's share of the rate at one time; floods raise the sum above 1.
std::vector<double>
team_shares(const scenario& in, double at_s) {
  std::vector<double> shares;
  double sum = 0;
  for (const auto& team : in.teams) {
    shares.push_back(team.share);
    sum += team.share;
  }
  for (std::size_t i = 0; i < shares.size(); ++i) {
    shares[i] /= sum;
    for (const auto& flood : in.floods) {
      if (flood.team == in.teams[i].name && at_s >= flood.from_s && at_s < flood.to_s) {
        shares[i] *= flood.factor;
      }
    }
  }
  return shares;
}

template <class Random>
std::size_t
draw_index(const std::vector<double>& weights, Random& random) {
  std::discrete_distribution<std::size_t> pick(weights.begin(), weights.end());
  return pick(random);
}

template <class Random>
std::uint32_t
draw_uniform(const range& from, Random& random) {
  return std::uniform_int_distribution<std::uint32_t>(from.min, from.max)(random);
}

std::uint64_t
mix_bits(std::uint64_t a, std::uint64_t b) {
  constexpr std::uint64_t odd_multiplier = 0x9E3779B97F4A7C15ULL;
  auto x = (a ^ (b + odd_multiplier + (a << 6U) + (a >> 2U))) * odd_multiplier;
  return x ^ (x >> 29U);
}

} // namespace

std::vector<planned_request>
plan_workload(const scenario& in) {
  std::mt19937_64 random(in.seed);
  std::vector<planned_request> requests;
  double at_s = 0;
  while (true) {
    const auto demand = demand_at(in, at_s);
    const auto teams = team_shares(in, at_s);
    double total_share = 0;
    for (const auto share : teams) {
      total_share += share;
    }
    const double rate = std::max(demand.rate * total_share, 1e-3);
    at_s += std::exponential_distribution<double>(rate)(random);
    if (at_s >= in.duration_s) {
      return requests;
    }
    planned_request it;
    it.number = requests.size() + 1;
    it.at = duration{static_cast<std::int64_t>(at_s * micros_per_second)};
    it.team = draw_index(teams, random);
    it.class_index = draw_index(demand.class_rate, random);
    const auto& class_entry = in.classes[it.class_index];
    it.prompt_tokens = draw_uniform(class_entry.prompt, random);
    it.output_tokens = draw_uniform(class_entry.output, random);
    it.max_tokens = class_entry.output.max;
    it.prefix = draw_uniform({1, class_entry.prefixes}, random);
    it.prefix_tokens = std::min(class_entry.prefix_tokens, it.prompt_tokens);
    requests.push_back(it);
  }
}

std::vector<std::uint64_t>
planned_blocks(const planned_request& it, std::uint32_t block_tokens) {
  std::vector<std::uint64_t> blocks;
  const auto shared = mix_bits(it.team * 1000 + it.class_index + 1, it.prefix);
  const auto own = mix_bits(shared, it.number + 1'000'000);
  for (std::uint32_t end = block_tokens; end <= it.prompt_tokens; end += block_tokens) {
    blocks.push_back(mix_bits(end <= it.prefix_tokens ? shared : own, end));
  }
  return blocks;
}

std::uint64_t
weighted_cost(const planned_request& it) {
  return it.prompt_tokens * prompt_cost_milli + it.output_tokens * output_cost_milli;
}

} // namespace nutmegspur::load
