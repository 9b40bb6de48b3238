/// \file predicted_latency_policy.cpp
/// Routing by predicted latency. The prediction corrects delayed load reports by the requests
/// placed since, subtracts cached prefix blocks, and adds a cost for traffic between regions.
///
/// If every engine already has a queue, the request is not placed, so that it waits where admission
/// can order it.

#include <nutmegspur/latency_model.h>
#include <nutmegspur/policy.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <random>
#include <unordered_map>

namespace nutmegspur {

namespace {

/// Sequences that may queue inside an engine, to cover the delay of its reports.
constexpr std::uint32_t base_engine_queue = 2;
/// The queue limit grows by one sequence for this many batch slots.
constexpr std::uint32_t slots_per_queued = 8;
/// Prefill backlog, in prompt tokens, above which an engine gets no more requests.
constexpr std::uint64_t max_prefill_backlog = 8192;
/// Sequences that may be placed beyond the largest batch seen, until a report shows the batch
/// limit.
constexpr std::uint32_t batch_headroom = 8;
/// How long the blocks of local placements count as cached without a cache event.
constexpr seconds placed_block_ttl{60};
constexpr seconds prune_period{1};
/// A placement that no report has covered for this long counts only while local requests are in
/// progress at the engine. Reports of engines in other zones are never received.
constexpr seconds unreported_timeout{2};
/// Bytes on the wire for one streamed output token, and for one prompt token.
constexpr double output_token_bytes = 200;
constexpr double prompt_token_bytes = 4;
/// Cost of a byte sent between regions, in seconds of latency.
constexpr double region_seconds_per_byte = 1e-5;
constexpr double region_round_trip_seconds = 0.024;
/// Share of the delay to sequences already decoding that is charged to a placement.
constexpr double decode_delay_weight = 0.1;
/// Upper limit on the expected output tokens of a request. `max_tokens` is only a bound, and many
/// callers set it high.
constexpr std::uint32_t max_expected_output = 1024;
/// Time constant, in tokens, of the moving average of the time between tokens.
constexpr double token_time_smoothing = 200;
/// Weight of local work in progress relative to load reports.
constexpr double own_weight = 0.5;
/// Upper limit on the estimated ratio of all work to local work at an upstream.
constexpr double max_total_to_own = 16;
/// Candidates within this factor of the lowest cost are treated as equal; one is picked at random.
constexpr double near_best_factor = 1.05;

/// A request that this instance placed at an engine after the engine's last report.
struct recent_placement {
  time_point at;
  std::uint32_t prefill_tokens = 0;
};

/// State kept for one upstream.
struct upstream_history {
  std::deque<recent_placement> recent;
  std::unordered_map<std::uint64_t, time_point> placed_blocks;
  time_point next_prune{}; ///< For `placed_blocks`.
  /// Batch in the last report with a queue, or a larger batch reported since.
  std::uint32_t batch_seen = 0;
  bool batch_full = false; ///< A queue formed at `batch_seen`, so it is the batch limit.
  engine_role role = engine_role::mixed;
  double token_seconds = 0; ///< Average time between tokens of local streams; 0: none seen.
};

/// A candidate with its cost and the predicted times.
struct scored_candidate {
  upstream_id upstream;
  double seconds = 0;
  double first_token_seconds = 0;
  double total_seconds = 0;
  std::uint32_t prefill_tokens = 0;
};

class predicted_latency_policy final : public routing_policy {
 public:
  explicit predicted_latency_policy(const routing_options& options)
      : options_(options), random_(options.seed) {}

  std::optional<placement> choose(const route_query& query, const upstream_map& upstreams,
                                  const moment& now) override {
    estimate_total_to_own(upstreams);
    std::vector<scored_candidate> found;
    for (const auto& [id, it] : upstreams) {
      if (!can_serve(it, query, now.boot) || it.own_in_flight >= options_.max_own_in_flight) {
        continue;
      }
      auto score = query.inference != nullptr ? score_if_room(id, it, query, now)
                                              : score_service(id, it, query);
      if (score) {
        found.push_back(std::move(*score));
      }
    }
    if (found.empty()) {
      return std::nullopt;
    }
    const auto& best = pick_near_best(found);
    if (query.inference != nullptr) {
      record_placement(best, *query.inference, now);
    }
    constexpr double millis = 1000;
    return placement{best.upstream,
                     milliseconds{static_cast<std::int64_t>(best.first_token_seconds * millis)}};
  }

