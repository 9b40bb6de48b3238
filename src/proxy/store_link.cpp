// Reads, watches and single calls of the store.
#include "store_link.h"

#include <nutmegspur/json_reader.h>
#include <nutmegspur/records.h>

#include <algorithm>
#include <limits>

namespace nutmegspur::proxy {

namespace {

/// The store responds to a waiting watch after this time at the latest; after it and a margin
/// without a byte of a response, the connection is considered dead.
constexpr milliseconds watch_wait{1'000};
constexpr milliseconds watch_timeout{2'500};
/// Limit of the call that tells a watch that was cut from a store that does not serve this
/// instance.
constexpr milliseconds check_timeout{1'000};
/// Pause between two watch calls: upstreams' heartbeats arrive all the time, and each call is
/// billed. It delays changes by at most its length. It grows with the number of instances, so that
/// their total calls grow slowly, and stays below half of the time within which changes must
/// reach all instances.
constexpr milliseconds watch_pause{300};
constexpr milliseconds watch_pause_per_peer{20};
constexpr milliseconds max_watch_pause{1'500};
/// Pause between attempts while the store fails.
constexpr milliseconds retry_pause{300};
constexpr milliseconds read_timeout{1'500};
constexpr milliseconds tick_period{250};
/// Time in which a relay notices that the store was restored, and reads all keys again.
constexpr milliseconds relay_read_time{3'000};
/// Pause before the store is read again because a peer's content differs. It doubles while the
/// reads change nothing: the peer is wrong then, or runs another release.
constexpr milliseconds check_pause{5'000};
constexpr milliseconds max_check_pause{320'000};

std::optional<registered_instance>
parse_registration(const std::string& name, const std::string& value) {
  const auto object = parse_json_object(value, "instance");
  const auto peer =
      object ? parse_endpoint(object->value(QLatin1String("peer")).toString().toStdString())
             : std::nullopt;
  if (!peer) {
    return std::nullopt;
  }
  return registered_instance{instance_id{name}, *peer,
                             zone_id{object->value(QLatin1String("zone")).toString().toStdString()},
                             object->value(QLatin1String("started_ms")).toInteger()};
}

} // namespace

store_link::store_link(proxy_state& state, http1::http_client& client, hooks callbacks,
                       std::int64_t started_ms)
    : state_(state), calls_(state.loop, client, state.held), callbacks_(std::move(callbacks)),
      upstream_derivation_(state.wire.upstream_prefix(),
                           [this](const std::string& key, const std::string& value) {
                             return state_.wire.parse_upstream(key, value);
                           }),
      instance_changes_(std::string{instance_prefix}), holder_changes_(zone_lease_key(duties_zone)),
      check_pause_(check_pause),
      registration_(
          state,
          [this](const platform_request& request, reply_handler on_reply) {
            call({duty::membership, 0}, request, read_timeout, std::move(on_reply));
          },
          started_ms) {}

store_link::~store_link() {
  state_.loop.cancel(tick_timer_);
}

void
store_link::start() {
  tick_timer_ = state_.loop.every(tick_period, [this](const moment& now) { tick(now); });
  follow_active_ = true;
  read_all();
  registration_.start();
}

void
store_link::tick(const moment& now) {
  const auto gone = state_.upstreams.expire(now);
  for (const auto& id : gone) {
    state_.on_upstream_change(id, upstream_change::removed, "grace");
  }
  if (!gone.empty()) {
    log_unserved("grace");
  }
  state_.pauses.expire(now);
}

void
store_link::call(const call_id& id, const platform_request& request, milliseconds limit,
                 reply_handler on_reply) {
  call(id, request, call_limits{.all = limit}, std::move(on_reply));
}

void
store_link::call(const call_id& id, const platform_request& request, call_limits limits,
                 reply_handler on_reply) {
  limits.reply_bytes = max_store_reply_bytes;
  platform_request sent = request;
  remove_era(sent);
  calls_.send(state_.settings.store, state_.wire.store_call(sent), limits,
              [this, id, request, sent_in = era_.known(),
               notify = std::move(on_reply)](const call_outcome& ended) {
                platform_reply reply{id, kv_range_reply{}, ended.sent_at.boot};
                state_.metrics
                    .get_counter("nutmegspur_store_calls_total",
                                 {{"answered", ended.complete() ? "yes" : "no"}})
                    .add();
                if (ended.complete() && !check_era(sent_in, ended.fields)) {
                  reply.answer = fail({error_code::unavailable, step::platform_call, "store",
                                       "the store was restored during the call",
                                       nutmegspur::outcome::unknown});
                } else if (ended.complete()) {
                  reply.answer = state_.wire.parse_store_reply(request, ended.status, ended.body);
                  if (reply.answer) {
                    add_era(*reply.answer, era_.current());
                  }
                } else {
                  const bool unsent = ended.end == http1::call_end::unreachable;
                  reply.answer =
                      fail({error_code::unavailable, step::platform_call, "store",
                            unsent ? "no connection" : "no answer",
                            unsent ? nutmegspur::outcome::not_run : nutmegspur::outcome::unknown});
                }
                if (notify) {
                  notify(reply);
                }
              });
}

bool
store_link::check_era(std::optional<std::int64_t> sent_in, const http_fields& fields) {
  const auto verdict = era_.on_reply(sent_in, state_.wire.store_era(fields));
  if (verdict == store_era::verdict::restored) {
    on_restored("store");
  }
  return verdict == store_era::verdict::usable;
}

void
store_link::on_peer_era(std::int64_t era, const instance_id& peer) {
  if (era_.on_peer(era)) {
    on_restored("peer " + peer.value);
  }
}

void
store_link::on_restored(std::string_view source) {
  const moment now = http1::event_loop::now();
  restored_at_ = now.boot;
  log(log_event::store_restored, {{"era", std::to_string(era_.current())},
                                  {"source", std::string{source}},
                                  {"revision", std::to_string(number_of(replica_.position()))}});
  state_.upstreams.on_store_restored(now);
  registration_.on_restored();
  callbacks_.on_restored();
}

bool
store_link::era_settled(const moment& now) const {
  return now.boot - restored_at_ > relay_read_time;
}

void
store_link::set_reachable(bool now_reachable, std::string_view why) {
  if (now_reachable) {
    last_success_ = http1::event_loop::now().boot;
  }
  if (now_reachable == reachable_) {
    return;
  }
  reachable_ = now_reachable;
  state_.upstreams.set_store_reachable(http1::event_loop::now(), now_reachable);
  log(now_reachable ? log_event::platform_reachable : log_event::platform_unreachable,
      {{"peer", "store"},
       {"why", std::string{why}},
       {"revision", std::to_string(replica_.position().value)}});
}

void
store_link::schedule_retry() {
  state_.loop.once(retry_pause, [this](const moment&) {
    if (watching_ || !state_.upstreams_known) {
      read_all();
    } else {
      follow_active_ = false;
    }
  });
}

void
store_link::read_all() {
  constexpr int parts = 4;
  read_wanted_ = false;
  read_ = std::make_shared<full_read>();
  const read_ptr read = read_;
  read->open_parts = parts;
  read->read_at = revision{std::numeric_limits<std::int64_t>::max()};
  read_config(read);
  read_duties_holder(read);
  for (const auto& prefix : {state_.wire.upstream_prefix(), std::string{instance_prefix}}) {
    auto range = std::make_shared<range_read>();
    range->prefix = prefix;
    range->read_at = read->read_at;
    read_range(read, range, prefix);
  }
}

void
store_link::read_part(const read_ptr& read, const kv_range& what,
                      std::function<void(const kv_range_reply&)> on_reply) {
  call({duty::config, 0}, what, {.all = long_transfer, .progress = read_timeout},
       [this, read, notify = std::move(on_reply)](const platform_reply& reply) {
         if (read != read_) {
           return;
         }
         if (!reply.answer) {
           fail_full_read(reply.answer.error().message);
           return;
         }
         notify(std::get<kv_range_reply>(*reply.answer));
       });
}

void
store_link::read_config(const read_ptr& read) {
  read_part(read, {state_.wire.config_key(), ""}, [this, read](const kv_range_reply& reply) {
    if (!reply.pairs.empty()) {
      apply_config_value(reply.pairs.front().value, "read");
    }
    on_part_read(read, reply.store);
  });
}

void
store_link::read_duties_holder(const read_ptr& read) {
  const std::string key = zone_lease_key(duties_zone);
  read_part(read, {key, ""}, [this, read, key](const kv_range_reply& reply) {
    replica_.apply_page(reply.pairs, reply.store);
    if (reply.pairs.empty()) {
      replica_.apply_absence(key, {}, reply.store);
    }
    derive("read");
    on_part_read(read, reply.store);
  });
}

void
store_link::read_range(const read_ptr& read, const std::shared_ptr<range_read>& range,
                       const std::string& from) {
  read_part(read, {from, prefix_end(range->prefix)},
            [this, read, range](const kv_range_reply& reply) {
              for (const auto& it : reply.pairs) {
                range->present.insert(it.key);
              }
              range->read_at = std::min(range->read_at, reply.store);
              replica_.apply_page(reply.pairs, reply.store);
              if (reply.more && !reply.pairs.empty()) {
                read_range(read, range, reply.pairs.back().key + std::string(1, '\0'));
                return;
              }
              replica_.apply_absence(range->prefix, range->present, range->read_at);
              state_.upstreams_known =
                  state_.upstreams_known || range->prefix == state_.wire.upstream_prefix();
              derive("read");
              on_part_read(read, range->read_at);
            });
}

void
store_link::fail_full_read(std::string_view why) {
  read_.reset();
  set_reachable(false, why);
  schedule_retry();
}

void
store_link::on_part_read(const read_ptr& read, revision read_at) {
  read->read_at = std::min(read->read_at, read_at);
  if (--read->open_parts != 0) {
    return;
  }
  read_.reset();
  replica_.finish_read(read->read_at);
  if (replica_.content_hash() != contradicted_content_) {
    check_pause_ = check_pause;
  }
  set_reachable(true, "read");
  state_.upstreams.on_copy_position(replica_.position());
  if (vouches_from_ == time_point::max()) {
    vouches_from_ = http1::event_loop::now().boot + upstream_list::reregistration_grace;
  }
  confirm_removals();
  watch();
}

void
store_link::on_same_content(revision at) {
  replica_.on_same_content(at);
  state_.upstreams.on_copy_position(replica_.position());
}

void
store_link::check_content(revision at, std::uint64_t hash, const instance_id& peer) {
  const moment now = http1::event_loop::now();
  if (!reachable_ || now.boot < next_check_ || !replica_.contradicts(at, hash)) {
    return;
  }
  if (contradicted_content_ == replica_.content_hash()) {
    check_pause_ = std::min(check_pause_ * 2, max_check_pause);
  }
  contradicted_content_ = replica_.content_hash();
  next_check_ = now.boot + check_pause_;
  read_wanted_ = true;
  state_.metrics.get_counter("nutmegspur_store_contradictions_total").add();
  log(log_event::content_differs,
      {{"peer", peer.value}, {"revision", std::to_string(replica_.position().value)}});
}

void
store_link::watch() {
  if (!watching_) {
    follow_active_ = false;
    return;
  }
  // In a new era, the history that a watch would continue is gone.
  if (read_wanted_ || era_of(replica_.position()) != era_.current()) {
    read_all();
    return;
  }
  // One call watches everything: the keys of operators, upstreams and instances.
  const revision from = replica_.position();
  const revision after{number_of(from)};
  calls_.send(
      state_.settings.store, state_.wire.watch_call("", after, watch_wait),
      {.all = long_transfer, .progress = watch_timeout, .reply_bytes = max_store_reply_bytes},
      [this, from, sent_in = era_.known()](const call_outcome& ended) {
        if (ended.complete() && !check_era(sent_in, ended.fields)) {
          read_all();
          return;
        }
        if (ended.complete()) {
          on_watch(from, ended.status, ended.body);
          return;
        }
        if (ended.end == http1::call_end::broken) {
          check_store();
        } else {
          on_watch_failed("watch ended");
        }
      });
}

void
store_link::check_store() {
  call({duty::config, 0}, kv_range{zone_lease_key(duties_zone), ""},
       {.all = check_timeout, .new_connection = true}, [this](const platform_reply& reply) {
         if (!reply.answer) {
           on_watch_failed("watch cut, and " + reply.answer.error().message);
           return;
         }
         log(log_event::watch_cut);
         set_reachable(true, "check");
         state_.loop.once(retry_pause, [this](const moment&) { watch(); });
       });
}

void
store_link::on_watch_failed(const std::string& why) {
  set_reachable(false, why);
  state_.loop.once(retry_pause, [this](const moment&) { watch(); });
}

void
store_link::on_watch(revision after, int status, const std::string& body) {
  auto answer = state_.wire.parse_watch_reply(status, body);
  if (!answer) {
    on_watch_failed(answer.error().message);
    return;
  }
  if (answer->compacted) {
    log(log_event::history_lost, {{"revision", std::to_string(replica_.position().value)}});
    read_all();
    return;
  }
  set_reachable(true, "watch");
  std::vector<kv_change> changes;
  for (auto& it : answer->changes) {
    if (it.key == state_.wire.config_key() && it.value) {
      apply_config_value(*it.value, "watch");
    } else if (followed(it.key)) {
      it.created = store_position(era_.current(), it.created.value);
      it.modified = store_position(era_.current(), it.modified.value);
      changes.push_back(std::move(it));
    }
  }
  replica_.apply_changes(changes, after, store_position(era_.current(), answer->store.value));
  derive("watch");
  confirm_removals();
  const auto peers = static_cast<std::int64_t>(state_.live_peers);
  state_.loop.once(std::min(watch_pause + watch_pause_per_peer * peers, max_watch_pause),
                   [this](const moment&) { watch(); });
}

bool
store_link::followed(const std::string& key) const {
  return key.starts_with(state_.wire.upstream_prefix()) || key.starts_with(instance_prefix) ||
         key == zone_lease_key(duties_zone);
}

void
store_link::derive(std::string_view source) {
  const moment now = http1::event_loop::now();
  const auto upstreams = upstream_derivation_.step(now, replica_, state_.upstreams);
  state_.upstreams.on_copy_position(replica_.position());
  for (const auto& it : upstreams) {
    if (it.how == upstream_change::removed && vouches_for_removals(now)) {
      const std::string key = state_.wire.upstream_prefix() + it.id.value;
      state_.removals.add({it.id, replica_.revision_of(key),
                           state_.clock.agreed(now).wall + upstream_removals::shared_period});
    }
    if (it.unreadable) {
      log(log_event::upstream_unreadable, *it.unreadable, {{"upstream", it.id.value}});
    }
    state_.on_upstream_change(it.id, it.how, source);
  }
  if (!upstreams.empty()) {
    log_unserved(source);
  }
  for (const auto& key : instance_changes_.take(replica_)) {
    derive_instance(key);
  }
  for (const auto& key : holder_changes_.take(replica_)) {
    derive_duties_holder(key);
  }
}

bool
store_link::vouches_for_removals(const moment& now) const {
  return watching_ && reachable_ && now.boot >= vouches_from_ && !state_.upstreams.in_grace(now);
}

void
store_link::confirm_removals() {
  if (vouches_for_removals(http1::event_loop::now())) {
    state_.upstreams.confirm_removals(replica_.position());
  }
}

void
store_link::derive_instance(const std::string& key) {
  const std::string name = key.substr(instance_prefix.size());
  const auto* held = replica_.find(key);
  if (name == state_.settings.instance.value) {
    if (held == nullptr) {
      registration_.on_lapsed();
    }
    return;
  }
  if (held == nullptr) {
    callbacks_.on_instance({instance_id{name}, {}, {}, 0}, false);
    return;
  }
  const auto entry = parse_registration(name, held->value);
  if (!entry) {
    log(log_event::peer_rejected, {{"peer", name}, {"why", "its registration cannot be read"}});
    return;
  }
  callbacks_.on_instance(*entry, true);
}

void
store_link::derive_duties_holder(const std::string& key) {
  const auto* held = replica_.find(key);
  duties_holder_.reset();
  if (held != nullptr) {
    const auto lease = parse_zone_lease(held->value);
    if (!lease) {
      log(log_event::config_refused, lease.error());
      return;
    }
    duties_holder_ = lease->holder;
  }
  callbacks_.on_duties_holder(duties_holder_);
}

void
store_link::log_unserved(std::string_view source) {
  std::set<service_id> served;
  for (const auto* it : state_.upstreams.all()) {
    if (!it->leaving) {
      served.insert(it->service);
      unserved_.erase(it->service);
    }
  }
  for (const auto& it : served_) {
    if (!served.contains(it)) {
      unserved_.insert(it);
      log(log_event::service_unserved, {{"service", it.value},
                                        {"source", std::string{source}},
                                        {"revision", std::to_string(replica_.position().value)}});
    }
  }
  served_ = std::move(served);
  state_.metrics.get_gauge("nutmegspur_services_unserved")
      .set(static_cast<std::int64_t>(unserved_.size()));
}

void
store_link::apply_config_value(const std::string& value, std::string_view source) {
  auto config = state_.wire.parse_config(value);
  if (!config) {
    log(log_event::config_refused, config.error());
    return;
  }
  const std::int64_t version = config->version;
  if (state_.apply_config(std::move(*config), source)) {
    config_ = value;
    config_copy_.clear();
    config_version_ = version;
  }
}

void
store_link::set_watching(bool watching) {
  if (watching_ == watching) {
    return;
  }
  watching_ = watching;
  log(log_event::store_followed, {{"by", watching ? "watch" : "peer"},
                                  {"revision", std::to_string(replica_.position().value)}});
  if (watching_ && !follow_active_) {
    follow_active_ = true;
    watch();
  }
}

void
store_link::on_peer_state(bool store_reachable, std::string_view peer) {
  if (!watching_) {
    set_reachable(store_reachable, "as peer " + std::string{peer} + " says");
  }
}

const std::string&
store_link::config_copy(std::int64_t held) {
  static const std::string nothing_newer = pack_config_copy({});
  if (config_version_ <= held) {
    return nothing_newer;
  }
  if (config_copy_.empty()) {
    config_copy_ = pack_config_copy(config_);
  }
  return config_copy_;
}

void
store_link::apply_config_copy(const std::string& config, const instance_id& peer) {
  if (!config.empty()) {
    apply_config_value(config, "peer " + peer.value);
  }
}

void
store_link::apply_update(const store_update& from, const instance_id& peer) {
  const std::string source = "peer " + peer.value;
  apply_config_copy(from.config, peer);
  if (!replica_.apply_update(from.replica)) {
    return;
  }
  state_.upstreams.confirm_removals(from.final_through);
  state_.upstreams_known = true;
  derive(source);
}

store_update
store_link::update_since(const copy_position& from) const {
  store_update update;
  update.replica = replica_.update_since(from.store);
  update.config = config_version_ > from.config_version ? config_ : "";
  update.final_through = state_.upstreams.final_through();
  return update;
}

std::string
store_link::earlier_update_since(const copy_position& from) const {
  return pack_earlier_update(
      replica_, from.store, config_version_ > from.config_version ? config_ : "",
      state_.wire.upstream_prefix(), instance_prefix, duties_holder_ ? duties_holder_->value : "");
}

} // namespace nutmegspur::proxy
