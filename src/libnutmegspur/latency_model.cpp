/// \file latency_model.cpp
/// Latency estimate for an engine with continuous batching and chunked prefill.

#include <nutmegspur/latency_model.h>

#include <algorithm>
#include <cmath>

namespace nutmegspur {

std::uint32_t
prefill_chunk_tokens(engine_role role) {
  switch (role) {
  case engine_role::prefill:
    return 4096;
  case engine_role::decode:
    return 128;
  case engine_role::mixed:
    break;
  }
  return 512;
}

double
step_seconds(const engine_speed& speed, std::uint32_t running) {
  return speed.step_seconds * (1.0 + speed.batch_penalty * running);
}

latency_estimate
estimate_latency(const engine_speed& speed, engine_role role, const engine_backlog& backlog,
                 const request_size& size) {
  const double chunk = prefill_chunk_tokens(role);
  const double step = step_seconds(speed, backlog.running);
  const auto before = static_cast<double>(backlog.prefill_tokens);
  const double prefill = before + size.prefill_tokens;
  const double prefill_steps = std::max(1.0, std::ceil(prefill / chunk));
  latency_estimate it;
  it.first_token_seconds = prefill / speed.prefill_tokens_per_second + prefill_steps * step;
  it.total_seconds = it.first_token_seconds + size.output_tokens * step;
  return it;
}

} // namespace nutmegspur
