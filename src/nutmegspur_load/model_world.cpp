// Builds and runs the simulation; lists the policy bundles.
#include "model_run.h"

#include <algorithm>
#include <array>

namespace nutmegspur::load::pvt {

namespace {

constexpr milliseconds digest_period{500};
constexpr seconds drain_time{90}; ///< From the end of arrivals until the run stops.

} // namespace

fleet_options
simulation_run::make_fleet_options(const zone_plan& zone) const {
  fleet_options it;
  it.zone = zone_id{zone.name};
  it.shape.slots = in_.engine.slots;
  it.shape.speed.prefill_tokens_per_second = in_.engine.prefill_rate;
  it.shape.speed.step_seconds = 1 / in_.engine.decode_rate;
  it.max_upstreams = zone.engines;
  return it;
}

fleet_hooks
simulation_run::make_fleet_hooks(const zone_plan& zone) {
  fleet_hooks hooks;
  hooks.set_wanted_state = [this](const moment&, const upstream_id& id, const engine_state& wanted,
                                  action_list&) { set_wanted_state(id, wanted); };
  hooks.set_wanted_upstreams = [this, zone](const moment&, const std::string& kind,
                                            std::uint32_t wanted, action_list&) {
    set_wanted_upstreams(zone, kind, wanted);
  };
  hooks.instances = [zone] { return zone.entries; };
  return hooks;
}

result<void>
simulation_run::build() {
  for (const auto& zone : in_.zones) {
    for (std::uint32_t i = 0; i < zone.entries; ++i) {
      simulated_entry_options options{entries_.size(),
                                      zone,
                                      in_.seed + entries_.size(),
                                      in_.engine.block_tokens,
                                      policy_.plans_fleet,
                                      make_fleet_options(zone)};
      auto entry = simulated_entry::make(options, policy_, config_, make_fleet_hooks(zone));
      if (!entry) {
        return fail(entry.error());
      }
      (*entry)->authority.held = i == 0;
      entries_.push_back(std::move(*entry));
    }
  }
  for (const auto& zone : in_.zones) {
    const auto percent = policy_.plans_fleet ? fleet_options{}.reclaimable_percent : 0;
    const auto kinds = split_by_kind(zone.engines, percent);
    for (std::uint32_t i = 0; i < zone.engines; ++i) {
      add_engine(zone, i < kinds.reclaimable, start_.boot);
    }
  }
  return {};
}

void
simulation_run::add_engine(const zone_plan& zone, bool reclaimable, time_point ready) {
  standin::engine_options options;
  options.name = zone.name + "-engine-" + std::to_string(engines_.size());
  options.zone = zone.name;
  options.state.model = model_id{scenario_model};
  options.prefill_rate = in_.engine.prefill_rate;
  options.decode_rate = in_.engine.decode_rate;
  options.slots = in_.engine.slots;
  options.blocks = in_.engine.blocks;
  options.block_tokens = in_.engine.block_tokens;
  options.report_lag = in_.engine.report_lag;
  options.role_change_time = in_.engine.role_change_time;
  options.load_time = in_.engine.load_time;
  options.seed = in_.seed + engines_.size();
  auto it = std::make_unique<simulated_engine>();
  it->name = options.name;
  it->zone = zone;
  it->reclaimable = reclaimable;
  it->ready = ready;
  it->ordered = now_.boot;
  it->model = std::make_unique<engine_model>(options);
  auto* added = it.get();
  engines_by_name_[it->name] = added;
  engines_.push_back(std::move(it));
  schedule(ready, [this, added] { publish_engine(*added); });
}

void
simulation_run::publish_engine(simulated_engine& it) {
  for (auto& entry : entries_) {
    upstream_state state;
    state.listed = {it.name,        instance_kind::engine, zone_id{it.zone.name},
                    it.zone.region, "127.0.0.1",           1};
    state.state = it.model->state();
    state.load_measured = now_;
    entry->upstreams[upstream_id{it.name}] = state;
  }
}

run_metrics
simulation_run::summarize() {
  auto metrics = recorder_.summarize();
  metrics.policy = policy_.name;
  metrics.role_changes = role_changes_;
  metrics.region_bytes = region_bytes_;
  const auto end = start_.boot + duration{static_cast<std::int64_t>(in_.duration_s * 1e6)};
  double engine_cost = 0;
  double on_demand_cost = 0;
  for (const auto& it : engines_) {
    const auto stop_time = std::min(end, it->ended.value_or(end));
    const double billed_seconds =
        std::max(0.0, static_cast<double>((stop_time - it->ordered).count()) / 1e6);
    engine_cost += billed_seconds * (it->reclaimable ? in_.reclaimable_price_percent / 100.0 : 1.0);
  }
  for (const auto& zone : in_.zones) {
    on_demand_cost += zone.engines * in_.duration_s;
  }
  metrics.spend = engine_cost / on_demand_cost;
  return metrics;
}

result<run_metrics>
simulation_run::run() {
  if (auto built = build(); !built) {
    return fail(built.error());
  }
  schedule_arrivals(0);
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    const auto offset = milliseconds{13} * static_cast<int>(i);
    schedule(start_.boot + offset, [this, i] { tick_entry(i); });
    schedule(start_.boot + offset, [this, i] { poll_reports(i, true); });
    schedule(start_.boot + offset, [this, i] { poll_reports(i, false); });
  }
  schedule(start_.boot + digest_period, [this] { exchange_digests(); });
  for (const auto& fault : in_.faults) {
    schedule(start_.boot + duration{static_cast<std::int64_t>(fault.at_s * 1e6)},
             [this, fault] { inject_fault(fault); });
  }
  const auto end =
      start_.boot + duration{static_cast<std::int64_t>(in_.duration_s * 1e6)} + drain_time;
  while (!queue_.empty() && queue_.begin()->first.first <= end) {
    auto node = queue_.extract(queue_.begin());
    now_ = now_.after(node.key().first - now_.boot);
    node.mapped()();
  }
  return summarize();
}

} // namespace nutmegspur::load::pvt

namespace nutmegspur::load {

std::span<const policy_bundle>
policy_bundles() {
  static const std::array<policy_bundle, 4> bundles{{
      {"nutmegspur", "predicted_latency", "fair_deadline", true},
      {"random", "random", "first_come", false},
      {"round_robin", "round_robin", "first_come", false},
      {"least_in_flight", "least_in_flight", "first_come", false},
  }};
  return bundles;
}

result<run_metrics>
run_simulation(const scenario& in, const policy_bundle& policy) {
  return pvt::simulation_run(in, policy).run();
}

} // namespace nutmegspur::load
