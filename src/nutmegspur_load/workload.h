/// \file workload.h
/// Generates the requests of a scenario from its seed. The load is open loop: arrival times do not
/// depend on responses.
#pragma once

#include "scenario.h"

#include <cstdint>
#include <vector>

namespace nutmegspur::load {

/// One request of the workload.
struct planned_request {
  std::uint64_t number = 0;    ///< From 1, in order of arrival.
  duration at{0};              ///< Arrival time since the start.
  std::size_t team = 0;        ///< Index in the scenario's teams.
  std::size_t class_index = 0; ///< Index in the scenario's classes.
  std::uint32_t prompt_tokens = 0;
  std::uint32_t output_tokens = 0;
  std::uint32_t max_tokens = 0;
  std::uint32_t prefix = 0;        ///< Number of the shared prefix, from 1.
  std::uint32_t prefix_tokens = 0; ///< Length of the shared prefix.
};

/// Returns all requests of the scenario in order of arrival.
std::vector<planned_request> plan_workload(const scenario& it);

/// Returns the hashes of the complete blocks of a planned prompt, without a salt.
std::vector<std::uint64_t> planned_blocks(const planned_request& it, std::uint32_t block_tokens);

/// Cost weights of tokens, in thousandths, as in a model's record.
inline constexpr std::uint64_t prompt_cost_milli = 250;
inline constexpr std::uint64_t output_cost_milli = 1000;

/// Returns the weighted tokens, in thousandths, of a request with its complete response.
std::uint64_t weighted_cost(const planned_request& it);

} // namespace nutmegspur::load
