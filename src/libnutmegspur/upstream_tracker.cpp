// Merges leaving signals, loads and states of upstreams into the upstream table.
#include <nutmegspur/event_log.h>
#include <nutmegspur/mechanisms.h>
#include <nutmegspur/upstream_tracker.h>

#include <algorithm>

namespace nutmegspur {

namespace {

write_log
log_line(log_event number, const upstream_id& upstream) {
  return {number, {{"upstream", upstream.value}}};
}

milliseconds
age_of(const moment& measured, const moment& now) {
  const auto age = std::chrono::duration_cast<milliseconds>(now.boot - measured.boot);
  return std::max(age, milliseconds{0});
}

} // namespace

void
upstream_tracker::on_list(const view_change& change, action_list& out) {
  for (const auto& it : change.changed) {
    if (it.kind != instance_kind::entry) {
      add(it, out);
    }
  }
  for (const auto& it : change.removed) {
    if (it.kind != instance_kind::entry) {
      remove(upstream_id{it.name}, out);
    }
  }
}

void
upstream_tracker::add(const listed_instance& it, action_list& out) {
  const upstream_id id{it.name};
  const auto [found, added] = upstreams_.try_emplace(id);
  const bool moved =
      found->second.listed.address != it.address || found->second.listed.port != it.port;
  found->second.listed = it;
  if (added) {
    out.push_back(log_line(log_event::upstream_added, id));
  }
  tracking& tracked = tracking_[id];
  if (moved) {
    // A different process under the same name: discard what was known of the old one.
    tracked = {};
  }
  tracked.listed_leaving = it.leaving;
  update_leaving(id, out);
}

void
upstream_tracker::remove(const upstream_id& id, action_list& out) {
  if (upstreams_.erase(id) != 0) {
    out.push_back(log_line(log_event::upstream_gone, id));
  }
  tracking_.erase(id);
  unsent_loads_.erase(id);
  unsent_states_.erase(id);
}

void
upstream_tracker::update_leaving(const upstream_id& id, action_list& out) {
  const tracking& tracked = tracking_.at(id);
  upstream_state& it = upstreams_.at(id);
  const bool leaving = tracked.listed_leaving || tracked.closing || tracked.gone;
  if (leaving && !it.leaving) {
    out.push_back(log_line(log_event::upstream_leaving, id));
  }
  if constexpr (enabled(mechanism::leaving_takes_no_work)) {
    it.leaving = leaving;
  }
}

void
upstream_tracker::refresh_drains_and_changes() {
  for (auto& [id, it] : upstreams_) {
    if constexpr (enabled(mechanism::leaving_takes_no_work)) {
      it.drained = hooks_.drained && hooks_.drained(id);
    }
    if (hooks_.change_ordered && hooks_.change_ordered(id)) {
      it.changing = true;
    }
  }
}

std::optional<upstream_notice>
upstream_tracker::on_closing(const upstream_closing& closing, action_list& out) {
  const auto it = tracking_.find(closing.upstream);
  if (it == tracking_.end()) {
    return std::nullopt;
  }
  const bool known = it->second.closing || it->second.gone;
  it->second.closing = it->second.closing || !closing.gone;
  it->second.gone = it->second.gone || closing.gone;
  update_leaving(closing.upstream, out);
  if (known) {
    return std::nullopt;
  }
  return upstream_notice{closing.upstream, true};
}

bool
upstream_tracker::on_notice(const upstream_notice& notice, action_list& out) {
  const auto it = tracking_.find(notice.upstream);
  if (it == tracking_.end() || it->second.gone == notice.leaving || it->second.closing) {
    return false;
  }
  it->second.gone = notice.leaving;
  update_leaving(notice.upstream, out);
  return true;
}

bool
upstream_tracker::set_state(const upstream_id& id, const engine_state& state, bool changing,
                            const moment& measured) {
  tracking& tracked = tracking_.at(id);
  if (tracked.state_known && measured.boot <= tracked.state_measured_at.boot) {
    return false;
  }
  upstream_state& it = upstreams_.at(id);
  const bool is_new = !tracked.state_known || it.state != state || it.changing != changing;
  tracked.state_known = true;
  tracked.state_measured_at = measured;
  it.state = state;
  it.changing = changing || (hooks_.change_ordered && hooks_.change_ordered(id));
  return is_new;
}

std::optional<upstream_notice>
upstream_tracker::on_report(const engine_report& report, action_list& out) {
  const auto found = upstreams_.find(report.upstream);
  if (found == upstreams_.end()) {
    return std::nullopt;
  }
  upstream_state& it = found->second;
  it.load = report.load;
  it.load_measured = report.measured;
  it.highest_fence = report.highest_fence;
  it.last_sequence = report.last_sequence;
  tracking& tracked = tracking_.at(report.upstream);
  // Another instance that polls this engine may already have forwarded an equally recent load.
  if (report.measured.boot - tracked.load_forwarded_at >= load_period_) {
    tracked.load_forwarded_at = report.measured.boot;
    unsent_loads_[report.upstream] = {};
  }
  if (set_state(report.upstream, report.state, report.changing, report.measured)) {
    unsent_states_[report.upstream] = {};
  }
  if (!tracked.gone || tracked.closing) {
    return std::nullopt;
  }
  tracked.gone = false;
  update_leaving(report.upstream, out);
  return upstream_notice{report.upstream, false};
}

void
upstream_tracker::on_cache(const cache_event& ev) {
  const auto found = upstreams_.find(ev.upstream);
  if (found == upstreams_.end() || ev.number <= found->second.last_cache_event) {
    return;
  }
  upstream_state& it = found->second;
  it.last_cache_event = ev.number;
  for (const auto block : ev.removed) {
    it.cached_blocks.erase(block);
  }
  it.cached_blocks.insert(ev.stored.begin(), ev.stored.end());
  // Removals may have been lost in a gap of events; drop arbitrary blocks until there are no more
  // than the engine has.
  const std::size_t max_blocks = it.load.total_blocks;
  while (max_blocks != 0 && it.cached_blocks.size() > max_blocks) {
    it.cached_blocks.erase(it.cached_blocks.begin());
  }
}

void
upstream_tracker::on_digest(const instance_id& from, const load_digest& digest, const moment& now) {
  for (const auto& entry : digest.entries) {
    const auto found = upstreams_.find(entry.upstream);
    const moment measured = now.after(-entry.age);
    if (found == upstreams_.end() || measured.boot <= found->second.load_measured.boot) {
      continue;
    }
    found->second.load = entry.load;
    found->second.load_measured = measured;
    tracking_.at(entry.upstream).load_forwarded_at = measured.boot;
    unsent_loads_[entry.upstream] = from;
  }
  for (const auto& entry : digest.states) {
    if (upstreams_.contains(entry.upstream) &&
        set_state(entry.upstream, entry.state, entry.changing, now.after(-entry.age))) {
      unsent_states_[entry.upstream] = from;
    }
  }
}

load_digest_entry
upstream_tracker::load_of(const upstream_id& id, const moment& now) const {
  const upstream_state& it = upstreams_.at(id);
  return {id, it.load, it.state.role, age_of(it.load_measured, now)};
}

engine_state_entry
upstream_tracker::state_of(const upstream_id& id, const moment& now) const {
  const upstream_state& it = upstreams_.at(id);
  return {id, it.state, it.changing, age_of(tracking_.at(id).state_measured_at, now)};
}

load_digest
upstream_tracker::updates_for(const instance_id& peer, bool loads, const moment& now) const {
  load_digest digest;
  for (const auto& [id, from] : unsent_loads_) {
    if (loads && from != peer) {
      digest.entries.push_back(load_of(id, now));
    }
  }
  for (const auto& [id, from] : unsent_states_) {
    if (from != peer) {
      digest.states.push_back(state_of(id, now));
    }
  }
  return digest;
}

load_digest
upstream_tracker::full_digest(const zone_id& zone, const moment& now) const {
  load_digest digest;
  for (const auto& [id, it] : upstreams_) {
    if (!tracking_.at(id).state_known) {
      continue;
    }
    digest.states.push_back(state_of(id, now));
    if (it.listed.zone == zone) {
      digest.entries.push_back(load_of(id, now));
    }
  }
  return digest;
}

void
upstream_tracker::mark_sent() {
  unsent_loads_.clear();
  unsent_states_.clear();
}

} // namespace nutmegspur