  milliseconds estimate_service_time(const route_query& query, const upstream_map& upstreams,
                                     const moment& now) override {
    double best = 0;
    if (query.inference == nullptr) {
      return milliseconds{0};
    }
    estimate_total_to_own(upstreams);
    for (const auto& [id, it] : upstreams) {
      if (can_serve(it, query, now.boot)) {
        auto& history = history_[id];
        update_history(history, it, now);
        const auto score = score_engine(id, history, it, query);
        best = best == 0 ? score.total_seconds : std::min(best, score.total_seconds);
      }
    }
    constexpr double millis = 1000;
    return milliseconds{static_cast<std::int64_t>(best * millis)};
  }

  void observe(const stream_progress& progress) override {
    if (progress.tokens == 0) {
      return;
    }
    constexpr double micros = 1e6;
    auto& mean_token_seconds = history_[progress.upstream].token_seconds;
    const double span = static_cast<double>(progress.span.count()) / micros / progress.tokens;
    const double old_weight =
        std::exp(-static_cast<double>(progress.tokens) / token_time_smoothing);
    mean_token_seconds =
        mean_token_seconds == 0 ? span : old_weight * mean_token_seconds + (1 - old_weight) * span;
  }

 private:
  static std::optional<scored_candidate>
  score_service(const upstream_id& id, const upstream_state& it, const route_query& query) {
    const double region_delay = it.listed.region == query.region ? 0.0 : region_round_trip_seconds;
    constexpr double seconds_per_call = 0.01;
    scored_candidate score;
    score.upstream = id;
    score.seconds = region_delay + seconds_per_call * it.own_in_flight;
    return score;
  }

  std::optional<scored_candidate> score_if_room(const upstream_id& id, const upstream_state& it,
                                                const route_query& query, const moment& now) {
    auto& history = history_[id];
    update_history(history, it, now);
    // Requests that have ended since are no longer in the engine's queue.
    const auto placed =
        std::min(static_cast<std::uint32_t>(history.recent.size()), it.own_in_flight);
    if (queue_is_full(history, it, placed) ||
        backlog_of(history, it).prefill_tokens > max_prefill_backlog) {
      return std::nullopt;
    }
    constexpr double micros = 1e6;
    auto score = score_engine(id, history, it, query);
    const auto span = duration{static_cast<std::int64_t>(score.total_seconds * micros)};
    // A request that would miss its deadline only delays others that can still meet theirs.
    return now.boot + span > query.deadline ? std::nullopt : std::optional{std::move(score)};
  }

  scored_candidate score_engine(const upstream_id& id, const upstream_history& history,
                                const upstream_state& it, const route_query& query) const {
    const auto& inference_request = *query.inference;
    const auto backlog = backlog_of(history, it);
    const auto context = inference_request.prompt_tokens + query.resume_from;
    const auto cached =
        std::min(context, cached_blocks(history, it, inference_request) * options_.block_tokens);
    const auto expected_output =
        std::min(inference_request.max_tokens, query.resume_from + max_expected_output);
    const auto remaining_output = expected_output - std::min(expected_output, query.resume_from);
    const request_size size{context - cached, remaining_output};
    const auto expected = estimate_latency(speed_, it.state.role, backlog, size);
    const double decode_delay = static_cast<double>(size.prefill_tokens) * backlog.running /
                                speed_.prefill_tokens_per_second;
    const double seconds = expected.total_seconds + decode_delay_weight * decode_delay +
                           cross_region_cost(it, query, context, remaining_output);
    const double stream_slowdown =
        std::max(0.0, history.token_seconds - step_seconds(speed_, backlog.running)) *
        remaining_output;
    return {id, seconds, expected.first_token_seconds, expected.total_seconds + stream_slowdown,
            size.prefill_tokens};
  }

  /// Estimates the mean ratio of all work at an upstream to the local work there. Requests placed
  /// by other instances are not visible at once, but those instances use the same policy.
  void estimate_total_to_own(const upstream_map& upstreams) {
    double all = 0;
    double own = 0;
    for (const auto& [id, it] : upstreams) {
      all += it.load.running + it.load.waiting;
      own += it.own_in_flight;
    }
    total_to_own_ = own > 0 ? std::clamp(all / own, 1.0, max_total_to_own) : 1.0;
  }

