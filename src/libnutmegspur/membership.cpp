// Membership: event handling, the instance list, heartbeats and forwarding to peers. Connections
// and polled engines are in membership_peers.cpp.
#include <nutmegspur/event_log.h>
#include <nutmegspur/membership.h>

#include <algorithm>

namespace nutmegspur {

namespace {

// Consecutive heartbeats with a list hash that differs from the update source's, after which the
// full list is requested.
constexpr int mismatch_limit = 3;
// How long an instance waits for its first list before it may act as a relay without one.
constexpr milliseconds first_list_timeout{5'000};

} // namespace

membership::membership(membership_options options, upstream_tracker_hooks hooks)
    : options_(std::move(options)),
      members_({options_.instance, options_.zone, 0, false, options_.address, options_.port}),
      tracker_(std::move(hooks)) {}

void
membership::step(const moment& now, const event& ev, action_list& out) {
  if (!started_at_) {
    started_at_ = now.boot;
    members_.advance_heartbeat(now);
  }
  if (!handle(now, ev, out)) {
    return;
  }
  send_member_changes(out);
  update_peers_and_polling(now, out);
}

bool
membership::handle(const moment& now, const event& ev, action_list& out) {
  std::optional<upstream_notice> notice;
  if (std::holds_alternative<tick>(ev)) {
    on_tick(now, out);
  } else if (const auto* opened = std::get_if<peer_connected>(&ev)) {
    on_connected(now, *opened, out);
  } else if (const auto* lost = std::get_if<peer_disconnected>(&ev)) {
    neighbours_.erase(lost->peer);
  } else if (const auto* reply = std::get_if<platform_reply>(&ev)) {
    on_list_reply(now, *reply, out);
  } else if (const auto* message = std::get_if<peer_received>(&ev)) {
    on_peer(now, *message, out);
  } else if (const auto* closing = std::get_if<upstream_closing>(&ev)) {
    notice = tracker_.on_closing(*closing, out);
  } else if (const auto* report = std::get_if<engine_report>(&ev)) {
    notice = tracker_.on_report(*report, out);
  } else if (const auto* cached = std::get_if<cache_event>(&ev)) {
    tracker_.on_cache(*cached);
  } else if (std::holds_alternative<stop_requested>(ev)) {
    on_stop(now, out);
  } else {
    return false;
  }
  if (notice) {
    broadcast(*notice, {}, out);
  }
  return true;
}

std::optional<std::size_t>
membership::rank() const {
  const auto& ring = members_.ring(options_.zone);
  const auto it = std::find(ring.begin(), ring.end(), options_.instance);
  if (it == ring.end()) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(it - ring.begin());
}

bool
membership::is_relay() const {
  const bool knows_zone = !view_.all().empty() || first_list_wait_ended_;
  const auto own_rank = rank();
  return knows_zone && own_rank && *own_rank < relay_count;
}

std::vector<instance_id>
membership::relays(const zone_id& zone) const {
  std::vector<instance_id> ids = members_.ring(zone);
  ids.resize(std::min(ids.size(), relay_count));
  return ids;
}

std::vector<instance_id>
membership::neighbours() const {
  std::vector<instance_id> ids;
  for (const auto& [id, it] : neighbours_) {
    ids.push_back(id);
  }
  return ids;
}

bool
membership::has_subscribers() const {
  return std::any_of(neighbours_.begin(), neighbours_.end(),
                     [](const auto& it) { return it.second.subscribed; });
}

// ---------------------------------------------------------------------------------------------
// Periodic work and shutdown

void
membership::on_tick(const moment& now, action_list& out) {
  const bool paused = last_tick_ && now.boot - *last_tick_ > self_pause_threshold;
  last_tick_ = now.boot;
  if (paused) {
    // While paused, this process received nothing; the peers were not silent.
    members_.reset_contact_times(now.boot);
    expected_since_.clear();
  }
  first_list_wait_ended_ = first_list_wait_ended_ || now.boot - *started_at_ >= first_list_timeout;
  members_.end_expired_exclusions(now.boot);
  tracker_.refresh_drains_and_changes();
  detect_silent_neighbours(now);
  request_list_if_due(now, out);
  if (now.boot - last_heartbeat_ >= member_heartbeat_period) {
    last_heartbeat_ = now.boot;
    members_.advance_heartbeat(now);
    members_.prune(now.boot);
    connections_due_ = true;
    send_heartbeats(out);
  }
  if (now.boot - last_loads_ >= load_forward_period) {
    last_loads_ = now.boot;
    send_loads(now, out);
  }
}

void
membership::on_stop(const moment& now, action_list& out) {
  if (members_.self().leaving) {
    return;
  }
  connections_while_leaving_ = desired_connections(now.boot);
  members_.leave();
  members_.advance_heartbeat(now);
  send_heartbeats(out);
}

// ---------------------------------------------------------------------------------------------
// The instance list

void
membership::request_list_if_due(const moment& now, action_list& out) {
  if (list_call_ || members_.self().leaving) {
    return;
  }
  const bool no_list_yet = view_.all().empty();
  if (!no_list_yet && !is_relay() && update_source()) {
    return;
  }
  const duration period = no_list_yet || is_relay() ? list_period : list_period_without_source;
  if (list_requested_at_ && now.boot - *list_requested_at_ < period) {
    return;
  }
  list_requested_at_ = now.boot;
  list_call_ = numbers_.next();
  out.push_back(call_platform{*list_call_, list_instances{}});
}

void
membership::on_list_reply(const moment& now, const platform_reply& reply, action_list& out) {
  if (reply.call != list_call_) {
    return;
  }
  list_call_.reset();
  if (!reply.answer) {
    return;
  }
  if (const auto* list = std::get_if<instances_reply>(&*reply.answer)) {
    list_read_at_ = now.boot;
    apply_list_change(now, view_.replace(list->instances), out);
  }
}

void
membership::on_list_update(const moment& now, const instance_id& from,
                           const instance_list_update& update, action_list& out) {
  // A relay uses its own reads as long as they succeed.
  const bool own_reading_is_fresh =
      is_relay() && list_read_at_ && now.boot - *list_read_at_ < 3 * list_period;
  if (own_reading_is_fresh || update_source() != from) {
    return;
  }
  apply_list_change(now, view_.apply(update), out);
}

void
membership::apply_list_change(const moment& now, const view_change& change, action_list& out) {
  if (change.empty()) {
    return;
  }
  for (const auto& it : change.changed) {
    if (it.kind == instance_kind::entry) {
      members_.on_listed(it, now.boot);
    }
  }
  for (const auto& it : change.removed) {
    // A connected instance is running, whatever the list says.
    const instance_id id{it.name};
    if (it.kind == instance_kind::entry) {
      members_.on_unlisted(id, neighbours_.contains(id));
    }
  }
  tracker_.on_list(change, out);
  update_load_period();
  view_changed_ = true;
  for (const auto& [id, it] : neighbours_) {
    if (it.subscribed) {
      out.push_back(send_to_peer{id, to_update(change)});
    }
  }
}

// ---------------------------------------------------------------------------------------------
// Messages to and from peers

void
membership::on_connected(const moment& now, const peer_connected& ev, action_list& out) {
  neighbours_[ev.peer] = {ev.zone};
  // Adds the peer if it is not known yet. The state of a known member changes only by its digests.
  members_.merge({ev.peer, ev.zone, 0}, now.boot);
  members_.record_contact(ev.peer, now.boot);
  std::vector<member_entry> entries{members_.self()};
  if (ev.zone == options_.zone) {
    for (const auto& [id, it] : members_.all()) {
      if (it.entry.zone == options_.zone && id != options_.instance && it.entry.heartbeat != 0) {
        entries.push_back(it.entry);
      }
    }
  } else {
    out.push_back(send_to_peer{ev.peer, tracker_.full_digest(options_.zone, now)});
  }
  out.push_back(send_to_peer{ev.peer, make_digest(std::move(entries), ev.peer)});
}

void
membership::on_peer(const moment& now, const peer_received& from, action_list& out) {
  members_.record_contact(from.peer, now.boot);
  if (const auto* digest = std::get_if<member_digest>(&from.message)) {
    on_digest(now, from.peer, *digest, out);
  } else if (const auto* update = std::get_if<instance_list_update>(&from.message)) {
    on_list_update(now, from.peer, *update, out);
  } else if (std::holds_alternative<instance_list_pull>(from.message)) {
    send_full_list(from.peer, out);
  } else if (const auto* loads = std::get_if<load_digest>(&from.message)) {
    tracker_.on_digest(from.peer, *loads, now);
  } else if (const auto* notice = std::get_if<upstream_notice>(&from.message)) {
    // Numbered notices and acknowledgements belong to a planned change and are not forwarded.
    const bool is_planned_change = notice->number != 0 || notice->acknowledges;
    if (!is_planned_change && tracker_.on_notice(*notice, out)) {
      broadcast(*notice, from.peer, out);
    }
  }
}

void
membership::on_digest(const moment& now, const instance_id& from, const member_digest& digest,
                      action_list& out) {
  for (const auto& it : digest.entries) {
    if (it.instance == options_.instance && it.presumed_dead) {
      // This instance was wrongly presumed dead. Its next heartbeat is greater than the one that
      // the peers hold, and restores it.
      members_.advance_heartbeat(now);
      note_change(it.instance, {});
    } else if (members_.merge(it, now.boot)) {
      note_change(it.instance, from);
    }
  }
  const auto found = neighbours_.find(from);
  if (found == neighbours_.end()) {
    return;
  }
  neighbour& it = found->second;
  it.list_hash = digest.list_hash;
  const bool newly_subscribed = digest.subscribes && !it.subscribed;
  it.subscribed = digest.subscribes;
  if (newly_subscribed) {
    if (digest.list_hash != view_.hash()) {
      send_full_list(from, out);
    }
    out.push_back(send_to_peer{from, tracker_.full_digest(options_.zone, now)});
  }
  it.mismatches = digest.list_hash == view_.hash() ? 0 : it.mismatches + 1;
  if (update_source() == from && !is_relay() && it.mismatches >= mismatch_limit) {
    it.mismatches = 0;
    out.push_back(send_to_peer{from, instance_list_pull{}});
  }
}

void
membership::send_full_list(const instance_id& to, action_list& out) const {
  // An instance without a list must not cause a peer to clear its own.
  if (!view_.all().empty()) {
    out.push_back(send_to_peer{to, view_.full_update()});
  }
}

void
membership::note_change(const instance_id& id, const instance_id& from) {
  changed_members_[id] = from;
}

member_digest
membership::make_digest(std::vector<member_entry> entries, const instance_id& to) const {
  return {std::move(entries), view_.hash(), update_source() == to};
}

void
membership::send_member_changes(action_list& out) {
  if (changed_members_.empty()) {
    return;
  }
  for (const auto& [peer, it] : neighbours_) {
    std::vector<member_entry> entries;
    for (const auto& [id, from] : changed_members_) {
      const member* one = members_.find(id);
      if (one != nullptr && from != peer && id != peer) {
        entries.push_back(one->entry);
      }
    }
    if (!entries.empty()) {
      out.push_back(send_to_peer{peer, make_digest(std::move(entries), peer)});
    }
  }
  changed_members_.clear();
}

void
membership::send_heartbeats(action_list& out) {
  for (const auto& [peer, it] : neighbours_) {
    out.push_back(send_to_peer{peer, make_digest({members_.self()}, peer)});
  }
}

void
membership::update_load_period() {
  const auto engines =
      std::count_if(view_.all().begin(), view_.all().end(), [this](const auto& it) {
        return it.second.kind == instance_kind::engine && it.second.zone == options_.zone;
      });
  const auto period = seconds{engines} / static_cast<double>(zone_load_updates_per_second);
  tracker_.set_load_period(
      std::max<duration>(min_load_period, std::chrono::duration_cast<duration>(period)));
}

void
membership::send_loads(const moment& now, action_list& out) {
  const auto source = update_source();
  for (const auto& [peer, it] : neighbours_) {
    const bool is_tree_link = it.subscribed || source == peer;
    const bool other_zone = it.zone != options_.zone;
    if (!is_tree_link && !other_zone) {
      continue;
    }
    load_digest digest = tracker_.updates_for(peer, is_tree_link, now);
    if (!digest.entries.empty() || !digest.states.empty()) {
      out.push_back(send_to_peer{peer, std::move(digest)});
    }
  }
  tracker_.mark_sent();
}

void
membership::broadcast(const upstream_notice& notice, const instance_id& except,
                      action_list& out) const {
  for (const auto& [peer, it] : neighbours_) {
    if (peer != except) {
      out.push_back(send_to_peer{peer, notice});
    }
  }
}

} // namespace nutmegspur
