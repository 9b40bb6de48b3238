/// \file predicted_latency_policy.cpp
/// Routing by predicted latency: lagged reports corrected by what was placed since, minus cached
/// prefix blocks, plus a price for bytes between regions.
///
/// It holds a request back (no placement) where every engine already has a queue of its own, so
/// that waiting happens where admission can order it.

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

/// Sequences that may queue inside an engine, to cover the lag of its reports.
constexpr std::uint32_t base_queue_limit = 2;
/// Further sequences in the queue limit: one for so many batch slots.
constexpr std::uint32_t slots_per_queued = 8;
/// Prompt tokens that may wait in an engine before it takes no more.
constexpr std::uint64_t most_prefill_backlog = 8192;
/// How far over the last seen batch an engine may be filled before a report tells more.
constexpr std::uint32_t batch_headroom = 8;
/// How long own placements count as cached where no cache event tells.
constexpr seconds placed_block_life{60};
constexpr seconds prune_period{1};
/// A placement that no report has shown for so long counts only while own work is in progress
/// there; reports of another zone's engines do not come at all.
constexpr seconds unreported_limit{2};
/// Bytes on the wire for one output token of a stream, and for one prompt token.
constexpr double output_token_bytes = 200;
constexpr double prompt_token_bytes = 4;
/// What a byte between regions costs, in seconds of latency.
constexpr double region_seconds_per_byte = 1e-5;
constexpr double region_round_trip_seconds = 0.024;
/// Share of the delay done to sequences already decoding that counts against a placement.
constexpr double disturbance_weight = 0.1;
/// Output tokens that a request is expected to make at most: `max_tokens` is only a bound, and many
/// callers set it high.
constexpr std::uint32_t most_expected_output = 1024;
/// Tokens over which the time between tokens is averaged.
constexpr double token_memory = 200;
/// Weight of own work in progress against reports.
constexpr double own_weight = 0.5;
/// Bound on how many times its own work an upstream is taken to hold.
constexpr double most_all_for_own = 16;
/// Candidates within this factor of the best are equal, and one of them is drawn.
constexpr double near_best = 1.05;

/// Work that this instance placed at an engine and that its last report cannot show yet.
struct recent_placement {
  time_point at;
  std::uint32_t prefill_tokens = 0;
};

/// What the policy remembers of one upstream.
struct upstream_memory {
  std::deque<recent_placement> recent;
  std::unordered_map<std::uint64_t, time_point> placed_blocks;
  time_point next_prune{};      ///< Of `placed_blocks`.
  std::uint32_t batch_seen = 0; ///< Greatest batch that it reported without a queue behind it.
  bool batch_full = false;      ///< `batch_seen` is the batch's limit.
  engine_role role = engine_role::mixed;
  double token_seconds = 0; ///< Time between tokens of own streams there, fading; 0: not seen.
};

