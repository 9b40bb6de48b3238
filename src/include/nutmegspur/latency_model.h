/// \file latency_model.h
/// Estimates the latency of a request at an engine from the engine's load and the request's size.
#pragma once

#include <nutmegspur/clock.h>
#include <nutmegspur/records.h>

#include <cstdint>

namespace nutmegspur {

/// Assumed engine speed before any measurement.
struct engine_speed {
  double prefill_tokens_per_second = 8000;
  double step_seconds = 0.025; ///< Duration of a decode step before `batch_penalty`.
  double batch_penalty = 0.02; ///< Relative slowdown of a step for each sequence in it.
};

/// Load of an engine, including work placed since its last report.
struct engine_backlog {
  std::uint64_t prefill_tokens = 0; ///< To be prefilled before the request.
  std::uint32_t running = 0;
};

/// Size of a request at an engine.
struct request_size {
  std::uint32_t prefill_tokens = 0; ///< Prompt tokens that are not cached.
  std::uint32_t output_tokens = 0;
};

/// Estimated times from sending the request.
struct latency_estimate {
  double first_token_seconds = 0;
  double total_seconds = 0;
};

/// Maximum number of prompt tokens that an engine in `role` prefills in one step.
std::uint32_t prefill_chunk_tokens(engine_role role);

/// Duration of a step that decodes `running` sequences and prefills nothing, in seconds.
double step_seconds(const engine_speed& speed, std::uint32_t running);

/// Estimates the latency of a request that is queued behind `backlog`.
latency_estimate estimate_latency(const engine_speed& speed, engine_role role,
                                  const engine_backlog& backlog, const request_size& size);

} // namespace nutmegspur
