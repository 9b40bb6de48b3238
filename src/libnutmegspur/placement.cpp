// The cost of each upstream for a request, and the choice.
#include <nutmegspur/placement.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace nutmegspur {

namespace {

constexpr double bytes_per_kilobyte = 1024;
/// Shortest and longest time to come back that callers are told.
constexpr double least_retry_millis = 100;
constexpr double most_retry_millis = 2'000;

struct scored {
  placement choice;
  double cost = 0;
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

/// What it costs to send the request's bytes to `it`, and that it may fail there.
double
sending_cost(const placement_request& wanted, const placement_candidate& it,
             const placement_weights& weights) {
  double cost = network_millis(it, weights) + weights.preference_millis * it.preference +
                weights.failure * it.failure_share * wanted.objective_millis;
  if (it.away == distance::other_region) {
    cost += weights.region_millis_per_kilobyte * wanted.body_bytes / bytes_per_kilobyte;
  }
  return cost;
}

std::uint32_t
missing(std::uint32_t tokens, std::uint32_t cached) {
  return tokens - std::min(tokens, cached);
}

/// Requests past the batch wait for a place; each is taken to need a turn of its own.
double
batch_wait(const placement_candidate& it, double turn_millis) {
  return it.open < it.slots ? 0 : (it.open - it.slots + 1.0) * turn_millis / it.slots;
}

/// The cost of reading the prompt at `it`, beyond the time until it is done.
double
reading_cost(const placement_request& wanted, const placement_candidate& it,
             const engine_pace& pace, std::uint64_t best_home, const placement_weights& weights) {
  const double read = missing(wanted.prompt_tokens, it.cached_tokens) * pace.millis_per_token;
  const double reread = missing(wanted.shared_tokens, it.cached_tokens) * pace.millis_per_token;
  const bool home = it.home_weight != 0 && it.home_weight == best_home;
  return weights.crowding * read + weights.reread * reread - (home ? weights.home_millis : 0);
}

scored
score_mixed_engine(const placement_request& wanted, const placement_candidate& it,
                   std::uint64_t best_home, const placement_weights& weights) {
  const double read =
      missing(wanted.prompt_tokens, it.cached_tokens) * wanted.mixed.millis_per_token;
  scored result;
  result.choice.upstream = it.id;
  result.choice.cached_tokens = it.cached_tokens;
  result.choice.read_millis = read;
  result.choice.expected_millis = it.backlog_millis + batch_wait(it, wanted.mixed.fixed_millis) +
                                  read + wanted.mixed.fixed_millis + network_millis(it, weights);
  result.cost = result.choice.expected_millis + sending_cost(wanted, it, weights) -
                network_millis(it, weights) + weights.open_stream_millis * it.open +
                reading_cost(wanted, it, wanted.mixed, best_home, weights);
  result.cost += weights.hold_up * read * it.open;
  if (read > weights.stall_share_of_gap * wanted.gap_objective_millis) {
    result.cost += weights.stall_per_stream * wanted.objective_millis * (1.0 + it.open);
  }
  return result;
}

scored
score_service(const placement_request& wanted, const placement_candidate& it,
              const placement_weights& weights) {
  scored result;
  result.choice.upstream = it.id;
  result.choice.expected_millis =
      wanted.service_millis + batch_wait(it, wanted.service_millis) + network_millis(it, weights);
  // Among upstreams with free slots the emptier one goes first.
  result.cost = result.choice.expected_millis + sending_cost(wanted, it, weights) -
                network_millis(it, weights) + wanted.service_millis * it.open / it.slots / 2;
  return result;
}

double
transfer_millis(const placement_request& wanted, const placement_candidate& from,
                const placement_candidate& to, const placement_weights& weights) {
  const double in_zone = wanted.prompt_tokens * wanted.mover.millis_per_token;
  if (from.zone == to.zone) {
    return in_zone;
  }
  return in_zone *
         (from.region == to.region ? weights.zone_transfer_factor : weights.region_transfer_factor);
}

scored
score_split(const placement_request& wanted, const placement_candidate& reader,
            const placement_candidate& runner, std::uint64_t best_home,
            const placement_weights& weights) {
  const double read =
      missing(wanted.prompt_tokens, reader.cached_tokens) * wanted.reader.millis_per_token;
  const double move = transfer_millis(wanted, reader, runner, weights);
  scored result;
  result.choice.upstream = runner.id;
  result.choice.reader = reader.id;
  result.choice.reader_millis = read;
  result.choice.cached_tokens = reader.cached_tokens;
  result.choice.expected_millis =
      reader.backlog_millis + wanted.reader.fixed_millis + read + network_millis(reader, weights) +
      move + wanted.mover.fixed_millis + runner.backlog_millis +
      batch_wait(runner, wanted.mixed.fixed_millis) + network_millis(runner, weights);
  result.cost = result.choice.expected_millis + sending_cost(wanted, reader, weights) +
                sending_cost(wanted, runner, weights) - network_millis(reader, weights) -
                network_millis(runner, weights) + move + weights.open_stream_millis * runner.open +
                reading_cost(wanted, reader, wanted.reader, best_home, weights);
  return result;
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
first_home(const std::vector<placement_candidate>& all) {
  std::uint64_t best = 0;
  for (const auto& it : all) {
    best = std::max(best, it.home_weight);
  }
  return best;
}

void
keep_better(std::optional<scored>& best, const scored& it) {
  if (!best || it.cost < best->cost) {
    best = it;
  }
}

std::optional<scored>
best_choice(const placement_request& wanted, const placement_field& field,
            const placement_weights& weights) {
  std::optional<scored> best;
  const std::uint64_t runner_home = first_home(field.runners);
  for (const auto& it : field.runners) {
    keep_better(best, wanted.engine ? score_mixed_engine(wanted, it, runner_home, weights)
                                    : score_service(wanted, it, weights));
  }
  if (!wanted.engine) {
    return best;
  }
  const std::uint64_t reader_home = first_home(field.readers);
  for (const auto& reader : field.readers) {
    for (const auto& runner : field.runners) {
      keep_better(best, score_split(wanted, reader, runner, reader_home, weights));
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
  const auto bad = [](std::string_view piece, const char* why) {
    return fail({error_code::invalid_argument, step::settings_parse, "",
                 "weight '" + std::string{piece} + "' " + why});
  };
  while (!text.empty()) {
    const std::string_view piece = text.substr(0, text.find(','));
    text.remove_prefix(std::min(text.size(), piece.size() + 1));
    const auto sign = piece.find('=');
    const std::string_view name = piece.substr(0, sign);
    const auto* it = std::find_if(weight_names.begin(), weight_names.end(),
                                  [&](const auto& row) { return row.name == name; });
    if (it == weight_names.end()) {
      return bad(piece, "is not known");
    }
    const std::string_view digits =
        sign == std::string_view::npos ? std::string_view{} : piece.substr(sign + 1);
    double value = 0;
    const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), value);
    if (ec != std::errc{} || end != digits.data() + digits.size() || value < 0) {
      return bad(piece, "is no number from 0");
    }
    to.*(it->member) = value;
  }
  return {};
}

tl::expected<placement, placement_refusal>
place_request(const placement_request& wanted, const placement_field& field,
              const placement_weights& weights) {
  const auto best = best_choice(wanted, field, weights);
  if (!best) {
    return tl::unexpected(
        placement_refusal{placement_refusal::reason::no_upstream, 0,
                          milliseconds{static_cast<int>(least_retry_millis) * 5}});
  }
  const double expected = best->choice.expected_millis;
  const double bound =
      std::min(wanted.remaining_millis, wanted.objective_millis * weights.refuse_past_objectives);
  if (expected > bound) {
    const double excess = expected - wanted.objective_millis;
    return tl::unexpected(placement_refusal{
        placement_refusal::reason::too_late, expected,
        milliseconds{static_cast<int>(std::clamp(excess, least_retry_millis, most_retry_millis))}});
  }
  return best->choice;
}

} // namespace nutmegspur
