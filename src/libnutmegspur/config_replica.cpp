// The configuration replica: reading, following, and passing on.
#include <nutmegspur/config_replica.h>
#include <nutmegspur/event_log.h>
#include <nutmegspur/mechanisms.h>

#include <algorithm>
#include <functional>

namespace nutmegspur {

namespace {

constexpr milliseconds heartbeat_period{1500};
// Sign of progress of the store (1 s), a heartbeat's period, and a message's way.
constexpr milliseconds source_deadline{2900};
// News of the store that are this much newer are passed on at once.
constexpr milliseconds pass_on_step{500};
constexpr milliseconds read_retry{400};
constexpr milliseconds pull_retry{700};
// A peer's snapshot is asked for once the store has had this long.
constexpr milliseconds store_head_start{800};
constexpr milliseconds snapshot_pause{500};
constexpr milliseconds relay_longest_wait{800};
constexpr seconds member_longest_wait{3};
constexpr seconds stale_warning{30};
// A change heard of is in force within this time, or the instance is not fit to serve.
constexpr seconds lag_limit{4};

double
spread_of(const instance_id& id) {
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
      watcher_(numbers_, {spread_of(options_.instance)}) {}

bool
config_replica::holds_all_heard_of() const {
  return state_.whole() && state_.at() >= peers_.highest();
}

void
config_replica::update_ready(const moment& now) {
  if (holds_all_heard_of()) {
    held_all_at_ = now.boot;
    ready_ = true;
  } else if (now.boot - held_all_at_ > lag_limit) {
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
  } else if (const auto* up = std::get_if<peer_connected>(&ev)) {
    peers_.connected(up->peer);
    send_heartbeat(now, up->peer, out);
  } else if (const auto* down = std::get_if<peer_disconnected>(&ev)) {
    peers_.disconnected(down->peer);
  } else if (const auto* received = std::get_if<peer_received>(&ev)) {
    on_peer(now, *received, out);
  }
  update_ready(now);
}

// -----------------------------------------------------------------------------------------------
// Time

void
config_replica::on_tick(const moment& now, action_list& out) {
  read_if_needed(now, out);
  const bool relay = hooks_.is_relay();
  const bool follow = state_.whole() && !reader_.active() && (relay || orphaned(now));
  // A watch that stands beside a whole reading goes on.
  if (!reader_.active()) {
    watcher_.keep(now, follow, state_.at(),
                  relay ? duration{relay_longest_wait} : duration{member_longest_wait}, out);
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
    ++counts_.failed_readings;
  }
  if (reader_.active() || (state_.whole() && !reread_)) {
    return;
  }
  if (!read_failed_ || now.boot - read_failed_at_ >= read_retry) {
    reader_.start(now, std::max(state_.at(), peers_.highest()), out);
  }
}

bool
config_replica::orphaned(const moment& now) const {
  return now.boot - peer_news_ > source_deadline;
}

bool
config_replica::feeds(const moment& now) const {
  return hooks_.is_relay() || passes_on() || watcher_.stands(now);
}

bool
config_replica::passes_on() const {
  return hooks_.passes_on && hooks_.passes_on();
}

void
config_replica::pull_if_behind(const moment& now, action_list& out) {
  const bool needs_whole = !state_.whole() || reread_;
  const bool store_had_its_turn = read_failed_ || now.boot - started_ >= store_head_start;
  if (needs_whole ? !store_had_its_turn : holds_all_heard_of()) {
    return;
  }
  const auto peer = peers_.next_to_ask(hooks_.sources(), state_.at(), now.boot - pull_retry);
  if (peer) {
    pull(now, *peer, out);
  }
}

void
config_replica::warn_if_stale(const moment& now, action_list& out) {
  if (!state_.whole() || stale_warned_ || now.boot - last_news_ < stale_warning) {
    return;
  }
  stale_warned_ = true;
  out.push_back(
      log_line(log_event::config_stale, {{"revision", std::to_string(state_.at().value)}}));
}

// -----------------------------------------------------------------------------------------------
// The store

void
config_replica::heard_from_store(const moment& now) {
  last_news_ = std::max(last_news_, now.boot);
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
    ++counts_.failed_readings;
    pull_if_behind(now, out);
  } else if (*whole) {
    on_reading(now, **whole, out);
  }
}

void
config_replica::on_reading(const moment& now, const config_reader::reading& whole,
                           action_list& out) {
  read_failed_ = false;
  const bool stale = state_.whole() && whole.at < state_.at();
  if (stale && enabled(mechanism::revision_only_grows)) {
    // Peers were faster than the reading; the watch goes on from what they brought.
    ++counts_.stale_reads;
    reread_ = false;
    return;
  }
  reread_ = false;
  ++counts_.whole_readings;
  note(state_.replace(whole.pairs, whole.at), "store", out);
  heard_from_store(now);
  on_tick(now, out);
}

void
config_replica::on_batch(const moment& now, const watch_batch& batch, action_list& out) {
  if (!watcher_.owns(batch.watch)) {
    return;
  }
  const revision upto = watcher_.on_batch(now, batch);
  apply(now, batch.changes, upto, "store", out);
  heard_from_store(now);
}

void
config_replica::on_ended(const moment& now, const watch_ended& ended, action_list& out) {
  if (!watcher_.owns(ended.watch)) {
    return;
  }
  watcher_.on_ended(now, ended);
  reread_ = reread_ || ended.compacted;
  on_tick(now, out);
}

// -----------------------------------------------------------------------------------------------
// Changes

void
config_replica::apply(const moment& /*now*/, std::vector<kv_change> changes, revision upto,
                      std::string_view source, action_list& out) {
  // Changes up to the last known one are all here, so receivers that are past it can go on.
  const revision from = std::max(state_.known_since(), state_.last_change());
  const config_effect effect = state_.apply(std::move(changes), upto);
  note(effect, source, out);
  if (state_.last_change() > from) {
    push(from, source, out);
  }
}

void
config_replica::note(const config_effect& effect, std::string_view source, action_list& out) {
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
  } else if (const auto* beat = std::get_if<config_heartbeat>(&from.message)) {
    on_heartbeat(now, from.peer, *beat, out);
  }
}

void
config_replica::on_heartbeat(const moment& now, const instance_id& peer,
                             const config_heartbeat& message, action_list& out) {
  peers_.on_heartbeat(peer, message);
  if (!state_.whole()) {
    return;
  }
  const bool same = state_.at() >= message.highest && state_.at() >= message.known_since;
  if (same) {
    // Nothing that the sender knows of is missing here: what it holds, this instance holds too.
    state_.apply({}, message.at);
    const time_point news = now.boot - message.age;
    if (news - peer_news_ > pass_on_step && passes_on()) {
      // Those that hear from this instance would else wait for its own period on top.
      last_heartbeats_ = {};
    }
    peer_news_ = std::max(peer_news_, news);
    last_news_ = std::max(last_news_, peer_news_);
    stale_warned_ = stale_warned_ && now.boot - last_news_ >= stale_warning;
    send_heartbeats(now, out);
  } else if (message.at > state_.at() && message.highest > state_.at()) {
    pull_if_behind(now, out);
  }
}

void
config_replica::on_pull(const moment& now, const instance_id& peer, const config_pull& message,
                        action_list& out) {
  if (!state_.whole()) {
    return;
  }
  config_peer& it = peers_.get(peer);
  if (message.since >= state_.at()) {
    send_heartbeat(now, peer, out);
    return;
  }
  const bool whole = message.since == revision{};
  const auto recent = whole ? std::nullopt : state_.changes_after(message.since);
  if (!recent && it.served_at && now.boot - *it.served_at < snapshot_pause) {
    return;
  }
  if (!recent) {
    it.served_at = now.boot;
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
    reread_ = false;
    ++counts_.whole_readings;
    note(state_.replace(whole->changes, whole->to), peer.value, out);
    return;
  }
  if (!state_.whole() || whole->from > state_.at()) {
    pull(now, peer, out);
    return;
  }
  apply(now, std::move(whole->changes), whole->to, peer.value, out);
}

void
config_replica::push(revision from, std::string_view except, action_list& out) {
  if (!hooks_.is_relay() && !passes_on() && except != "store") {
    return;
  }
  const auto recent = state_.changes_after(from);
  if (!recent) {
    return;
  }
  const auto pages = delta_pages(from, state_.at(), *recent);
  for (const auto& peer : hooks_.sources()) {
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
  peers_.get(peer).asked_at = now.boot;
  const bool needs_whole = !state_.whole() || reread_;
  out.push_back(send_to_peer{peer, config_pull{needs_whole ? revision{} : state_.at()}});
}

void
config_replica::send_heartbeat(const moment& now, const instance_id& peer, action_list& out) const {
  if (!state_.whole()) {
    return;
  }
  const auto age = std::chrono::duration_cast<milliseconds>(now.boot - last_news_);
  const revision highest = std::max(state_.last_change(), peers_.highest());
  out.push_back(
      send_to_peer{peer, config_heartbeat{state_.at(), highest, age, state_.known_since()}});
}

void
config_replica::send_heartbeats(const moment& now, action_list& out) {
  if (!feeds(now) || now.boot - last_heartbeats_ < heartbeat_period) {
    return;
  }
  last_heartbeats_ = now.boot;
  for (const auto& peer : hooks_.sources()) {
    if (peers_.has(peer)) {
      send_heartbeat(now, peer, out);
    }
  }
}

} // namespace nutmegspur
