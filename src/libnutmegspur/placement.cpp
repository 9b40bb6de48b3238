// The cost of each upstream for a request, and the choice.
#include <nutmegspur/placement.h>

#include <algorithm>

namespace nutmegspur {

namespace {

constexpr double bytes_per_kilobyte = 1024;
/// Shortest and longest time to come back that callers are told.
constexpr double least_retry_millis = 100;
constexpr double most_retry_millis = 2'000;

struct scored {
  double cost = 0;
  double expected = 0;
  double read = 0;
};

double
network_millis(const placement_candidate& it, const placement_weights& weights) {
  switch (it.away) {
  case distance::same_zone:
    return 0;
  case distance::same_region:
    return weights.same_region_millis;
  case distance::other_region:
    break;
  }
  return weights.other_region_millis;
}

double
transfer_cost(const placement_request& wanted, const placement_candidate& it,
              const placement_weights& weights) {
  if (it.away != distance::other_region) {
    return 0;
  }
  return weights.region_millis_per_kilobyte * wanted.body_bytes / bytes_per_kilobyte;
}

scored
score_engine(const placement_request& wanted, const placement_candidate& it,
             const placement_weights& weights) {
  const std::uint32_t unread =
      wanted.prompt_tokens - std::min(wanted.prompt_tokens, it.cached_tokens);
  const std::uint32_t shared_unread =
      wanted.shared_tokens - std::min(wanted.shared_tokens, it.cached_tokens);
  scored result;
  result.read = unread * wanted.millis_per_token;
  // Requests past the batch wait for a place; each is taken to need a turn of its own.
  const double waiting =
      it.open >= it.slots ? (it.open - it.slots + 1) * wanted.fixed_millis / it.slots : 0;
  result.expected = it.backlog_millis + waiting + result.read + wanted.fixed_millis;
  result.cost = result.expected + weights.crowding * result.read +
                weights.reread * shared_unread * wanted.millis_per_token;
  return result;
}

scored
score_service(const placement_request& wanted, const placement_candidate& it) {
  const double turns = it.open < it.slots ? 0 : (it.open - it.slots + 1.0) / it.slots;
  scored result;
  result.expected = wanted.service_millis * (1 + turns);
  // Among upstreams with free slots the emptier one goes first.
  result.cost = result.expected + wanted.service_millis * it.open / it.slots / 2;
  return result;
}

} // namespace

tl::expected<placement, placement_refusal>
place_request(const placement_request& wanted, const std::vector<placement_candidate>& candidates,
              const placement_weights& weights) {
  const auto home =
      std::max_element(candidates.begin(), candidates.end(),
                       [](const auto& a, const auto& b) { return a.home_weight < b.home_weight; });
  std::optional<placement> best;
  double best_cost = 0;
  for (const auto& it : candidates) {
    scored score = wanted.engine ? score_engine(wanted, it, weights) : score_service(wanted, it);
    score.expected += network_millis(it, weights);
    score.cost += network_millis(it, weights) + transfer_cost(wanted, it, weights) +
                  weights.failure * it.failure_share * wanted.objective_millis;
    if (it.home_weight != 0 && it.home_weight == home->home_weight) {
      score.cost -= weights.home_millis;
    }
    if (!best || score.cost < best_cost) {
      best = placement{it.id, score.expected, score.read, it.cached_tokens};
      best_cost = score.cost;
    }
  }
  if (!best) {
    return tl::unexpected(
        placement_refusal{placement_refusal::reason::no_upstream, 0,
                          milliseconds{static_cast<int>(least_retry_millis) * 5}});
  }
  const double bound =
      std::min(wanted.remaining_millis, wanted.objective_millis * weights.refuse_past_objectives);
  if (best->expected_millis > bound) {
    const double excess = best->expected_millis - wanted.objective_millis;
    return tl::unexpected(placement_refusal{
        placement_refusal::reason::too_late, best->expected_millis,
        milliseconds{static_cast<int>(std::clamp(excess, least_retry_millis, most_retry_millis))}});
  }
  return *best;
}

} // namespace nutmegspur
