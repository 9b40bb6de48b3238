/// \file latency_model.h
/// What a request is expected to take at an engine, from the engine's load and the request's size.
#pragma once

#include <nutmegspur/clock.h>
#include <nutmegspur/records.h>

#include <cstdint>

namespace nutmegspur {

/// How fast engines are, before anything was learned of them.
struct engine_speed {
  double prefill_tokens_per_second = 8000;
  double step_seconds = 0.025; ///< Time of a step that decodes one sequence.
  double batch_penalty = 0.02; ///< Share of a step that each further sequence adds.
};

/// Load of an engine with the work that was placed since its report.
struct engine_backlog {
  std::uint64_t prefill_tokens = 0; ///< Before the request's own.
  std::uint32_t running = 0;
};

/// Size of a request at an engine.
struct request_size {
  std::uint32_t prefill_tokens = 0; ///< Not found in the cache.
  std::uint32_t output_tokens = 0;
};

/// Expected times.
struct latency_estimate {
  double first_token_seconds = 0;
  double total_seconds = 0;
};

/// Most prompt tokens that an engine of this role prefills in one step.
std::uint32_t prefill_chunk_tokens(engine_role role);

/// Time of a step that decodes `running` sequences and prefills nothing, in seconds.
double step_seconds(const engine_speed& speed, std::uint32_t running);

/// The estimate for a request behind `backlog`.
latency_estimate estimate_latency(const engine_speed& speed, engine_role role,
                                  const engine_backlog& backlog, const request_size& size);

} // namespace nutmegspur
