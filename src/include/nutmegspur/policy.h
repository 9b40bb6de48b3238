/// \file policy.h
/// Interfaces of the exchangeable policies: admission with fair sharing, and routing. Policies
/// register by name, so that simple baselines can be compared with the production policies.
#pragma once

#include <nutmegspur/plugin.h>
#include <nutmegspur/upstream_table.h>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace nutmegspur {

// ---------------------------------------------------------------------------------------------
// Routing

/// The request to be placed, as a routing policy sees it.
struct route_query {
  request_id request;
  team_id team;
  const inference_call* inference = nullptr; ///< Null for a plain service call.
  service_id service;                        ///< For a plain service call.
  zone_id zone;                              ///< The entry instance's own zone.
  std::string region;                        ///< The entry instance's own region.
  std::uint32_t resume_from = 0;             ///< Output tokens already delivered.
  time_point deadline;
  /// Upstreams already tried for this request.
  std::span<const upstream_id> excluded;
};

/// The upstream chosen for a request, and the expected time to its first token there.
struct placement {
  upstream_id upstream;
  milliseconds expected_first_token{0};
};

/// Progress of one stream, as observed by the instance that serves its caller.
struct stream_progress {
  upstream_id upstream;
  duration span{0};         ///< Since the stream's last chunk.
  std::uint32_t tokens = 0; ///< Output tokens received in that time.
};

/// Chooses among the upstreams that serve the query's model or service and take work.
class routing_policy {
 public:
  routing_policy() = default;
  routing_policy(const routing_policy&) = delete;
  routing_policy& operator=(const routing_policy&) = delete;
  virtual ~routing_policy() = default;

  /// Empty if no upstream can take it now.
  virtual std::optional<placement> choose(const route_query& query, const upstream_map& upstreams,
                                          const moment& now) = 0;

  /// Expected time from placement to the last token at the best upstream that serves the query,
  /// whether or not it has room now. Zero where the policy cannot tell.
  virtual milliseconds estimate_service_time(const route_query& /*query*/,
                                             const upstream_map& /*upstreams*/,
                                             const moment& /*now*/) {
    return milliseconds{0};
  }

  /// Receives the observed progress of streams.
  virtual void observe(const stream_progress& /*progress*/) {}
};

/// Construction options of every routing policy.
struct routing_options {
  std::uint64_t seed = 1;
  std::uint32_t block_tokens = 16; ///< Tokens in a KV cache block.
  std::uint32_t max_own_in_flight =
      256; ///< Limit of this instance's requests in flight at one upstream.
};

/// Names: "predicted_latency", "least_in_flight", "round_robin", "random".
using routing_registry = plugin_registry<routing_policy, const routing_options&>;

/// Whether `it` can serve the query: right kind, right model or service, not excluded, taking work.
bool can_serve(const upstream_state& it, const route_query& query, time_point now);

// ---------------------------------------------------------------------------------------------
// Admission

/// A request that waits to be placed.
struct waiting_request {
  request_id request;
  team_id team;
  std::uint32_t team_weight = 1;
  request_class priority = request_class::standard;
  time_point arrived;
  time_point deadline;
  /// Expected cost in weighted tokens (thousandths): prompt and output by their price weights.
  std::uint64_t cost_milli = 0;
  /// Expected time from placement to the last token; zero where it is not known.
  milliseconds expected_service_time{0};
  /// Set by `peek` and `candidates`: the request is placed only where it is expected to complete by
  /// then. Earlier than `deadline` for a team that has used more than its share, so that capacity
  /// is left for the others.
  time_point place_by{};
};

/// The zone's capacity, as used by admission policies.
struct capacity_estimate {
  std::uint32_t upstreams_taking_work = 0;
  /// Weighted tokens (thousandths) that the reachable upstreams finish in a second.
  std::uint64_t cost_milli_per_second = 0;
  std::uint64_t in_flight_cost_milli = 0;
};

/// Queues requests, refuses those that cannot meet their deadline, and selects the next one.
class admission_policy {
 public:
  admission_policy() = default;
  admission_policy(const admission_policy&) = delete;
  admission_policy& operator=(const admission_policy&) = delete;
  virtual ~admission_policy() = default;

  /// Queues the request, or refuses it immediately, with a retry-after time if a later attempt can
  /// succeed.
  virtual result<void> enqueue(const waiting_request& it, const capacity_estimate& capacity,
                               const moment& now) = 0;
  /// The request that should be placed next, without removing it.
  [[nodiscard]] virtual std::optional<waiting_request> peek(const moment& now) = 0;

  /// The requests that may be placed now, best first, at most `max_count`. Where the first cannot
  /// be placed in time, a later one may still be.
  virtual std::vector<waiting_request> candidates(const moment& now, std::size_t max_count) {
    const auto next = max_count > 0 ? peek(now) : std::nullopt;
    return next ? std::vector{*next} : std::vector<waiting_request>{};
  }

  /// Removes a request (placed, or its caller disconnected) and charges its team if `placed`.
  virtual void remove(request_id request, bool placed) = 0;
  /// Removes and returns the requests that can no longer meet their deadline.
  virtual std::vector<waiting_request> expire(const capacity_estimate& capacity,
                                              const moment& now) = 0;
  /// Corrects a team's charge once the actual cost is known (both in thousandths).
  virtual void settle(const team_id& team, std::uint64_t expected_milli,
                      std::uint64_t actual_milli) = 0;
  /// Charges a team for work that another instance of the zone did for it.
  virtual void add_remote_service(const team_id& team, std::uint64_t cost_milli) = 0;
  /// Cost of the work done here for each team since the last call; sent to the zone's other
  /// instances.
  virtual std::vector<team_service_entry> take_local_service() = 0;
  [[nodiscard]] virtual std::size_t waiting() const = 0;
};

/// Construction options of every admission policy.
struct admission_options {
  std::uint32_t max_waiting = 2000;
};

/// Names: "fair_deadline", "first_come".
using admission_registry = plugin_registry<admission_policy, const admission_options&>;

} // namespace nutmegspur
