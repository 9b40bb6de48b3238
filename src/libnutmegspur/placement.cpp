// Computes the cost of each upstream for a request and chooses the lowest.
#include <nutmegspur/placement.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <map>

namespace nutmegspur {

namespace {

constexpr double bytes_per_kilobyte = 1024;
/// Bounds of the retry-after time in refusals.
constexpr double min_retry_millis = 100;
constexpr double max_retry_millis = 2'000;

struct scored_placement {
  placement choice;
  double cost = 0;
};

double
network_delay_millis(const placement_candidate& it, const placement_weights& weights) {
  switch (it.network_distance) {
  case distance::same_zone:
    return 0;
  case distance::same_region:
    return weights.same_region_millis;
  case distance::other_region:
    break;
  }
  return weights.other_region_millis;
}

/// Cost of the network path to `it`, of this instance's preference, and of a possible failure
/// there.
double
network_and_failure_cost(const placement_request& request, const placement_candidate& it,
                         const placement_weights& weights) {
  double cost = network_delay_millis(it, weights) + weights.preference_millis * it.preference +
                weights.failure * it.failure_share * request.target_latency_millis;
  if (it.network_distance == distance::other_region) {
    cost += weights.region_millis_per_kilobyte * request.body_bytes / bytes_per_kilobyte;
  }
  return cost;
}

std::uint32_t
uncached_tokens(std::uint32_t tokens, std::uint32_t cached) {
  return tokens - std::min(tokens, cached);
}

/// Estimated wait for a batch slot. Each request occupies a slot for `occupancy_millis`, so that a
/// slot becomes free every `occupancy_millis / slots`.
double
batch_wait(const placement_candidate& it, double occupancy_millis) {
  return it.open < it.slots ? 0 : (it.open - it.slots + 1.0) * occupancy_millis / it.slots;
}

/// Cost of prefilling the prompt at `it`, in addition to the prefill time itself.
double
prefill_cost(const placement_request& request, const placement_candidate& it,
             const engine_timing& timing, std::uint64_t highest_home_weight,
             const placement_weights& weights) {
  const double prefill_time =
      uncached_tokens(request.prompt_tokens, it.cached_tokens) * timing.millis_per_token;
  const double uncached_shared =
      uncached_tokens(request.shared_tokens, it.cached_tokens) * timing.millis_per_token;
  const bool home = it.home_weight != 0 && it.home_weight == highest_home_weight;
  return weights.crowding * prefill_time + weights.reread * uncached_shared -
         (home ? weights.home_millis : 0);
}

scored_placement
score_unsplit(const placement_request& request, const placement_candidate& it,
              std::uint64_t highest_home_weight, const placement_weights& weights) {
  const double prefill_time = uncached_tokens(request.prompt_tokens, it.cached_tokens) *
                              request.mixed_timing.millis_per_token;
  scored_placement result;
  result.choice.upstream = it.id;
  result.choice.cached_tokens = it.cached_tokens;
  result.choice.prefill_millis = prefill_time;
  result.choice.expected_millis =
      it.backlog_millis + batch_wait(it, request.mixed_timing.fixed_millis) + prefill_time +
      request.mixed_timing.fixed_millis + network_delay_millis(it, weights);
  result.cost = result.choice.expected_millis + network_and_failure_cost(request, it, weights) -
                network_delay_millis(it, weights) + weights.open_stream_millis * it.open +
                prefill_cost(request, it, request.mixed_timing, highest_home_weight, weights);
  result.cost += weights.hold_up * prefill_time * it.open;
  if (prefill_time > weights.stall_share_of_gap * request.target_gap_millis) {
    result.cost += weights.stall_per_stream * request.target_latency_millis * (1.0 + it.open);
  }
  return result;
}

scored_placement
score_service(const placement_request& request, const placement_candidate& it,
              const placement_weights& weights) {
  scored_placement result;
  result.choice.upstream = it.id;
  result.choice.expected_millis = request.service_millis + batch_wait(it, request.service_millis) +
                                  network_delay_millis(it, weights);
  // The last term prefers the less loaded of two upstreams that both have free slots.
  result.cost = result.choice.expected_millis + network_and_failure_cost(request, it, weights) -
                network_delay_millis(it, weights) + request.service_millis * it.open / it.slots / 2;
  return result;
}

/// Time of a KV transfer between engines of the two candidates' zones.
double
transfer_millis(const placement_request& request, const placement_candidate& from,
                const placement_candidate& to, const placement_weights& weights) {
  const double within_zone = request.prompt_tokens * request.transfer_timing.millis_per_token;
  if (from.zone == to.zone) {
    return within_zone;
  }
  return within_zone *
         (from.region == to.region ? weights.zone_transfer_factor : weights.region_transfer_factor);
}

/// One of the two engines of a split request, without the transfer between them.
struct split_half {
  const placement_candidate* engine = nullptr;
  double answer_millis = 0; ///< Its part of the time until the caller receives the first byte.
  double cost = 0;
};

split_half
score_prefill_half(const placement_request& request, const placement_candidate& it,
                   std::uint64_t highest_home_weight, const placement_weights& weights) {
  const double prefill_time = uncached_tokens(request.prompt_tokens, it.cached_tokens) *
                              request.prefill_timing.millis_per_token;
  split_half half{&it};
  half.answer_millis = it.backlog_millis + request.prefill_timing.fixed_millis + prefill_time +
                       network_delay_millis(it, weights);
  half.cost = half.answer_millis + network_and_failure_cost(request, it, weights) -
              network_delay_millis(it, weights) +
              prefill_cost(request, it, request.prefill_timing, highest_home_weight, weights);
  return half;
}

split_half
score_decode_half(const placement_request& request, const placement_candidate& it,
                  const placement_weights& weights) {
  split_half half{&it};
  half.answer_millis = request.transfer_timing.fixed_millis + it.backlog_millis +
                       batch_wait(it, request.mixed_timing.fixed_millis) +
                       network_delay_millis(it, weights);
  half.cost = half.answer_millis + network_and_failure_cost(request, it, weights) -
              network_delay_millis(it, weights) + weights.open_stream_millis * it.open;
  return half;
}

scored_placement
join_halves(const placement_request& request, const split_half& prefill, const split_half& decode,
            const placement_weights& weights) {
  const placement_candidate& from = *prefill.engine;
  const double transfer = transfer_millis(request, from, *decode.engine, weights);
  scored_placement result;
  result.choice.upstream = decode.engine->id;
  result.choice.prefill_upstream = from.id;
  result.choice.prefill_upstream_millis =
      uncached_tokens(request.prompt_tokens, from.cached_tokens) *
      request.prefill_timing.millis_per_token;
  result.choice.cached_tokens = from.cached_tokens;
  result.choice.prefill_answer_millis = prefill.answer_millis;
  result.choice.expected_millis = prefill.answer_millis + transfer + decode.answer_millis;
  // The transfer counts twice: as time, and as load on the links.
  result.cost = prefill.cost + decode.cost + 2 * transfer;
  return result;
}

/// The half with the lowest cost for each zone and software version.
using zone_halves = std::map<std::pair<zone_id, std::string_view>, split_half>;

void
keep_cheaper(zone_halves& halves, const split_half& it) {
  const auto [held, added] = halves.try_emplace({it.engine->zone, it.engine->software_version}, it);
  if (!added && it.cost < held->second.cost) {
    held->second = it;
  }
}

constexpr std::array<placement_weight_name, 14> weight_names{{
    {"same_region_millis", &placement_weights::same_region_millis},
    {"other_region_millis", &placement_weights::other_region_millis},
    {"region_millis_per_kilobyte", &placement_weights::region_millis_per_kilobyte},
    {"crowding", &placement_weights::crowding},
    {"reread", &placement_weights::reread},
    {"failure", &placement_weights::failure},
    {"zone_transfer_factor", &placement_weights::zone_transfer_factor},
    {"region_transfer_factor", &placement_weights::region_transfer_factor},
    {"stall_per_stream", &placement_weights::stall_per_stream},
    {"stall_share_of_gap", &placement_weights::stall_share_of_gap},
    {"preference_millis", &placement_weights::preference_millis},
    {"open_stream_millis", &placement_weights::open_stream_millis},
    {"hold_up", &placement_weights::hold_up},
    {"home_millis", &placement_weights::home_millis},
}};

std::uint64_t
max_home_weight(const std::vector<placement_candidate>& all) {
  std::uint64_t best = 0;
  for (const auto& it : all) {
    best = std::max(best, it.home_weight);
  }
  return best;
}

void
update_best(std::optional<scored_placement>& best, const scored_placement& it) {
  if (!best || it.cost < best->cost) {
    best = it;
  }
}

std::optional<scored_placement>
best_choice(const placement_request& request, const placement_candidates& candidates,
            const placement_weights& weights) {
  std::optional<scored_placement> best;
  const std::uint64_t max_upstream_weight = max_home_weight(candidates.upstreams);
  for (const auto& it : candidates.upstreams) {
    update_best(best, request.engine ? score_unsplit(request, it, max_upstream_weight, weights)
                                     : score_service(request, it, weights));
  }
  if (!request.engine) {
    return best;
  }
  // The transfer depends on the two zones alone, so the best pair of two zones consists of the best
  // half in each. Both have the same version.
  const std::uint64_t max_prefill_weight = max_home_weight(candidates.prefill_engines);
  zone_halves prefill_halves;
  for (const auto& it : candidates.prefill_engines) {
    keep_cheaper(prefill_halves, score_prefill_half(request, it, max_prefill_weight, weights));
  }
  zone_halves decode_halves;
  for (const auto& it : candidates.upstreams) {
    keep_cheaper(decode_halves, score_decode_half(request, it, weights));
  }
  for (const auto& [from, prefill] : prefill_halves) {
    for (const auto& [to, decode] : decode_halves) {
      if (from.second == to.second) {
        update_best(best, join_halves(request, prefill, decode, weights));
      }
    }
  }
  return best;
}

} // namespace

std::span<const placement_weight_name>
placement_weight_names() {
  return weight_names;
}

result<void>
set_weights(std::string_view text, placement_weights& to) {
  const auto invalid_weight = [](std::string_view assignment, const char* why) {
    return fail({error_code::invalid_argument, step::settings_parse, "",
                 "weight '" + std::string{assignment} + "' " + why});
  };
  while (!text.empty()) {
    const std::string_view assignment = text.substr(0, text.find(','));
    text.remove_prefix(std::min(text.size(), assignment.size() + 1));
    const auto separator = assignment.find('=');
    const std::string_view name = assignment.substr(0, separator);
    const auto* it = std::find_if(weight_names.begin(), weight_names.end(),
                                  [&](const auto& row) { return row.name == name; });
    if (it == weight_names.end()) {
      return invalid_weight(assignment, "is not a known weight");
    }
    const std::string_view digits =
        separator == std::string_view::npos ? std::string_view{} : assignment.substr(separator + 1);
    double value = 0;
    const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), value);
    if (ec != std::errc{} || end != digits.data() + digits.size() || value < 0) {
      return invalid_weight(assignment, "must be a number of at least 0");
    }
    to.*(it->member) = value;
  }
  return {};
}

tl::expected<placement, placement_refusal>
place_request(const placement_request& request, const placement_candidates& candidates,
              const placement_weights& weights) {
  auto best = best_choice(request, candidates, weights);
  if (!best) {
    return tl::unexpected(placement_refusal{placement_refusal::reason::no_upstream, 0,
                                            milliseconds{static_cast<int>(min_retry_millis) * 5}});
  }
  const double expected = best->choice.expected_millis;
  const double bound = std::min(request.remaining_millis,
                                request.target_latency_millis * weights.refuse_past_objectives);
  if (expected > bound) {
    const double excess = expected - request.target_latency_millis;
    return tl::unexpected(placement_refusal{
        placement_refusal::reason::too_late, expected,
        milliseconds{static_cast<int>(std::clamp(excess, min_retry_millis, max_retry_millis))}});
  }
  best->choice.cost = best->cost;
  return best->choice;
}

} // namespace nutmegspur
