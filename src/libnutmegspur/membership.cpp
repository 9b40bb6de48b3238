// Membership: events, the instance list and what is passed on.
#include <nutmegspur/event_log.h>
#include <nutmegspur/membership.h>

#include <algorithm>

namespace nutmegspur {

namespace {

// Heartbeats in a row with a list other than the feed's before the whole list is asked for.
constexpr int differs_limit = 3;
// How long an instance waits for its first list before it counts itself as alone.
constexpr milliseconds first_list_limit{5'000};

} // namespace

membership::membership(membership_options options, upstream_tracker_hooks hooks)
    : options_(std::move(options)),
      members_({options_.instance, options_.zone, 0, false, options_.address, options_.port}),
      tracker_(std::move(hooks)) {}

void
membership::step(const moment& now, const event& ev, action_list& out) {
  if (!started_) {
    started_ = now.boot;
    members_.beat(now);
  }
  if (!take(now, ev, out)) {
    return;
  }
  flush_changes(out);
  settle(now, out);
}

bool
membership::take(const moment& now, const event& ev, action_list& out) {
  std::optional<upstream_notice> notice;
  if (std::holds_alternative<tick>(ev)) {
    on_tick(now, out);
  } else if (const auto* opened = std::get_if<peer_connected>(&ev)) {
    on_connected(now, *opened, out);
  } else if (const auto* lost = std::get_if<peer_disconnected>(&ev)) {
    neighbours_.erase(lost->peer);
  } else if (const auto* reply = std::get_if<platform_reply>(&ev)) {
    on_reply(now, *reply, out);
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
    spread(*notice, {}, out);
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
  const bool knows_zone = !view_.all().empty() || patience_over_;
  const auto place = rank();
  return knows_zone && place && *place < relay_count;
}

std::vector<instance_id>
membership::relays(const zone_id& zone) const {
  std::vector<instance_id> first = members_.ring(zone);
  first.resize(std::min(first.size(), relay_count));
  return first;
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
membership::feeds_others() const {
  return std::any_of(neighbours_.begin(), neighbours_.end(),
                     [](const auto& it) { return it.second.feeds_from_us; });
}

// ---------------------------------------------------------------------------------------------
// Time

void
membership::on_tick(const moment& now, action_list& out) {
  const bool paused = last_tick_ && now.boot - *last_tick_ > own_pause_limit;
  last_tick_ = now.boot;
  if (paused) {
    // The others' silence is our own.
    members_.forgive(now.boot);
    expected_since_.clear();
  }
  patience_over_ = patience_over_ || now.boot - *started_ >= first_list_limit;
  members_.end_avoidance(now.boot);
  tracker_.refresh();
  watch_neighbours(now);
  read_list_if_due(now, out);
  if (now.boot - last_heartbeat_ >= member_heartbeat_period) {
    last_heartbeat_ = now.boot;
    members_.beat(now);
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
  kept_ = wanted(now.boot);
  members_.leave();
  members_.beat(now);
  send_heartbeats(out);
}

// ---------------------------------------------------------------------------------------------
// The instance list

void
membership::read_list_if_due(const moment& now, action_list& out) {
  if (list_call_ || members_.self().leaving) {
    return;
  }
  const bool first = view_.all().empty();
  if (!first && !is_relay() && feed()) {
    return;
  }
  const duration period = first || is_relay() ? list_period : orphan_list_period;
  if (asked_at_ && now.boot - *asked_at_ < period) {
    return;
  }
  asked_at_ = now.boot;
  list_call_ = numbers_.next();
  out.push_back(call_platform{*list_call_, list_instances{}});
}

void
membership::on_reply(const moment& now, const platform_reply& reply, action_list& out) {
  if (reply.call != list_call_) {
    return;
  }
  list_call_.reset();
  if (!reply.answer) {
    return;
  }
  if (const auto* list = std::get_if<instances_reply>(&*reply.answer)) {
    listed_at_ = now.boot;
    take_list(now, view_.replace(list->instances), out);
  }
}

void
membership::on_update(const moment& now, const instance_id& from, const listed_update& update,
                      action_list& out) {
  // A relay goes by its own readings while they come.
  const bool own_is_fresh = is_relay() && listed_at_ && now.boot - *listed_at_ < 3 * list_period;
  if (own_is_fresh || feed() != from) {
    return;
  }
  take_list(now, view_.apply(update), out);
}

void
membership::take_list(const moment& now, const view_change& change, action_list& out) {
  if (change.empty()) {
    return;
  }
  for (const auto& it : change.changed) {
    if (it.kind == instance_kind::entry) {
      members_.on_listed(it, now.boot);
    }
  }
  for (const auto& it : change.removed) {
    // One that still talks to us is there, whatever the list says.
    const instance_id id{it.name};
    if (it.kind == instance_kind::entry) {
      members_.on_unlisted(id, neighbours_.contains(id));
    }
  }
  tracker_.on_list(change, out);
  set_load_period();
  view_changed_ = true;
  for (const auto& [id, it] : neighbours_) {
    if (it.feeds_from_us) {
      out.push_back(send_to_peer{id, to_update(change)});
    }
  }
}

// ---------------------------------------------------------------------------------------------
// Peers

void
membership::on_connected(const moment& now, const peer_connected& ev, action_list& out) {
  neighbours_[ev.peer] = {ev.zone};
  // It may not be on the list yet, or may have been given up.
  members_.merge({ev.peer, ev.zone, 0}, now.boot);
  members_.heard(ev.peer, now.boot);
  std::vector<member_entry> entries{members_.self()};
  if (ev.zone == options_.zone) {
    for (const auto& [id, it] : members_.all()) {
      if (it.entry.zone == options_.zone && id != options_.instance && it.entry.heartbeat != 0) {
        entries.push_back(it.entry);
      }
    }
  } else {
    out.push_back(send_to_peer{ev.peer, tracker_.whole(options_.zone, now)});
  }
  out.push_back(send_to_peer{ev.peer, digest_of(std::move(entries), ev.peer)});
}

void
membership::on_peer(const moment& now, const peer_received& from, action_list& out) {
  members_.heard(from.peer, now.boot);
  if (const auto* digest = std::get_if<member_digest>(&from.message)) {
    on_digest(now, from.peer, *digest, out);
  } else if (const auto* update = std::get_if<listed_update>(&from.message)) {
    on_update(now, from.peer, *update, out);
  } else if (std::holds_alternative<listed_pull>(from.message)) {
    send_whole(from.peer, out);
  } else if (const auto* loads = std::get_if<load_digest>(&from.message)) {
    tracker_.on_digest(from.peer, *loads, now);
  } else if (const auto* notice = std::get_if<upstream_notice>(&from.message)) {
    // Numbered ones are of a planned change and are not passed on.
    const bool of_change = notice->number != 0 || notice->acknowledges;
    if (!of_change && tracker_.on_notice(*notice, out)) {
      spread(*notice, from.peer, out);
    }
  }
}

void
membership::on_digest(const moment& now, const instance_id& from, const member_digest& digest,
                      action_list& out) {
  for (const auto& it : digest.entries) {
    if (it.instance == options_.instance && it.gone) {
      // Given up by mistake: the next heartbeat is greater than what they hold.
      members_.beat(now);
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
  it.view = digest.view;
  const bool begins = digest.feed && !it.feeds_from_us;
  it.feeds_from_us = digest.feed;
  if (begins) {
    if (digest.view != view_.hash()) {
      send_whole(from, out);
    }
    out.push_back(send_to_peer{from, tracker_.whole(options_.zone, now)});
  }
  it.differs = digest.view == view_.hash() ? 0 : it.differs + 1;
  if (feed() == from && !is_relay() && it.differs >= differs_limit) {
    it.differs = 0;
    out.push_back(send_to_peer{from, listed_pull{}});
  }
}

void
membership::send_whole(const instance_id& to, action_list& out) const {
  // An instance that has no list yet must not empty another's.
  if (!view_.all().empty()) {
    out.push_back(send_to_peer{to, view_.whole()});
  }
}

void
membership::note_change(const instance_id& id, const instance_id& from) {
  changes_[id] = from;
}

member_digest
membership::digest_of(std::vector<member_entry> entries, const instance_id& to) const {
  return {std::move(entries), view_.hash(), feed() == to};
}

void
membership::flush_changes(action_list& out) {
  if (changes_.empty()) {
    return;
  }
  for (const auto& [peer, it] : neighbours_) {
    std::vector<member_entry> entries;
    for (const auto& [id, from] : changes_) {
      const member* one = members_.find(id);
      if (one != nullptr && from != peer && id != peer) {
        entries.push_back(one->entry);
      }
    }
    if (!entries.empty()) {
      out.push_back(send_to_peer{peer, digest_of(std::move(entries), peer)});
    }
  }
  changes_.clear();
}

void
membership::send_heartbeats(action_list& out) {
  for (const auto& [peer, it] : neighbours_) {
    out.push_back(send_to_peer{peer, digest_of({members_.self()}, peer)});
  }
}

void
membership::set_load_period() {
  const auto engines =
      std::count_if(view_.all().begin(), view_.all().end(), [this](const auto& it) {
        return it.second.kind == instance_kind::engine && it.second.zone == options_.zone;
      });
  const auto period = seconds{engines} / static_cast<double>(zone_loads_per_second);
  tracker_.set_refresh(
      std::max<duration>(least_load_period, std::chrono::duration_cast<duration>(period)));
}

void
membership::send_loads(const moment& now, action_list& out) {
  const auto above = feed();
  for (const auto& [peer, it] : neighbours_) {
    const bool of_tree = it.feeds_from_us || above == peer;
    const bool other_zone = it.zone != options_.zone;
    if (!of_tree && !other_zone) {
      continue;
    }
    load_digest digest = tracker_.news_for(peer, of_tree, now);
    if (!digest.entries.empty() || !digest.states.empty()) {
      out.push_back(send_to_peer{peer, std::move(digest)});
    }
  }
  tracker_.sent();
}

void
membership::spread(const upstream_notice& notice, const instance_id& except,
                   action_list& out) const {
  for (const auto& [peer, it] : neighbours_) {
    if (peer != except) {
      out.push_back(send_to_peer{peer, notice});
    }
  }
}

} // namespace nutmegspur
