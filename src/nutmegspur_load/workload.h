/// \file workload.h
/// The requests of a scenario, drawn with its seed: open loop, so arrivals wait for nothing.
#pragma once

#include "scenario.h"

#include <cstdint>
#include <vector>

namespace nutmegspur::load {

/// One request to be offered.
struct planned_request {
  std::uint64_t number = 0;    ///< From 1, in the order of arrival.
  duration at{0};              ///< Since the start.
  std::size_t team = 0;        ///< Index in the scenario's teams.
  std::size_t class_index = 0; ///< Index in the scenario's classes.
  std::uint32_t prompt_tokens = 0;
  std::uint32_t output_tokens = 0;
  std::uint32_t max_tokens = 0;
  std::uint32_t prefix = 0;        ///< Which of the class's shared prefixes.
  std::uint32_t prefix_tokens = 0; ///< How much of the prompt is shared.
};

/// All requests of the scenario, in the order of arrival.
std::vector<planned_request> plan_workload(const scenario& it);

/// Hashes of the whole blocks of a planned prompt, without a salt.
std::vector<std::uint64_t> planned_blocks(const planned_request& it, std::uint32_t block_tokens);

/// Price weights of tokens, in thousandths, as a model's record has them.
inline constexpr std::uint64_t prompt_cost_milli = 250;
inline constexpr std::uint64_t output_cost_milli = 1000;

/// Weighted tokens (thousandths) of a whole answer.
std::uint64_t weighted_cost(const planned_request& it);

} // namespace nutmegspur::load
