/// \file proxy_state.h
/// What the parts of a proxying instance share: its settings, the configuration in force, and the
/// views of upstreams, load and caches. All of it lives on the loop's thread.
#pragma once

#include "event_loop.h"

#include <nutmegspur/engine_calibration.h>
#include <nutmegspur/event_log.h>
#include <nutmegspur/load_view.h>
#include <nutmegspur/metrics.h>
#include <nutmegspur/placement.h>
#include <nutmegspur/prompt_cache_view.h>
#include <nutmegspur/retry_budget.h>
#include <nutmegspur/upstream_health.h>
#include <nutmegspur/upstream_list.h>
#include <nutmegspur/usage_windows.h>
#include <nutmegspur/wall_clock_vote.h>
#include <nutmegspur/wire_binding.h>
#include <nutmegspur/withheld_upstreams.h>

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace nutmegspur::proxy {

/// The store's lease on the duties of the whole system stands under this name in a zone's place.
inline const zone_id duties_zone{"fleet"};

/// How fast a service's engines are, by what they do.
struct engine_calibrations {
  /// Before anything was measured: 25 and 50 prompt tokens a millisecond, the pace of a model of
  /// 70 billion parameters on a group of current accelerators, with and without tokens between.
  engine_calibration mixed{{0.04, 60}};
  engine_calibration prefill{{0.02, 50}};
  /// Fetching a prompt that was read elsewhere in the zone: 160 KB a token over 1.6 terabits a
  /// second, and a few steps of the engine.
  engine_calibration transfer{{0.0008, 20}};
};

/// What the operator of this process may choose.
struct proxy_options {
  placement_weights weights;
  fleet_policy fleet;
  double prefill_share = 0.5; ///< Part of a zone's engines that only read prompts.
};

/// A part that peers are told of.
struct placed_part {
  time_point until{};
  cached_part_notice part;
  instance_id from; ///< Who placed it, or the relay that told of it.
};

struct proxy_state {
  proxy_state(http1::event_loop& running_loop, const wire_binding& binding, proxy_settings initial_settings,
              proxy_options chosen_options)
      : loop(running_loop), wire(binding), settings(std::move(initial_settings)), options(chosen_options),
        usage(settings.instance, settings.usage_window) {}

  http1::event_loop& loop;
  const wire_binding& wire;
  proxy_settings settings;
  proxy_options options;

  /// Null until one is known. Replaced as a whole, and only by a greater version.
  std::shared_ptr<const route_table> config;
  upstream_list upstreams;
  upstream_health health;
  withheld_upstreams withheld;
  load_view loads;
  prompt_cache_view caches;
  std::map<service_id, engine_calibrations> calibrations;
  std::map<service_id, retry_budget> retry_budgets;
  usage_windows usage;
  wall_clock_vote clock; ///< What windows of usage go by.
  metric_registry metrics;
  /// Parts placed lately, the oldest first.
  std::deque<placed_part> placed;
  /// Peers are told of a placed part for so long.
  milliseconds placed_period{350};

  /// Other instances heard lately.
  std::size_t live_peers = 0;
  bool upstreams_known = false;
  bool stopping = false;
  /// While stopping: when the process ends at the latest.
  time_point stop_deadline = time_point::max();

  /// Whether a request that arrives now can be expected to be done before this process ends.
  [[nodiscard]] bool accepts_requests(const moment& now) const;
  /// `from` placed `parts` at `upstream`; peers are told.
  void record_placed(const moment& now, const upstream_id& upstream,
                   const std::vector<chained_part>& parts, const instance_id& from);
  /// `id` takes nothing for `span`, or until it is listed with `until_stage`; peers are told.
  void withhold(const moment& now, const upstream_id& id, engine_stage until_stage,
                milliseconds period, std::string_view why);
  /// Whether new requests may go to `it` now.
  [[nodiscard]] bool upstream_available(const moment& now, const listed_upstream& it) const;
  /// Takes a configuration if it is newer than the one in force; false if it is not.
  bool apply_config(proxy_config config, std::string_view source);
  /// One change of the list, from the store or from a peer.
  void on_upstream_change(const upstream_id& id, upstream_change how, std::string_view source);
  [[nodiscard]] retry_budget& retry_budget_of(const service_id& service);
  /// After the number of instances or the bound has changed.
  void update_retry_allowances();
  /// Tokens that the engine `id` can hold; 0 if that is not known.
  [[nodiscard]] std::uint64_t cache_tokens_of(const upstream_id& id) const;
  [[nodiscard]] distance distance_to(const zone_id& zone) const;
};

} // namespace nutmegspur::proxy
