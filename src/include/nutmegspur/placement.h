/// \file placement.h
/// Where a proxied request goes: the upstream that costs least, or a refusal at once if none can
/// answer in time.
///
/// Costs are in milliseconds: the time until the caller sees the first byte, and the time that the
/// request takes from others at the upstream.
#pragma once

#include <nutmegspur/error.h>
#include <nutmegspur/ids.h>
#include <nutmegspur/prompt_cache_view.h>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegspur {

/// How far an upstream is.
enum class distance { same_zone, same_region, other_region };

template <> struct enum_names<distance> {
  static constexpr std::array<enum_name<distance>, 3> table{{
      {distance::same_zone, "same_zone"},
      {distance::same_region, "same_region"},
      {distance::other_region, "other_region"},
  }};
};

/// What is known of one upstream at this moment.
struct placement_candidate {
  upstream_id id;
  zone_id zone;
  std::string region;
  distance network_distance = distance::same_zone; ///< From this instance.
  std::uint32_t open = 0;                          ///< Requests that it works on or holds.
  std::uint32_t slots = 1;                         ///< Requests that it works on at once.
  double backlog_millis = 0;
  std::uint32_t cached_tokens = 0; ///< Leading prompt tokens that it is believed to hold.
  double failure_share = 0;
  std::uint64_t home_weight = 0; ///< As the home of the shared part; 0 if nothing is shared.
  double preference = 0;         ///< Of this instance, from 0 (liked best) to 1.
};

/// How fast engines of a kind are.
struct engine_timing {
  double fixed_millis = 0;     ///< To the first token, or to the end of the reading.
  double millis_per_token = 0; ///< Of prompt that is read.
};

/// What is asked for.
struct placement_request {
  double objective_millis = 0;
  double remaining_millis = 0; ///< Until the caller gives up or the route's timeout.
  double body_bytes = 0;
  bool engine = false;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t shared_tokens = 0;
  double gap_objective_millis = 0; ///< Longest pause between events that is on time.
  double service_millis = 0;       ///< Usual work of a plain service's request.
  engine_timing mixed_timing;      ///< Of engines that read prompts and make tokens.
  engine_timing prefill_timing;    ///< Of engines that only read prompts.
  engine_timing transfer_timing;   ///< Of fetching a read prompt within a zone, to the first token.
};

/// Weights of the decision.
struct placement_weights {
  /// Network delay there and back. Metropolitan and continental links, as operators' maps have
  /// them.
  double same_region_millis = 3;
  double other_region_millis = 25;
  /// Price of a kilobyte sent to another region, in milliseconds of a request's time.
  double region_millis_per_kilobyte = 1.5;
  /// Part of the engine time that a request takes which counts as cost to others.
  double crowding = 1;
  /// Price of reading a shared part where it is not held, against its reading time.
  double reread = 0.5;
  /// Cost of a certain failure, in objectives.
  double failure = 3;
  /// Moves between zones and between regions take so much longer than in a zone.
  double zone_transfer_factor = 2;
  double region_transfer_factor = 10;
  /// Cost of a long read at an engine that makes tokens: for each stream there, and for those that
  /// come, in objectives. Such a read is longer than this share of the allowed pause.
  double stall_per_stream = 0.5;
  double stall_share_of_gap = 0.3;
  /// Cost of an upstream that this instance likes least. Instances like different ones, so that
  /// they do not all run to the one that peers' figures, which are a little old, show as the
  /// emptiest.
  double preference_millis = 20;
  /// Cost of a stream that is open at an engine: the next one slows both a little.
  double open_stream_millis = 1;
  /// Cost of holding up the streams of an engine by reading between their tokens, for each of them,
  /// against the time of the reading.
  double hold_up = 0;
  /// Advantage of the first home of a shared part, in milliseconds; decides between upstreams that
  /// are alike, so that all instances read a part at the same place.
  double home_millis = 40;
  /// A request is refused if its first byte is expected later than this many objectives.
  double refuse_past_objectives = 2;
};

/// Names of the weights, as settings give them.
struct placement_weight_name {
  std::string_view name;
  double placement_weights::*member;
};

std::span<const placement_weight_name> placement_weight_names();

/// Changes weights as "name=value,..." says; an error names what is not known or no number.
result<void> set_weights(std::string_view text, placement_weights& to);

/// The choice: one upstream, or an engine that reads the prompt before another makes the tokens.
struct placement {
  upstream_id upstream;               ///< Answers the caller.
  double expected_millis = 0;         ///< To the first byte at the caller.
  double prefill_millis = 0;          ///< Of `upstream`'s time.
  std::uint32_t cached_tokens = 0;    ///< Where the prompt is read.
  upstream_id prefill_upstream;       ///< Reads the prompt first; empty if `upstream` does.
  double prefill_upstream_millis = 0; ///< Of the reader's time.
};

/// Why nothing was chosen, and when to come back.
struct placement_refusal {
  enum class reason { no_upstream, too_late };

  reason why = reason::no_upstream;
  double expected_millis = 0;
  milliseconds retry_after{0};
};

template <> struct enum_names<placement_refusal::reason> {
  static constexpr std::array<enum_name<placement_refusal::reason>, 2> table{{
      {placement_refusal::reason::no_upstream, "no_upstream"},
      {placement_refusal::reason::too_late, "too_late"},
  }};
};

/// Upstreams that may be chosen, in any order.
struct placement_candidates {
  std::vector<placement_candidate> upstreams; ///< Plain upstreams, or engines that make tokens.
  std::vector<placement_candidate> prefill_engines; ///< Engines that only read prompts.
};

tl::expected<placement, placement_refusal> place_request(const placement_request& request,
                                                         const placement_candidates& candidates,
                                                         const placement_weights& weights);

} // namespace nutmegspur
