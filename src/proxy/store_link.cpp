// Reads, watches and single calls of the store.
#include "store_link.h"

#include <nutmegspur/hashing.h>
#include <nutmegspur/json_reader.h>
#include <nutmegspur/records.h>

#include <algorithm>
#include <set>

namespace nutmegspur::proxy {

namespace {

/// The store responds to a waiting watch after this time at the latest; after it and a margin
/// without a response, the connection is considered dead.
constexpr milliseconds watch_wait{1'000};
constexpr milliseconds watch_timeout{2'500};
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
    : state_(state), calls_(state.loop, client), callbacks_(std::move(callbacks)),
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
  on_upstreams_removed(state_.upstreams.expire(now), "grace");
  state_.pauses.expire(now);
}

void
store_link::on_upstreams_removed(const std::vector<upstream_id>& gone, std::string_view source) {
  for (const auto& id : gone) {
    copy_.upstreams.erase(state_.wire.upstream_prefix() + id.value);
    content_hash_stale_ = true;
    state_.on_upstream_change(id, upstream_change::removed, source);
  }
}

void
store_link::call(const call_id& id, const platform_request& request, milliseconds limit,
                 reply_handler on_reply) {
  platform_request sent = request;
  remove_era(sent);
  calls_.send(state_.settings.store, state_.wire.store_call(sent), {limit},
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
                                  {"revision", std::to_string(number_of(copy_.store))}});
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
       {"revision", std::to_string(copy_.store.value)}});
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
  pending_reads_ = 4;
  min_read_revision_ = revision{std::numeric_limits<std::int64_t>::max()};
  read_upstreams_.clear();
  read_instances_.clear();
  read_config();
  read_duties_holder();
  read_range(state_.wire.upstream_prefix(), state_.wire.upstream_prefix());
  const std::string instances{instance_prefix};
  read_range(instances, instances);
}

void
store_link::read_config() {
  call({duty::config, 0}, kv_range{state_.wire.config_key(), ""}, read_timeout,
       [this](const platform_reply& reply) {
         if (!reply.answer) {
           fail_full_read(reply.answer.error().message);
           return;
         }
         const auto& range = std::get<kv_range_reply>(*reply.answer);
         if (!range.pairs.empty()) {
           apply_config_value(range.pairs.front().value, "read");
         }
         min_read_revision_ = std::min(min_read_revision_, range.store);
         on_read_done();
       });
}

void
store_link::read_duties_holder() {
  call({duty::config, 0}, kv_range{zone_lease_key(duties_zone), ""}, read_timeout,
       [this](const platform_reply& reply) {
         if (!reply.answer) {
           fail_full_read(reply.answer.error().message);
           return;
         }
         const auto& range = std::get<kv_range_reply>(*reply.answer);
         apply_duties_holder(range.pairs.empty() ? std::nullopt
                                                 : std::optional{range.pairs.front().value});
         on_read_done();
       });
}

void
store_link::fail_full_read(std::string_view why) {
  set_reachable(false, why);
  if (pending_reads_ > 0) {
    pending_reads_ = -1;
    schedule_retry();
  }
}

void
store_link::read_range(const std::string& prefix, const std::string& from) {
  call({duty::config, 0}, kv_range{from, prefix_end(prefix)}, read_timeout,
       [this, prefix](const platform_reply& reply) {
         if (!reply.answer) {
           fail_full_read(reply.answer.error().message);
           return;
         }
         on_range(prefix, std::get<kv_range_reply>(*reply.answer));
       });
}

void
store_link::on_range(const std::string& prefix, const kv_range_reply& reply) {
  for (const auto& it : reply.pairs) {
    if (prefix != instance_prefix) {
      read_upstreams_.push_back(upstream_id{it.key.substr(prefix.size())});
    } else {
      read_instances_.push_back(it.key.substr(prefix.size()));
    }
    apply({it.key, it.value, it.created, it.modified}, "read");
  }
  min_read_revision_ = std::min(min_read_revision_, reply.store);
  if (reply.more && !reply.pairs.empty()) {
    read_range(prefix, reply.pairs.back().key + std::string(1, '\0'));
    return;
  }
  if (prefix != instance_prefix) {
    on_upstreams_removed(
        state_.upstreams.apply_full_read(http1::event_loop::now(), read_upstreams_, reply.store),
        "read");
    state_.upstreams_known = true;
  } else {
    remove_missing_instances(read_instances_, reply.store);
  }
  on_read_done();
}

