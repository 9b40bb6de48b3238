// Signs and loads of upstreams, merged into the upstream table.
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
  signs& held = signs_[id];
  if (moved) {
    // Another process under the same name: what was said of the old one is void.
    held = {};
  }
  held.listed_leaving = it.leaving;
  set_signs(id, out);
}

void
upstream_tracker::remove(const upstream_id& id, action_list& out) {
  if (upstreams_.erase(id) != 0) {
    out.push_back(log_line(log_event::upstream_gone, id));
  }
  signs_.erase(id);
  fresh_loads_.erase(id);
  fresh_states_.erase(id);
}

void
upstream_tracker::set_signs(const upstream_id& id, action_list& out) {
  const signs& said = signs_.at(id);
  upstream_state& it = upstreams_.at(id);
  const bool leaving = said.listed_leaving || said.closing || said.gone;
  if (leaving && !it.leaving) {
    out.push_back(log_line(log_event::upstream_leaving, id));
  }
  if constexpr (enabled(mechanism::leaving_takes_no_work)) {
    it.leaving = leaving;
  }
}

void
upstream_tracker::refresh() {
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
upstream_tracker::on_closing(const upstream_closing& sign, action_list& out) {
  const auto it = signs_.find(sign.upstream);
  if (it == signs_.end()) {
    return std::nullopt;
  }
  const bool known = it->second.closing || it->second.gone;
  it->second.closing = it->second.closing || !sign.gone;
  it->second.gone = it->second.gone || sign.gone;
  set_signs(sign.upstream, out);
  if (known) {
    return std::nullopt;
  }
  return upstream_notice{sign.upstream, true};
}

bool
upstream_tracker::on_notice(const upstream_notice& notice, action_list& out) {
  const auto it = signs_.find(notice.upstream);
  if (it == signs_.end() || it->second.gone == notice.leaving || it->second.closing) {
    return false;
  }
  it->second.gone = notice.leaving;
  set_signs(notice.upstream, out);
  return true;
}

bool
upstream_tracker::set_state(const upstream_id& id, const engine_state& state, bool changing,
                            const moment& measured) {
  signs& said = signs_.at(id);
  if (said.state_known && measured.boot <= said.state_measured.boot) {
    return false;
  }
  upstream_state& it = upstreams_.at(id);
  const bool news = !said.state_known || it.state != state || it.changing != changing;
  said.state_known = true;
  said.state_measured = measured;
  it.state = state;
  it.changing = changing || (hooks_.change_ordered && hooks_.change_ordered(id));
  return news;
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
  signs& said = signs_.at(report.upstream);
  // Another reader may have passed on a load that is as new.
  if (report.measured.boot - said.load_shared >= refresh_) {
    said.load_shared = report.measured.boot;
    fresh_loads_[report.upstream] = {};
  }
  if (set_state(report.upstream, report.state, report.changing, report.measured)) {
    fresh_states_[report.upstream] = {};
  }
  if (!said.gone || said.closing) {
    return std::nullopt;
  }
  said.gone = false;
  set_signs(report.upstream, out);
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
  // Removals may have been lost in a gap: more blocks than the engine has cannot be true.
  const std::size_t most = it.load.total_blocks;
  while (most != 0 && it.cached_blocks.size() > most) {
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
    signs_.at(entry.upstream).load_shared = measured.boot;
    fresh_loads_[entry.upstream] = from;
  }
  for (const auto& entry : digest.states) {
    if (upstreams_.contains(entry.upstream) &&
        set_state(entry.upstream, entry.state, entry.changing, now.after(-entry.age))) {
      fresh_states_[entry.upstream] = from;
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
  return {id, it.state, it.changing, age_of(signs_.at(id).state_measured, now)};
}

load_digest
upstream_tracker::news_for(const instance_id& peer, bool loads, const moment& now) const {
  load_digest digest;
  for (const auto& [id, from] : fresh_loads_) {
    if (loads && from != peer) {
      digest.entries.push_back(load_of(id, now));
    }
  }
  for (const auto& [id, from] : fresh_states_) {
    if (from != peer) {
      digest.states.push_back(state_of(id, now));
    }
  }
  return digest;
}

load_digest
upstream_tracker::whole(const zone_id& zone, const moment& now) const {
  load_digest digest;
  for (const auto& [id, it] : upstreams_) {
    if (!signs_.at(id).state_known) {
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
upstream_tracker::sent() {
  fresh_loads_.clear();
  fresh_states_.clear();
}

} // namespace nutmegspur