/// A candidate and what it would cost.
struct scored {
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
    measure_own_share(upstreams);
    std::vector<scored> found;
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
    const auto& best = draw(found);
    if (query.inference != nullptr) {
      remember(best, *query.inference, now);
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
    measure_own_share(upstreams);
    for (const auto& [id, it] : upstreams) {
      if (can_serve(it, query, now.boot)) {
        auto& memory = memory_[id];
        refresh(memory, it, now);
        const auto score = score_engine(id, memory, it, query);
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
    auto& seen = memory_[progress.upstream].token_seconds;
    const double span = static_cast<double>(progress.span.count()) / micros / progress.tokens;
    const double keep = std::exp(-static_cast<double>(progress.tokens) / token_memory);
    seen = seen == 0 ? span : keep * seen + (1 - keep) * span;
  }

 private:
  static std::optional<scored> score_service(const upstream_id& id, const upstream_state& it,
                                             const route_query& query) {
    const double away = it.listed.region == query.region ? 0.0 : region_round_trip_seconds;
    constexpr double seconds_per_call = 0.01;
    scored score;
    score.upstream = id;
    score.seconds = away + seconds_per_call * it.own_in_flight;
    return score;
  }

  std::optional<scored> score_if_room(const upstream_id& id, const upstream_state& it,
                                      const route_query& query, const moment& now) {
    auto& memory = memory_[id];
    refresh(memory, it, now);
    // What has ended since is no longer in the engine's queue.
    const auto placed =
        std::min(static_cast<std::uint32_t>(memory.recent.size()), it.own_in_flight);
    if (queue_is_full(memory, it, placed) ||
        backlog_of(memory, it).prefill_tokens > most_prefill_backlog) {
      return std::nullopt;
    }
    constexpr double micros = 1e6;
    auto score = score_engine(id, memory, it, query);
    const auto span = duration{static_cast<std::int64_t>(score.total_seconds * micros)};
    // Work that would end too late only slows down what is still in time.
    return now.boot + span > query.deadline ? std::nullopt : std::optional{std::move(score)};
  }

  scored score_engine(const upstream_id& id, const upstream_memory& memory,
                      const upstream_state& it, const route_query& query) const {
    const auto& call = *query.inference;
    const auto backlog = backlog_of(memory, it);
    const auto context = call.prompt_tokens + query.resume_from;
    const auto cached = std::min(context, cached_blocks(memory, it, call) * options_.block_tokens);
    const auto whole = std::min(call.max_tokens, query.resume_from + most_expected_output);
    const auto left = whole - std::min(whole, query.resume_from);
    const request_size size{context - cached, left};
    const auto expected = estimate_latency(speed_, it.state.role, backlog, size);
    const double disturbed = static_cast<double>(size.prefill_tokens) * backlog.running /
                             speed_.prefill_tokens_per_second;
    const double seconds = expected.total_seconds + disturbance_weight * disturbed +
                           region_price(it, query, context, left);
    const double slower =
        std::max(0.0, memory.token_seconds - step_seconds(speed_, backlog.running)) * left;
    return {id, seconds, expected.first_token_seconds, expected.total_seconds + slower,
            size.prefill_tokens};
  }

  /// How many times its own work an upstream holds, on average: what others place is not seen at
  /// once, but they place by the same rules.
  void measure_own_share(const upstream_map& upstreams) {
    double all = 0;
    double own = 0;
    for (const auto& [id, it] : upstreams) {
      all += it.load.running + it.load.waiting;
      own += it.own_in_flight;
    }
    all_for_own_ = own > 0 ? std::clamp(all / own, 1.0, most_all_for_own) : 1.0;
  }

  /// Blends the lagged report, corrected by what was placed since, with own work in progress, which
  /// has no lag and so does not send all instances to the same engine at once.
  [[nodiscard]] engine_backlog backlog_of(const upstream_memory& memory,
                                          const upstream_state& it) const {
    double reported_tokens = it.load.waiting_tokens;
    for (const auto& work : memory.recent) {
      reported_tokens += work.prefill_tokens;
    }
    const double reported_running =
        it.load.running + it.load.waiting + static_cast<double>(memory.recent.size());
    const double tokens =
        own_weight * all_for_own_ * it.own_prompt_tokens + (1 - own_weight) * reported_tokens;
    const double running =
        own_weight * all_for_own_ * it.own_in_flight + (1 - own_weight) * reported_running;
    return {static_cast<std::uint64_t>(tokens), static_cast<std::uint32_t>(running)};
  }

  static double region_price(const upstream_state& it, const route_query& query,
                             std::uint32_t context, std::uint32_t left) {
    if (it.listed.region == query.region) {
      return 0;
    }
    const double bytes = prompt_token_bytes * context + output_token_bytes * left;
    return region_round_trip_seconds + bytes * region_seconds_per_byte;
  }

  /// Whether the oldest of the recent placements is shown by a report, or has surely ended.
  static bool is_outdated(const upstream_memory& memory, const upstream_state& it, time_point now) {
    const time_point at = memory.recent.front().at;
    const bool reported = at <= it.load_measured.boot;
    return reported || (at + unreported_limit < now && memory.recent.size() > it.own_in_flight);
  }

  static void refresh(upstream_memory& memory, const upstream_state& it, const moment& now) {
    while (!memory.recent.empty() && is_outdated(memory, it, now.boot)) {
      memory.recent.pop_front();
    }
    if (now.boot >= memory.next_prune) {
      memory.next_prune = now.boot + prune_period;
      std::erase_if(memory.placed_blocks,
                    [&](const auto& block) { return block.second + placed_block_life < now.boot; });
    }
    if (memory.role != it.state.role) {
      memory.role = it.state.role;
      memory.batch_seen = 0;
      memory.batch_full = false;
    }
    if (it.load.waiting > 0) {
      memory.batch_seen = it.load.running;
      memory.batch_full = true;
    } else if (it.load.running > memory.batch_seen) {
      memory.batch_seen = it.load.running;
      memory.batch_full = false;
    }
  }

  static bool queue_is_full(const upstream_memory& memory, const upstream_state& it,
                            std::uint32_t placed) {
    const auto batch = memory.batch_seen + (memory.batch_full ? 0 : batch_headroom);
    const auto limit = batch + base_queue_limit + batch / slots_per_queued;
    return it.load.running + it.load.waiting + placed >= limit;
  }

  static std::uint32_t cached_blocks(const upstream_memory& memory, const upstream_state& it,
                                     const inference_call& call) {
    std::uint32_t n = 0;
    for (const auto block : call.prefix_blocks) {
      if (!it.cached_blocks.contains(block) && !memory.placed_blocks.contains(block)) {
        break;
      }
      n += 1;
    }
    return n;
  }

  const scored& draw(const std::vector<scored>& found) {
    double best = found.front().seconds;
    for (const auto& it : found) {
      best = std::min(best, it.seconds);
    }
    std::vector<const scored*> near;
    for (const auto& it : found) {
      if (it.seconds <= best * near_best) {
        near.push_back(&it);
      }
    }
    return *near[random_() % near.size()];
  }

  void remember(const scored& it, const inference_call& call, const moment& now) {
    auto& memory = memory_[it.upstream];
    memory.recent.push_back({now.boot, it.prefill_tokens});
    for (const auto block : call.prefix_blocks) {
      memory.placed_blocks[block] = now.boot;
    }
  }

  routing_options options_;
  engine_speed speed_;
  std::mt19937_64 random_;
  double all_for_own_ = 1;
  std::map<upstream_id, upstream_memory> memory_;
};

[[maybe_unused]] const bool registered =
    routing_registry::instance().add("predicted_latency", [](const routing_options& options) {
      return std::make_unique<predicted_latency_policy>(options);
    });

} // namespace

} // namespace nutmegspur
