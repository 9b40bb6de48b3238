// Reads the configuration, follows its changes and forwards them to peers.
#include <nutmegspur/config_replica.h>
#include <nutmegspur/event_log.h>
#include <nutmegspur/mechanisms.h>

#include <algorithm>
#include <functional>

namespace nutmegspur {

namespace {

constexpr milliseconds heartbeat_period{1500};
// The store's progress notification period (1 s), plus the heartbeat period, plus the time of a
// message.
constexpr milliseconds peer_silence_limit{2900};
// A peer's heartbeat whose confirmation is newer by more than this is forwarded at once.
constexpr milliseconds forward_threshold{500};
constexpr milliseconds read_retry_interval{400};
constexpr milliseconds pull_retry_interval{700};
// A snapshot is requested from a peer only after the store has had this long to answer.
constexpr milliseconds store_only_period{800};
constexpr milliseconds min_snapshot_interval{500};
constexpr milliseconds relay_max_retry_wait{800};
constexpr seconds non_relay_max_retry_wait{3};
constexpr seconds stale_warning_age{30};
// If a change reported by peers is not in force within this time, the instance is not ready.
constexpr seconds readiness_lag_limit{4};

double
retry_jitter_of(const instance_id& id) {
  constexpr std::size_t steps = 1000;
  const auto part = static_cast<double>(std::hash<instance_id>{}(id) % steps) / steps;
  return 0.75 + part / 2;
}

write_log
log_line(log_event number, std::vector<std::pair<std::string, std::string>> fields) {
  return {number, std::move(fields)};
}

} // namespace

config_replica::config_replica(config_replica_options options, config_replica_hooks hooks)
    : options_(std::move(options)), hooks_(std::move(hooks)), reader_(numbers_),
      watcher_(numbers_, {retry_jitter_of(options_.instance)}) {}

bool
config_replica::is_caught_up() const {
  return state_.is_complete() && state_.at() >= peers_.highest();
}

void
config_replica::update_ready(const moment& now) {
  if (is_caught_up()) {
    caught_up_at_ = now.boot;
    ready_ = true;
  } else if (now.boot - caught_up_at_ > readiness_lag_limit) {
    ready_ = false;
  }
}

void
config_replica::step(const moment& now, const event& ev, action_list& out) {
  withdrawn_.clear();
  if (started_ == time_point{}) {
    started_ = now.boot;
  }
  if (std::holds_alternative<tick>(ev)) {
    on_tick(now, out);
  } else if (const auto* reply = std::get_if<platform_reply>(&ev)) {
    on_reply(now, *reply, out);
  } else if (const auto* batch = std::get_if<watch_batch>(&ev)) {
    on_batch(now, *batch, out);
  } else if (const auto* ended = std::get_if<watch_ended>(&ev)) {
    on_ended(now, *ended, out);
  } else if (const auto* connected_event = std::get_if<peer_connected>(&ev)) {
    peers_.connected(connected_event->peer);
    send_heartbeat(now, connected_event->peer, out);
  } else if (const auto* disconnected_event = std::get_if<peer_disconnected>(&ev)) {
    peers_.disconnected(disconnected_event->peer);
  } else if (const auto* received = std::get_if<peer_received>(&ev)) {
    on_peer(now, *received, out);
  }
  update_ready(now);
}

// -----------------------------------------------------------------------------------------------
// Timers

void
config_replica::on_tick(const moment& now, action_list& out) {
  read_if_needed(now, out);
  const bool relay = hooks_.is_relay();
  const bool wants_watch =
      state_.is_complete() && !reader_.active() && (relay || peers_are_silent(now));
  // During a full read an established watch stays open.
  if (!reader_.active()) {
    watcher_.maintain(now, wants_watch, state_.at(),
                      relay ? duration{relay_max_retry_wait} : duration{non_relay_max_retry_wait},
                      out);
  }
  pull_if_behind(now, out);
  send_heartbeats(now, out);
  warn_if_stale(now, out);
}

void
config_replica::read_if_needed(const moment& now, action_list& out) {
  if (reader_.overdue(now)) {
    reader_.stop();
    read_failed_ = true;
    read_failed_at_ = now.boot;
    ++counts_.failed_reads;
  }
  if (reader_.active() || (state_.is_complete() && !full_read_needed_)) {
    return;
  }
  if (!read_failed_ || now.boot - read_failed_at_ >= read_retry_interval) {
    reader_.start(now, std::max(state_.at(), peers_.highest()), out);
  }
}

bool
config_replica::peers_are_silent(const moment& now) const {
  return now.boot - confirmed_by_peers_ > peer_silence_limit;
}

bool
config_replica::sends_heartbeats(const moment& now) const {
  return hooks_.is_relay() || forwards_changes() || watcher_.has_live_watch(now);
}

bool
config_replica::forwards_changes() const {
  return hooks_.forwards_changes && hooks_.forwards_changes();
}

void
config_replica::pull_if_behind(const moment& now, action_list& out) {
  const bool needs_full_read = !state_.is_complete() || full_read_needed_;
  const bool store_period_over = read_failed_ || now.boot - started_ >= store_only_period;
  if (needs_full_read ? !store_period_over : is_caught_up()) {
    return;
  }
  const auto peer =
      peers_.next_pull_peer(hooks_.sync_peers(), state_.at(), now.boot - pull_retry_interval);
  if (peer) {
    pull(now, *peer, out);
  }
}

void
config_replica::warn_if_stale(const moment& now, action_list& out) {
  if (!state_.is_complete() || stale_warned_ || now.boot - last_confirmed_ < stale_warning_age) {
    return;
  }
  stale_warned_ = true;
  out.push_back(
      log_line(log_event::config_stale, {{"revision", std::to_string(state_.at().value)}}));
}

// -----------------------------------------------------------------------------------------------
// Store

void
config_replica::confirm_from_store(const moment& now) {
  last_confirmed_ = std::max(last_confirmed_, now.boot);
  stale_warned_ = false;
}

void
config_replica::on_reply(const moment& now, const platform_reply& reply, action_list& out) {
  if (reply.call.owner != duty::config) {
    return;
  }
  if (watcher_.owns(reply.call)) {
    watcher_.on_reply(now, reply, out);
    return;
  }
  if (!reader_.owns(reply)) {
    return;
  }
  auto whole = reader_.on_reply(now, reply, out);
  if (!whole) {
    read_failed_ = true;
    read_failed_at_ = now.boot;
    ++counts_.failed_reads;
    pull_if_behind(now, out);
  } else if (*whole) {
    on_full_read(now, **whole, out);
  }
}

void
config_replica::on_full_read(const moment& now, const config_reader::full_read& whole,
                             action_list& out) {
  read_failed_ = false;
  const bool stale = state_.is_complete() && whole.at < state_.at();
  if (stale && enabled(mechanism::revision_only_grows)) {
    // Peers delivered newer changes during the read; the watch continues from those.
    ++counts_.stale_reads;
    full_read_needed_ = false;
    return;
  }
  full_read_needed_ = false;
  ++counts_.full_reads;
  report(state_.replace(whole.pairs, whole.at), "store", out);
  confirm_from_store(now);
  on_tick(now, out);
}

void
config_replica::on_batch(const moment& now, const watch_batch& batch, action_list& out) {
  if (!watcher_.owns(batch.watch)) {
    return;
  }
  const revision upto = watcher_.on_batch(now, batch);
  apply(now, batch.changes, upto, "store", out);
  confirm_from_store(now);
}

void
config_replica::on_ended(const moment& now, const watch_ended& ended, action_list& out) {
  if (!watcher_.owns(ended.watch)) {
    return;
  }
  watcher_.on_ended(now, ended);
  full_read_needed_ = full_read_needed_ || ended.compacted;
  on_tick(now, out);
}

// -----------------------------------------------------------------------------------------------
// Changes

void
config_replica::apply(const moment& /*now*/, std::vector<kv_change> changes, revision upto,
                      std::string_view source, action_list& out) {
  // The pushed delta contains every change after `from`, so a peer can apply it if it holds every
  // change up to `from`.
  const revision from = std::max(state_.known_since(), state_.last_change());
  const config_apply_result effect = state_.apply(std::move(changes), upto);
  report(effect, source, out);
  if (state_.last_change() > from) {
    push(from, source, out);
  }
}

void
config_replica::report(const config_apply_result& effect, std::string_view source,
                       action_list& out) {
  counts_.changes_applied += effect.applied;
  counts_.changes_refused += effect.refused.size();
  for (const auto& it : effect.refused) {
    out.push_back(log_line(log_event::config_refused, {{"key", it.key}, {"why", it.why}}));
  }
  for (const auto& it : effect.withdrawn) {
    withdrawn_.push_back(it);
    out.push_back(log_line(log_event::key_withdrawn, {{"key", it.value}}));
  }
  if (effect.applied > 0) {
    out.push_back(
        log_line(log_event::config_applied, {{"revision", std::to_string(state_.at().value)},
                                             {"changes", std::to_string(effect.applied)},
                                             {"source", std::string{source}}}));
  }
}

// -----------------------------------------------------------------------------------------------
// Peers

void
config_replica::on_peer(const moment& now, const peer_received& from, action_list& out) {
  if (const auto* pulled = std::get_if<config_pull>(&from.message)) {
    on_pull(now, from.peer, *pulled, out);
  } else if (const auto* delta = std::get_if<config_delta>(&from.message)) {
    on_delta(now, from.peer, *delta, out);
  } else if (const auto* heartbeat = std::get_if<config_heartbeat>(&from.message)) {
    on_heartbeat(now, from.peer, *heartbeat, out);
  }
}

void
config_replica::on_heartbeat(const moment& now, const instance_id& peer,
                             const config_heartbeat& message, action_list& out) {
  peers_.on_heartbeat(peer, message);
  if (!state_.is_complete()) {
    return;
  }
  const bool covers_sender = state_.at() >= message.highest && state_.at() >= message.known_since;
  if (covers_sender) {
    // No change that the sender knows of is missing here, so this instance is complete up to the
    // sender's revision too.
    state_.apply({}, message.at);
    const time_point confirmed = now.boot - message.age;
    if (confirmed - confirmed_by_peers_ > forward_threshold && forwards_changes()) {
      // Resets the timer, so that the peers that depend on this instance need not wait for its
      // heartbeat period in addition.
      heartbeats_sent_at_ = {};
    }
    confirmed_by_peers_ = std::max(confirmed_by_peers_, confirmed);
    last_confirmed_ = std::max(last_confirmed_, confirmed_by_peers_);
    stale_warned_ = stale_warned_ && now.boot - last_confirmed_ >= stale_warning_age;
    send_heartbeats(now, out);
  } else if (message.at > state_.at() && message.highest > state_.at()) {
    pull_if_behind(now, out);
  }
}

void
config_replica::on_pull(const moment& now, const instance_id& peer, const config_pull& message,
                        action_list& out) {
  if (!state_.is_complete()) {
    return;
  }
  config_peer& it = peers_.get(peer);
  if (message.since >= state_.at()) {
    send_heartbeat(now, peer, out);
    return;
  }
  const bool wants_snapshot = message.since == revision{};
  const auto recent = wants_snapshot ? std::nullopt : state_.changes_after(message.since);
  if (!recent && it.snapshot_sent_at && now.boot - *it.snapshot_sent_at < min_snapshot_interval) {
    return;
  }
  if (!recent) {
    it.snapshot_sent_at = now.boot;
  }
  const revision from = recent ? message.since : revision{};
  for (auto& page : delta_pages(from, state_.at(), recent ? *recent : state_.all())) {
    out.push_back(send_to_peer{peer, std::move(page)});
  }
  send_heartbeat(now, peer, out);
}

void
config_replica::on_delta(const moment& now, const instance_id& peer, const config_delta& message,
                         action_list& out) {
  auto whole = peers_.get(peer).incoming.add(message);
  if (!whole) {
    return;
  }
  if (whole->to <= state_.at() && enabled(mechanism::revision_only_grows)) {
    ++counts_.stale_reads;
    return;
  }
  if (whole->from == revision{}) {
    full_read_needed_ = false;
    ++counts_.full_reads;
    report(state_.replace(whole->changes, whole->to), peer.value, out);
    return;
  }
  if (!state_.is_complete() || whole->from > state_.at()) {
    pull(now, peer, out);
    return;
  }
  apply(now, std::move(whole->changes), whole->to, peer.value, out);
}

void
config_replica::push(revision from, std::string_view except, action_list& out) {
  if (!hooks_.is_relay() && !forwards_changes() && except != "store") {
    return;
  }
  const auto recent = state_.changes_after(from);
  if (!recent) {
    return;
  }
  const auto pages = delta_pages(from, state_.at(), *recent);
  for (const auto& peer : hooks_.sync_peers()) {
    if (peer.value == except || !peers_.has(peer)) {
      continue;
    }
    for (const auto& page : pages) {
      out.push_back(send_to_peer{peer, page});
    }
  }
}

void
config_replica::pull(const moment& now, const instance_id& peer, action_list& out) {
  peers_.get(peer).pulled_at = now.boot;
  const bool needs_full_read = !state_.is_complete() || full_read_needed_;
  out.push_back(send_to_peer{peer, config_pull{needs_full_read ? revision{} : state_.at()}});
}

void
config_replica::send_heartbeat(const moment& now, const instance_id& peer, action_list& out) const {
  if (!state_.is_complete()) {
    return;
  }
  const auto age = std::chrono::duration_cast<milliseconds>(now.boot - last_confirmed_);
  const revision highest = std::max(state_.last_change(), peers_.highest());
  out.push_back(
      send_to_peer{peer, config_heartbeat{state_.at(), highest, age, state_.known_since()}});
}

void
config_replica::send_heartbeats(const moment& now, action_list& out) {
  if (!sends_heartbeats(now) || now.boot - heartbeats_sent_at_ < heartbeat_period) {
    return;
  }
  heartbeats_sent_at_ = now.boot;
  for (const auto& peer : hooks_.sync_peers()) {
    if (peers_.has(peer)) {
      send_heartbeat(now, peer, out);
    }
  }
}

} // namespace nutmegspur
