// The simulated fleet: engine reports to the entry instances, orders to engines, and faults.
#include "model_run.h"

#include <algorithm>

namespace nutmegspur::load::pvt {

namespace {

constexpr milliseconds report_period{1000}; ///< For engines in the zone of the entry instance.
constexpr milliseconds remote_report_period{2000}; ///< For engines in other zones.
constexpr milliseconds digest_period{500};
constexpr milliseconds list_delay{2000}; ///< From the stop of an engine until it leaves the list.
constexpr seconds reclaim_notice{5};
constexpr seconds drain_limit{30};

} // namespace

void
simulation_run::poll_reports(std::size_t entry, bool same_zone) {
  auto& it = *entries_[entry];
  for (auto& engine : engines_) {
    const bool in_entry_zone = engine->zone.name == it.options.zone.name;
    const upstream_id id{engine->name};
    const auto found = it.upstreams.find(id);
    if (in_entry_zone != same_zone || engine->stopped || found == it.upstreams.end() ||
        partitioned(engine->zone.name, it.options.zone.name)) {
      continue;
    }
    advance_engine(*engine);
    const auto report = engine->model->report(now_.boot);
    auto& state = found->second;
    state.load = report.load;
    state.load_measured = {report.measured, now_.wall};
    state.state = engine->model->state();
    state.changing = engine->model->changing() || engine->draining;
    state.leaving = engine->leaving;
    for (const auto& change : engine->model->events_after(it.events_seen[id], now_.boot)) {
      it.events_seen[id] = change.number;
      state.cached_blocks.insert(change.stored.begin(), change.stored.end());
      for (const auto block : change.removed) {
        state.cached_blocks.erase(block);
      }
    }
  }
  const auto period = same_zone ? report_period : remote_report_period;
  schedule(now_.boot + period, [this, entry, same_zone] { poll_reports(entry, same_zone); });
}

void
simulation_run::tick_entry(std::size_t entry) {
  step(entry, tick{});
  schedule(now_.boot + tick_period, [this, entry] { tick_entry(entry); });
}

void
simulation_run::exchange_digests() {
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    for (const auto& service : entries_[i]->admission->take_local_service()) {
      for (std::size_t j = 0; j < entries_.size(); ++j) {
        if (i != j && entries_[i]->options.zone.name == entries_[j]->options.zone.name) {
          entries_[j]->admission->add_remote_service(service.team, service.weighted_tokens_milli);
        }
      }
    }
  }
  schedule(now_.boot + digest_period, [this] { exchange_digests(); });
}

void
simulation_run::update_entries(const std::string& engine, void (*change)(upstream_state&, bool),
                               bool value) {
  for (auto& entry : entries_) {
    const auto found = entry->upstreams.find(upstream_id{engine});
    if (found != entry->upstreams.end()) {
      change(found->second, value);
    }
  }
}

void
simulation_run::set_wanted_state(const upstream_id& id, const engine_state& wanted) {
  auto& engine = *engines_by_name_.at(id.value);
  if (engine.draining || engine.stopped || platform_out_) {
    return;
  }
  engine.draining = true;
  update_entries(
      engine.name, [](upstream_state& it, bool value) { it.changing = value; }, true);
  drain_then_order(engine, wanted, now_.boot + drain_limit);
}

void
simulation_run::drain_then_order(simulated_engine& engine, const engine_state& wanted,
                                 time_point drain_deadline) {
  constexpr milliseconds drain_check_interval{100};
  if (engine.stopped) {
    return;
  }
  if (!engine.work.empty() && now_.boot < drain_deadline) {
    schedule(now_.boot + drain_check_interval, [this, &engine, wanted, drain_deadline] {
      drain_then_order(engine, wanted, drain_deadline);
    });
    return;
  }
  engine.draining = false;
  if (!engine.work.empty()) {
    update_entries(
        engine.name, [](upstream_state& it, bool value) { it.changing = value; }, false);
    return;
  }
  std::vector<engine_output> outputs;
  advance_engine(engine);
  engine.model->order(fence{1}, ++engine.last_sequence, wanted, now_.boot, outputs);
  role_changes_ += 1;
  schedule_wakeup(engine);
}

void
simulation_run::set_wanted_upstreams(const zone_plan& zone, const std::string& kind,
                                     std::uint32_t wanted) {
  if (platform_out_) {
    return;
  }
  const bool reclaimable = kind == "reclaimable";
  std::vector<simulated_engine*> current;
  for (auto& it : engines_) {
    if (it->zone.name == zone.name && it->reclaimable == reclaimable && !it->stopped &&
        !it->leaving) {
      current.push_back(it.get());
    }
  }
  for (auto n = current.size(); n < wanted; ++n) {
    add_engine(zone, reclaimable, now_.boot + in_.engine.startup_time);
  }
  for (auto n = current.size(); n > wanted; --n) {
    retire_engine(*current[n - 1]);
  }
}

void
simulation_run::retire_engine(simulated_engine& it) {
  it.leaving = true;
  update_entries(
      it.name, [](upstream_state& state, bool value) { state.leaving = value; }, true);
  schedule(now_.boot + drain_limit, [this, &it] { stop_engine(it); });
}

void
simulation_run::stop_engine(simulated_engine& it) {
  if (it.stopped) {
    return;
  }
  it.stopped = true;
  it.ended = now_.boot;
  const auto work = std::move(it.work);
  it.work.clear();
  for (const auto& [job, attempt] : work) {
    end_attempt(attempt.entry, attempt.attempt, error_code::upstream_failed, outcome::unknown,
                it.name, delay(it.zone, entries_[attempt.entry]->options.zone));
  }
  schedule(now_.boot + list_delay, [this, name = it.name] {
    for (auto& entry : entries_) {
      entry->upstreams.erase(upstream_id{name});
    }
  });
}

void
simulation_run::inject_fault(const fault_plan& fault) {
  const auto end = now_.boot + duration{static_cast<std::int64_t>(fault.for_s * 1e6)};
  switch (fault.kind) {
  case fault_kind::engine_lost:
    for (auto& it : engines_) {
      if (it->zone.name == fault.zone && !it->stopped) {
        stop_engine(*it);
        return;
      }
    }
    break;
  case fault_kind::zone_reclaim:
    reclaim_zone(fault.zone);
    break;
  case fault_kind::platform_out:
    platform_out_ = true;
    schedule(end, [this] { platform_out_ = false; });
    break;
  case fault_kind::region_cut:
    partitioned_zones_.insert(fault.zone);
    schedule(end, [this, zone = fault.zone] { partitioned_zones_.erase(zone); });
    break;
  }
}

void
simulation_run::reclaim_zone(const std::string& zone) {
  for (auto& it : engines_) {
    if (it->zone.name == zone && it->reclaimable && !it->stopped) {
      it->leaving = true; // Entry instances learn of it from the next report.
      schedule(now_.boot + reclaim_notice, [this, engine = it.get()] { stop_engine(*engine); });
    }
  }
}

} // namespace nutmegspur::load::pvt
