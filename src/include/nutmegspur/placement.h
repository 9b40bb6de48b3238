/// \file placement.h
/// Chooses the upstream for a proxied request: the one with the lowest cost, or an immediate
/// refusal if no upstream is expected to answer in time.
///
/// Costs are in milliseconds: the time until the caller receives the first byte, plus penalties
/// such as the delay caused to other requests at the upstream. An engine request is either
/// prefilled and decoded at one engine, or split: a prefill engine processes the prompt, and
/// another engine fetches its KV cache and decodes.
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

/// Network distance to an upstream.
enum class distance { same_zone, same_region, other_region };

template <> struct enum_names<distance> {
  static constexpr std::array<enum_name<distance>, 3> table{{
      {distance::same_zone, "same_zone"},
      {distance::same_region, "same_region"},
      {distance::other_region, "other_region"},
  }};
};

/// Current state of one upstream, as input to the choice.
struct placement_candidate {
  upstream_id id;
  zone_id zone;
  std::string region;
  std::string software_version; ///< A prompt prefilled by one version cannot be used by another.
  distance network_distance = distance::same_zone; ///< From this instance.
  std::uint32_t open = 0;                          ///< Requests in progress or queued there.
  std::uint32_t slots = 1;                         ///< Requests processed concurrently.
  double backlog_millis = 0;
  std::uint32_t cached_tokens = 0; ///< Estimated length of the cached prompt prefix.
  double failure_share = 0;
  std::uint64_t home_weight = 0; ///< Rendezvous weight for the shared prefix; 0 if there is none.
  double preference = 0;         ///< Of this instance, from 0 (most preferred) to 1.
};

/// Linear model of the time that engines of one kind need for a prompt.
struct engine_timing {
  double fixed_millis = 0;     ///< Independent of the prompt; to the first token or end of prefill.
  double millis_per_token = 0; ///< For each prefilled or transferred prompt token.
};

/// The request to be placed.
struct placement_request {
  double target_latency_millis = 0;
  double remaining_millis = 0; ///< Until the caller's deadline or the route's timeout.
  double body_bytes = 0;
  bool engine = false;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t shared_tokens = 0;
  double target_gap_millis = 0;  ///< For the longest gap between events.
  double service_millis = 0;     ///< Typical processing time at a plain service.
  engine_timing mixed_timing;    ///< Engines that prefill and decode.
  engine_timing prefill_timing;  ///< Engines that only prefill.
  engine_timing transfer_timing; ///< KV transfer within a zone, to the first token.
};

/// Weights of the cost terms.
struct placement_weights {
  /// Network round-trip times; typical of metropolitan and continental links as published by
  /// network operators.
  double same_region_millis = 3;
  double other_region_millis = 25;
  /// Cost of sending a kilobyte to another region, in milliseconds.
  double region_millis_per_kilobyte = 1.5;
  /// Share of the request's prefill time that counts as delay to other requests.
  double crowding = 1;
  /// Cost of prefilling a shared prefix where it is not cached, relative to its prefill time.
  double reread = 0.5;
  /// Cost of a failure that is certain, in multiples of the target latency.
  double failure = 3;
  /// Ratio of the KV transfer time between zones, and between regions, to that within a zone.
  double zone_transfer_factor = 2;
  double region_transfer_factor = 10;
  /// Cost of a long prefill at an engine that decodes, for each open stream plus one for streams
  /// that arrive later, in multiples of the target latency. A prefill is long if it exceeds
  /// `stall_share_of_gap` times the target for the gap between events.
  double stall_per_stream = 0.5;
  double stall_share_of_gap = 0.3;
  /// Cost of the upstream that this instance prefers least. Preferences differ between instances:
  /// load reports of peers are slightly out of date, and without preferences all instances would
  /// choose the upstream that the reports show as least loaded.
  double preference_millis = 20;
  /// Cost of each stream that is open at an engine, because a larger batch slows every stream.
  double open_stream_millis = 1;
  /// Cost of delaying the streams of an engine by prefill between their tokens, for each open
  /// stream, relative to the prefill time.
  double hold_up = 0;
  /// Bonus for the home of a shared prefix (the candidate with the highest rendezvous weight), in
  /// milliseconds. It decides between similar upstreams, so that all instances prefill a prefix at
  /// the same engine.
  double home_millis = 40;
  /// A request is refused if its expected time to first byte exceeds this multiple of the target
  /// latency.
  double refuse_past_objectives = 2;
};

/// Maps a weight's name in the settings to its member.
struct placement_weight_name {
  std::string_view name;
  double placement_weights::*member;
};

std::span<const placement_weight_name> placement_weight_names();

/// Sets weights from "name=value,...". Errors name the unknown weight or invalid value.
result<void> set_weights(std::string_view text, placement_weights& to);

/// The chosen upstream, with the prefill engine if prefill and decode are split.
struct placement {
  upstream_id upstream;               ///< Sends the response.
  double expected_millis = 0;         ///< Until the caller receives the first byte.
  double cost = 0;                    ///< By which it was chosen, in milliseconds.
  double prefill_millis = 0;          ///< Prefill time at `upstream`.
  std::uint32_t cached_tokens = 0;    ///< At the engine that prefills.
  upstream_id prefill_upstream;       ///< Prefills the prompt; empty if `upstream` does.
  double prefill_upstream_millis = 0; ///< Prefill time there.
  double prefill_answer_millis = 0;   ///< Until its response: backlog, prefill time and network.
};

/// Why no upstream was chosen, and when the caller should retry.
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

/// Upstreams to choose from, in any order.
struct placement_candidates {
  std::vector<placement_candidate> upstreams;       ///< Plain services, or engines that decode.
  std::vector<placement_candidate> prefill_engines; ///< Engines that only prefill.
};

/// Chooses the candidate, or the pair of prefill and decode engine, with the lowest cost. Refuses
/// the request if the choice would exceed its remaining time or `refuse_past_objectives`.
tl::expected<placement, placement_refusal> place_request(const placement_request& request,
                                                         const placement_candidates& candidates,
                                                         const placement_weights& weights);

} // namespace nutmegspur
