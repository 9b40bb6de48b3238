// The model's fleet: what entries hear of it, orders, and faults.
#include "model_run.h"

#include <algorithm>

namespace nutmegspur::load::pvt {

namespace {

constexpr milliseconds report_period{1000};
constexpr milliseconds far_report_period{2000};
constexpr milliseconds digest_period{500};
constexpr milliseconds list_lag{2000};
constexpr seconds reclaim_notice{5};
constexpr seconds drain_limit{30};

} // namespace

void
model_run::poll_reports(std::size_t entry, bool near) {
  auto& it = *entries_[entry];
  for (auto& engine : engines_) {
    const bool same = engine->zone.name == it.options.zone.name;
    const upstream_id id{engine->name};
    const auto found = it.upstreams.find(id);
    if (same != near || engine->gone || found == it.upstreams.end() ||
        cut(engine->zone.name, it.options.zone.name)) {
      continue;
    }
    run_engine(*engine);
    const auto seen = engine->model->report(now_.boot);
    auto& state = found->second;
    state.load = seen.load;
    state.load_measured = {seen.measured, now_.wall};
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
  const auto period = near ? report_period : far_report_period;
  at(now_.boot + period, [this, entry, near] { poll_reports(entry, near); });
}

void
model_run::tick_entry(std::size_t entry) {
  step(entry, tick{});
  at(now_.boot + tick_period, [this, entry] { tick_entry(entry); });
}

void
model_run::exchange_digests() {
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    for (const auto& service : entries_[i]->admission->take_local_service()) {
      for (std::size_t j = 0; j < entries_.size(); ++j) {
        if (i != j && entries_[i]->options.zone.name == entries_[j]->options.zone.name) {
          entries_[j]->admission->add_remote_service(service.team, service.weighted_tokens_milli);
        }
      }
    }
  }
  at(now_.boot + digest_period, [this] { exchange_digests(); });
}

void
model_run::mark(const std::string& engine, void (*change)(upstream_state&, bool), bool value) {
  for (auto& entry : entries_) {
    const auto found = entry->upstreams.find(upstream_id{engine});
    if (found != entry->upstreams.end()) {
      change(found->second, value);
    }
  }
}

void
model_run::want_role(const upstream_id& id, const engine_state& wanted) {
  auto& engine = *by_name_.at(id.value);
  if (engine.draining || engine.gone || platform_out_) {
    return;
  }
  engine.draining = true;
  mark(
      engine.name, [](upstream_state& it, bool value) { it.changing = value; }, true);
  drain_then_order(engine, wanted, now_.boot + drain_limit);
}

void
model_run::drain_then_order(world_engine& engine, const engine_state& wanted, time_point limit) {
  constexpr milliseconds look_again{100};
  if (engine.gone) {
    return;
  }
  if (!engine.work.empty() && now_.boot < limit) {
    at(now_.boot + look_again,
       [this, &engine, wanted, limit] { drain_then_order(engine, wanted, limit); });
    return;
  }
  engine.draining = false;
  if (!engine.work.empty()) {
    mark(
        engine.name, [](upstream_state& it, bool value) { it.changing = value; }, false);
    return;
  }
  std::vector<engine_output> outputs;
  run_engine(engine);
  engine.model->order(fence{1}, ++engine.last_sequence, wanted, now_.boot, outputs);
  role_changes_ += 1;
  wake_engine(engine);
}

void
model_run::want_upstreams(const zone_plan& zone, const std::string& kind, std::uint32_t wanted) {
  if (platform_out_) {
    return;
  }
  const bool reclaimable = kind == "reclaimable";
  std::vector<world_engine*> have;
  for (auto& it : engines_) {
    if (it->zone.name == zone.name && it->reclaimable == reclaimable && !it->gone && !it->leaving) {
      have.push_back(it.get());
    }
  }
  for (auto n = have.size(); n < wanted; ++n) {
    add_engine(zone, reclaimable, now_.boot + in_.engine.start);
  }
  for (auto n = have.size(); n > wanted; --n) {
    let_go(*have[n - 1]);
  }
}

void
model_run::let_go(world_engine& it) {
  it.leaving = true;
  mark(
      it.name, [](upstream_state& state, bool value) { state.leaving = value; }, true);
  at(now_.boot + drain_limit, [this, &it] { lose(it); });
}

void
model_run::lose(world_engine& it) {
  if (it.gone) {
    return;
  }
  it.gone = true;
  it.ended = now_.boot;
  const auto work = std::move(it.work);
  it.work.clear();
  for (const auto& [job, lost] : work) {
    end_attempt(lost.entry, lost.attempt, error_code::upstream_failed, outcome::unknown, it.name,
                delay(it.zone, entries_[lost.entry]->options.zone));
  }
  at(now_.boot + list_lag, [this, name = it.name] {
    for (auto& entry : entries_) {
      entry->upstreams.erase(upstream_id{name});
    }
  });
}

void
model_run::begin_fault(const fault_plan& fault) {
  const auto end = now_.boot + duration{static_cast<std::int64_t>(fault.for_s * 1e6)};
  switch (fault.kind) {
  case fault_kind::engine_lost:
    for (auto& it : engines_) {
      if (it->zone.name == fault.zone && !it->gone) {
        lose(*it);
        return;
      }
    }
    break;
  case fault_kind::zone_reclaim:
    reclaim(fault.zone);
    break;
  case fault_kind::platform_out:
    platform_out_ = true;
    at(end, [this] { platform_out_ = false; });
    break;
  case fault_kind::region_cut:
    cut_zones_.insert(fault.zone);
    at(end, [this, zone = fault.zone] { cut_zones_.erase(zone); });
    break;
  }
}

void
model_run::reclaim(const std::string& zone) {
  for (auto& it : engines_) {
    if (it->zone.name == zone && it->reclaimable && !it->gone) {
      it->leaving = true; // Entries hear of it with the next report.
      at(now_.boot + reclaim_notice, [this, engine = it.get()] { lose(*engine); });
    }
  }
}

} // namespace nutmegspur::load::pvt