  /// Combines the delayed report, corrected by the requests placed since, with local work in
  /// progress. Local work is known without delay, which keeps all instances from choosing the same
  /// engine at the same time.
  [[nodiscard]] engine_backlog backlog_of(const upstream_history& history,
                                          const upstream_state& it) const {
    double reported_tokens = it.load.waiting_tokens;
    for (const auto& work : history.recent) {
      reported_tokens += work.prefill_tokens;
    }
    const double reported_running =
        it.load.running + it.load.waiting + static_cast<double>(history.recent.size());
    const double tokens =
        own_weight * total_to_own_ * it.own_prompt_tokens + (1 - own_weight) * reported_tokens;
    const double running =
        own_weight * total_to_own_ * it.own_in_flight + (1 - own_weight) * reported_running;
    return {static_cast<std::uint64_t>(tokens), static_cast<std::uint32_t>(running)};
  }

  static double cross_region_cost(const upstream_state& it, const route_query& query,
                                  std::uint32_t context, std::uint32_t remaining_output) {
    if (it.listed.region == query.region) {
      return 0;
    }
    const double bytes = prompt_token_bytes * context + output_token_bytes * remaining_output;
    return region_round_trip_seconds + bytes * region_seconds_per_byte;
  }

  /// Whether the oldest recent placement is covered by a report or has certainly ended.
  static bool is_superseded(const upstream_history& history, const upstream_state& it,
                            time_point now) {
    const time_point at = history.recent.front().at;
    const bool reported = at <= it.load_measured.boot;
    return reported || (at + unreported_timeout < now && history.recent.size() > it.own_in_flight);
  }

  static void update_history(upstream_history& history, const upstream_state& it,
                             const moment& now) {
    while (!history.recent.empty() && is_superseded(history, it, now.boot)) {
      history.recent.pop_front();
    }
    if (now.boot >= history.next_prune) {
      history.next_prune = now.boot + prune_period;
      std::erase_if(history.placed_blocks,
                    [&](const auto& block) { return block.second + placed_block_ttl < now.boot; });
    }
    if (history.role != it.state.role) {
      history.role = it.state.role;
      history.batch_seen = 0;
      history.batch_full = false;
    }
    if (it.load.waiting > 0) {
      history.batch_seen = it.load.running;
      history.batch_full = true;
    } else if (it.load.running > history.batch_seen) {
      history.batch_seen = it.load.running;
      history.batch_full = false;
    }
  }

  static bool queue_is_full(const upstream_history& history, const upstream_state& it,
                            std::uint32_t placed) {
    const auto batch = history.batch_seen + (history.batch_full ? 0 : batch_headroom);
    const auto limit = batch + base_engine_queue + batch / slots_per_queued;
    return it.load.running + it.load.waiting + placed >= limit;
  }

  static std::uint32_t cached_blocks(const upstream_history& history, const upstream_state& it,
                                     const inference_call& inference_request) {
    std::uint32_t n = 0;
    for (const auto block : inference_request.prefix_blocks) {
      if (!it.cached_blocks.contains(block) && !history.placed_blocks.contains(block)) {
        break;
      }
      n += 1;
    }
    return n;
  }

  const scored_candidate& pick_near_best(const std::vector<scored_candidate>& found) {
    double best = found.front().seconds;
    for (const auto& it : found) {
      best = std::min(best, it.seconds);
    }
    std::vector<const scored_candidate*> eligible;
    for (const auto& it : found) {
      if (it.seconds <= best * near_best_factor) {
        eligible.push_back(&it);
      }
    }
    return *eligible[random_() % eligible.size()];
  }

  void record_placement(const scored_candidate& it, const inference_call& inference_request,
                        const moment& now) {
    auto& history = history_[it.upstream];
    history.recent.push_back({now.boot, it.prefill_tokens});
    for (const auto block : inference_request.prefix_blocks) {
      history.placed_blocks[block] = now.boot;
    }
  }

  routing_options options_;
  engine_speed speed_;
  std::mt19937_64 random_;
  double total_to_own_ = 1;
  std::map<upstream_id, upstream_history> history_;
};

[[maybe_unused]] const bool registered =
    routing_registry::instance().add("predicted_latency", [](const routing_options& options) {
      return std::make_unique<predicted_latency_policy>(options);
    });

} // namespace

} // namespace nutmegspur