void
store_link::on_read_done() {
  if (--pending_reads_ != 0) {
    return;
  }
  copy_.store = std::max(copy_.store, min_read_revision_);
  set_reachable(true, "read");
  watch();
}

void
store_link::watch() {
  if (!watching_) {
    follow_active_ = false;
    return;
  }
  if (era_of(copy_.store) != era_.current()) {
    // The history that a watch would continue is gone.
    read_all();
    return;
  }
  // One call watches everything: the keys of operators, upstreams and instances.
  const revision after{number_of(copy_.store)};
  calls_.send(state_.settings.store, state_.wire.watch_call("", after, watch_wait), {watch_timeout},
              [this, sent_in = era_.known()](const call_outcome& ended) {
                if (ended.complete() && !check_era(sent_in, ended.fields)) {
                  read_all();
                  return;
                }
                if (ended.complete()) {
                  on_watch(ended.status, ended.body);
                  return;
                }
                set_reachable(false, "watch ended");
                state_.loop.once(retry_pause, [this](const moment&) { watch(); });
              });
}

void
store_link::on_watch(int status, const std::string& body) {
  auto answer = state_.wire.parse_watch_reply(status, body);
  if (!answer) {
    set_reachable(false, answer.error().message);
    state_.loop.once(retry_pause, [this](const moment&) { watch(); });
    return;
  }
  if (answer->compacted) {
    log(log_event::history_lost, {{"revision", std::to_string(copy_.store.value)}});
    read_all();
    return;
  }
  set_reachable(true, "watch");
  answer->store = store_position(era_.current(), answer->store.value);
  for (auto& it : answer->changes) {
    it.created = store_position(era_.current(), it.created.value);
    it.modified = store_position(era_.current(), it.modified.value);
    apply(it, "watch");
  }
  copy_.store = std::max(copy_.store, answer->store);
  const auto peers = static_cast<std::int64_t>(state_.live_peers);
  state_.loop.once(std::min(watch_pause + watch_pause_per_peer * peers, max_watch_pause),
                   [this](const moment&) { watch(); });
}

void
store_link::apply(const kv_change& change, std::string_view source) {
  if (change.key == state_.wire.config_key()) {
    if (change.value) {
      apply_config_value(*change.value, source);
    }
  } else if (change.key.starts_with(state_.wire.upstream_prefix())) {
    apply_upstream(change, source);
  } else if (change.key.starts_with(instance_prefix)) {
    if (!change.value && change.key == instance_key(state_.settings.instance)) {
      registration_.on_lapsed();
    }
    apply_instance(change);
  } else if (change.key == zone_lease_key(duties_zone)) {
    apply_duties_holder(change.value);
  }
}

void
store_link::apply_duties_holder(const std::optional<std::string>& record) {
  if (!record) {
    set_duties_holder(std::nullopt);
    return;
  }
  const auto lease = parse_zone_lease(*record);
  if (lease) {
    set_duties_holder(lease->holder);
  } else {
    log(log_event::config_refused, lease.error());
  }
}

void
store_link::set_duties_holder(const std::optional<instance_id>& holder) {
  content_hash_stale_ = content_hash_stale_ || copy_.duties_holder != holder;
  copy_.duties_holder = holder;
  callbacks_.on_duties_holder(holder);
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
    copy_.config = value;
    copy_.config_version = version;
    content_hash_stale_ = true;
  }
}

