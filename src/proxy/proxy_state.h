/// \file proxy_state.h
/// State that the parts of a proxy instance share: its settings, the configuration in force, and
/// the views of upstreams, load and prompt caches. Used only on the event loop's thread.
#pragma once

#include "byte_budget.h"
#include "event_loop.h"

#include <nutmegspur/crash_blame.h>
#include <nutmegspur/engine_calibration.h>
#include <nutmegspur/event_log.h>
#include <nutmegspur/load_view.h>
#include <nutmegspur/metrics.h>
#include <nutmegspur/placement.h>
#include <nutmegspur/prompt_cache_view.h>
#include <nutmegspur/retry_budget.h>
#include <nutmegspur/stop_window.h>
#include <nutmegspur/stream_evidence.h>
#include <nutmegspur/stream_origins.h>
#include <nutmegspur/upstream_health.h>
#include <nutmegspur/upstream_limits.h>
#include <nutmegspur/upstream_list.h>
#include <nutmegspur/upstream_pauses.h>
#include <nutmegspur/upstream_removals.h>
#include <nutmegspur/usage_windows.h>
#include <nutmegspur/wall_clock_vote.h>
#include <nutmegspur/wire_binding.h>
#include <nutmegspur/withheld_upstreams.h>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace nutmegspur::proxy {

/// Name, in place of a zone's, of the lease on the duties of the whole system.
inline const zone_id duties_zone{"fleet"};

/// Measured speed of a service's engines, by kind of work.
struct engine_calibrations {
  /// Initial values: prefill of 25 and 50 prompt tokens per millisecond, typical of a model of 70
  /// billion parameters on a group of current accelerators, with and without decoding in between.
  engine_calibration mixed{{0.04, 60}};
  engine_calibration prefill{{0.02, 50}};
  /// Transfer of a prompt that was prefilled elsewhere in the zone: 160 KB per token at 1.6 Tbit/s,
  /// plus a few steps of the engine.
  engine_calibration transfer{{0.0008, 20}};
};

/// Time limit for connections that requests need: an upstream in another region accepts one within
/// a fraction of it.
inline constexpr milliseconds upstream_connect_limit{300};

/// Command-line options of the proxy.
struct proxy_options {
  placement_weights weights;
  fleet_policy fleet;
  double prefill_share = 0.5; ///< Share of a zone's engines that only prefill.
};

/// A prompt part placed at an upstream, which is sent to peers until it expires.
struct placed_part {
  time_point until{};
  cached_part_notice part;
  instance_id from; ///< The instance that placed it, or the relay that sent it.
};

struct proxy_state {
  proxy_state(http1::event_loop& running_loop, const wire_binding& binding,
              proxy_settings initial_settings, proxy_options chosen_options)
      : loop(running_loop), wire(binding), settings(std::move(initial_settings)),
        options(chosen_options), usage(settings.instance, settings.usage_window),
        held(running_loop) {}

  http1::event_loop& loop;
  const wire_binding& wire;
  proxy_settings settings;
  proxy_options options;

  /// Null until one is known. Replaced as a whole, and only by a higher version.
  std::shared_ptr<const route_table> config;
  upstream_list upstreams;
  upstream_health health;
  upstream_removals removals;
  withheld_upstreams withheld;
  upstream_pauses pauses;
  upstream_limits limits;
  crash_blame blame;
  spoiled_answers spoiled;
  /// Of the services' software versions.
  std::map<std::pair<service_id, std::string>, stream_habits> habits;
  stream_origins origins;
  load_view loads;
  prompt_cache_view caches;
  std::map<service_id, engine_calibrations> calibrations;
  std::map<service_id, retry_budget> retry_budgets;
  usage_windows usage;
  wall_clock_vote clock; ///< Time that usage windows are based on.
  metric_registry metrics;
  http1::byte_budget held; ///< Of the bytes that are held for callers and upstreams.
  /// Recently placed parts, oldest first.
  std::deque<placed_part> placed;
  /// Time for which a placed part is sent to peers.
  milliseconds placed_period{350};

  /// Number of other instances that are live.
  std::size_t live_peers = 0;
  bool upstreams_known = false;
  /// Set once this instance was told to stop.
  std::optional<stop_window> stopping;

  /// Whether an attempt at `request` may start before this process ends.
  [[nodiscard]] bool may_start(const moment& now, const unstarted_request& request) const {
    return !stopping || nutmegspur::may_start(*stopping, now, request);
  }

  /// Records that `from` placed `parts` at `upstream`; peers are notified.
  void record_placed(const moment& now, const upstream_id& upstream,
                     const std::vector<chained_part>& parts, const instance_id& from);
  /// Sends `id` no requests for `period` or until it is listed with `until_stage`; peers are
  /// notified.
  void withhold(const moment& now, const upstream_id& id, engine_stage until_stage,
                milliseconds period, std::string_view why);
  /// Records the result of an attempt at `id` for its circuit breaker.
  void record_result(const moment& now, const upstream_id& id, attempt_result result);
  /// Applies what a response of `it` says about the upstream itself: that it is leaving, wants a
  /// pause, or takes a limited rate. Only an `authentic` response ends such a limit.
  void on_response_head(const moment& now, const listed_upstream& it,
                        const response_metadata& marks, bool authentic);
  /// Logs the limit in force of the upstream that `notice` tells of, which has changed.
  static void log_limit(const limit_notice& notice, std::string_view source);
  /// Logs what was quarantined or released, by evidence from `source`.
  static void log_blame(const blame_changes& changes, std::string_view source);
  /// Whether calls of any kind may go to `it` now: not to a process that is leaving or paused.
  [[nodiscard]] bool accepts_calls(const moment& now, const listed_upstream& it) const;
  /// Whether new requests may go to `it` now.
  [[nodiscard]] bool upstream_available(const moment& now, const listed_upstream& it) const;
  /// Applies `config` if it is newer than the one in force; returns false otherwise.
  bool apply_config(proxy_config config, std::string_view source);
  /// Logs a change of the upstream list and drops the state of upstreams that are gone or
  /// restarted.
  void on_upstream_change(const upstream_id& id, upstream_change how, std::string_view source);
  [[nodiscard]] retry_budget& retry_budget_of(const service_id& service);
  /// Must be called after the number of instances or the shared retry bound has changed.
  void update_retry_allowances();
  /// Cache capacity of the engine `id` in tokens; 0 if it is not known.
  [[nodiscard]] std::uint64_t cache_tokens_of(const upstream_id& id) const;
  [[nodiscard]] distance distance_to(const zone_id& zone) const;
};

} // namespace nutmegspur::proxy