void
store_link::apply_upstream(const kv_change& change, std::string_view source) {
  const moment now = http1::event_loop::now();
  const upstream_id id{change.key.substr(state_.wire.upstream_prefix().size())};
  const auto entry = change.value ? state_.wire.parse_upstream(change.key, *change.value)
                                  : result<listed_upstream>{listed_upstream{}};
  if (!entry) {
    log(log_event::upstream_unreadable, entry.error(), {{"key", change.key}});
  }
  const bool present = change.value.has_value() && entry.has_value();
  const auto how = present ? state_.upstreams.put(*entry, change.modified)
                           : state_.upstreams.remove(now, id, change.modified);
  if (how == upstream_change::none) {
    return;
  }
  if (present) {
    copy_.upstreams[change.key] = {*change.value, change.modified};
  } else {
    copy_.upstreams.erase(change.key);
  }
  content_hash_stale_ = true;
  state_.on_upstream_change(id, how, source);
}

void
store_link::apply_instance(const kv_change& change) {
  const std::string name = change.key.substr(instance_prefix.size());
  const bool self = name == state_.settings.instance.value;
  const auto held = copy_.instances.find(name);
  if (held != copy_.instances.end() && change.modified <= held->second.modified) {
    return;
  }
  if (!change.value) {
    if (held != copy_.instances.end()) {
      copy_.instances.erase(held);
      content_hash_stale_ = true;
      if (!self) {
        callbacks_.on_instance({instance_id{name}, {}, {}, 0}, false);
      }
    }
    return;
  }
  const auto entry = parse_registration(name, *change.value);
  if (!entry) {
    log(log_event::peer_rejected, {{"peer", name}, {"why", "its registration cannot be read"}});
    return;
  }
  copy_.instances[name] = {*change.value, change.modified};
  content_hash_stale_ = true;
  if (!self) {
    callbacks_.on_instance(*entry, true);
  }
}

void
store_link::set_watching(bool watching) {
  if (watching_ == watching) {
    return;
  }
  watching_ = watching;
  log(log_event::store_followed,
      {{"by", watching ? "watch" : "peer"}, {"revision", std::to_string(copy_.store.value)}});
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

void
store_link::apply_update(const store_update& from, const instance_id& peer) {
  const std::string source = "peer " + peer.value;
  if (!from.config.empty()) {
    apply_config_value(from.config, source);
  }
  if (from.store < copy_.store && state_.upstreams_known) {
    return;
  }
  for (const auto& [key, held] : from.upstreams) {
    apply_upstream({key, held.value, held.modified, held.modified}, source);
  }
  for (const auto& [name, held] : from.instances) {
    apply_instance({instance_key(instance_id{name}), held.value, held.modified, held.modified});
  }
  std::vector<upstream_id> present;
  for (const auto& key : from.upstream_keys) {
    present.push_back(upstream_id{key.substr(state_.wire.upstream_prefix().size())});
  }
  on_upstreams_removed(state_.upstreams.apply_peer_read(present, from.store), source);
  state_.upstreams_known = true;
  remove_missing_instances(from.instance_names, from.store);
  set_duties_holder(from.duties_holder);
  copy_.store = std::max(copy_.store, from.store);
}

void
store_link::remove_missing_instances(const std::vector<std::string>& present, revision at) {
  const std::set<std::string> kept{present.begin(), present.end()};
  std::vector<std::string> gone;
  for (const auto& [name, held] : copy_.instances) {
    if (!kept.contains(name)) {
      gone.push_back(name);
    }
  }
  for (const auto& name : gone) {
    apply_instance({instance_key(instance_id{name}), std::nullopt, {}, at});
  }
}

std::uint64_t
store_link::content_hash() {
  if (content_hash_stale_) {
    std::uint64_t hash = fnv1a(fnv_basis, std::to_string(state_.upstreams.content_hash()));
    hash = fnv1a(hash, std::to_string(copy_.config_version));
    for (const auto& [name, held] : copy_.instances) {
      hash = fnv1a(fnv1a(hash, name), held.value);
    }
    content_hash_ = fnv1a(hash, copy_.duties_holder ? copy_.duties_holder->value : "");
    content_hash_stale_ = false;
  }
  return content_hash_;
}

} // namespace nutmegspur::proxy
