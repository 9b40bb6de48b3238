// Reads and watches of the store.
#include "store_link.h"

#include <nutmegspur/json_reader.h>
#include <nutmegspur/records.h>

#include <msgpack.hpp>

#include <algorithm>

namespace nutmegspur::proxy {

namespace {

/// Where instances register, each under its name.
constexpr const char* instance_prefix = "entry/";
/// A waiting watch is answered at least this often; more than that plus a margin without an answer
/// says that its connection has gone silent.
constexpr milliseconds watch_wait{1'000};
constexpr milliseconds watch_limit{2'500};
/// Pause between two watch calls: upstreams' heartbeats come all the time, and each call is paid
/// for. News is at most this much later; it grows with the instances, so that their calls together
/// grow slowly, and stays under half of the seconds in which news must be everywhere.
constexpr milliseconds watch_pause{300};
constexpr milliseconds watch_pause_per_peer{20};
constexpr milliseconds longest_watch_pause{1'500};
/// Between tries while the store fails.
constexpr milliseconds retry_pause{300};
constexpr milliseconds read_limit{1'500};
/// A registration lapses this long after the last renewal.
constexpr seconds registration_ttl{10};
constexpr milliseconds registration_renewal{3'000};
constexpr milliseconds tick_time{250};

std::string
self_record(const proxy_settings& settings, std::int64_t started_ms) {
  return compact_json({{"peer", to_qt(to_text(settings.peer_listen))},
                       {"zone", to_qt(settings.zone.value)},
                       {"started_ms", qint64{started_ms}}});
}

} // namespace

store_link::store_link(proxy_state& state, http1::http_client& client, hooks events,
                       std::int64_t started_ms)
    : state_(state), calls_(state.loop, client), events_(std::move(events)),
      started_ms_(started_ms) {}

store_link::~store_link() {
  state_.loop.cancel(tick_timer_);
}

void
store_link::start() {
  tick_timer_ = state_.loop.every(tick_time, [this](const moment& now) { tick(now); });
  state_.loop.every(registration_renewal, [this](const moment&) { renew_registration(); });
  read_all();
  register_self();
}

void
store_link::tick(const moment& now) {
  drop_removed(state_.upstreams.expire(now), "grace");
}

void
store_link::drop_removed(const std::vector<upstream_id>& gone, std::string_view source) {
  for (const auto& id : gone) {
    copy_.upstreams.erase(state_.wire.upstream_prefix() + id.value);
    state_.on_upstream_change(id, upstream_change::removed, source);
  }
}

void
store_link::call(const call_id& id, const platform_request& request, milliseconds limit,
                 reply_handler on_reply) {
  calls_.send(state_.settings.store, state_.wire.store_call(request), limit,
              [this, id, request, tell = std::move(on_reply)](const call_outcome& ended) {
                platform_reply reply{id, kv_range_reply{}, ended.asked_at.boot};
                if (ended.whole()) {
                  reply.answer = state_.wire.store_answer(request, ended.status, ended.body);
                } else {
                  const bool unsent = ended.end == http1::call_end::unreachable;
                  reply.answer =
                      fail({error_code::unavailable, step::platform_call, "store",
                            unsent ? "no connection" : "no answer",
                            unsent ? nutmegspur::outcome::not_run : nutmegspur::outcome::unknown});
                }
                if (tell) {
                  tell(reply);
                }
              });
}

void
store_link::set_reachable(bool now_reachable, std::string_view why) {
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
store_link::retry_later() {
  state_.loop.once(retry_pause, [this](const moment&) { read_all(); });
}

void
store_link::read_all() {
  reads_left_ = 4;
  reading_from_ = revision{std::numeric_limits<std::int64_t>::max()};
  present_.clear();
  read_config();
  read_duties_holder();
  read_range(state_.wire.upstream_prefix(), state_.wire.upstream_prefix());
  read_range(instance_prefix, instance_prefix);
}

void
store_link::read_config() {
  call({duty::config, 0}, kv_range{state_.wire.config_key(), ""}, read_limit,
       [this](const platform_reply& reply) {
         if (!reply.answer) {
           abandon_read(reply.answer.error().message);
           return;
         }
         const auto& range = std::get<kv_range_reply>(*reply.answer);
         if (!range.pairs.empty()) {
           apply_config_value(range.pairs.front().value, "read");
         }
         reading_from_ = std::min(reading_from_, range.store);
         range_done();
       });
}

void
store_link::read_duties_holder() {
  call({duty::config, 0}, kv_range{zone_lease_key(duties_zone), ""}, read_limit,
       [this](const platform_reply& reply) {
         if (!reply.answer) {
           abandon_read(reply.answer.error().message);
           return;
         }
         const auto& range = std::get<kv_range_reply>(*reply.answer);
         if (range.pairs.empty()) {
           events_.on_duties_holder(std::nullopt);
         }
         for (const auto& it : range.pairs) {
           apply({it.key, it.value, it.created, it.modified}, "read");
         }
         range_done();
       });
}

void
store_link::abandon_read(std::string_view why) {
  set_reachable(false, why);
  if (reads_left_ > 0) {
    reads_left_ = -1;
    retry_later();
  }
}

void
store_link::read_range(const std::string& prefix, const std::string& from) {
  call({duty::config, 0}, kv_range{from, prefix_end(prefix)}, read_limit,
       [this, prefix](const platform_reply& reply) {
         if (!reply.answer) {
           abandon_read(reply.answer.error().message);
           return;
         }
         on_range(prefix, std::get<kv_range_reply>(*reply.answer));
       });
}

void
store_link::on_range(const std::string& prefix, const kv_range_reply& reply) {
  for (const auto& it : reply.pairs) {
    if (prefix != instance_prefix) {
      present_.push_back(upstream_id{it.key.substr(prefix.size())});
    }
    apply({it.key, it.value, it.created, it.modified}, "read");
  }
  reading_from_ = std::min(reading_from_, reply.store);
  if (reply.more && !reply.pairs.empty()) {
    read_range(prefix, reply.pairs.back().key + std::string(1, '\0'));
    return;
  }
  if (prefix != instance_prefix) {
    drop_removed(state_.upstreams.retain(http1::event_loop::now(), present_, reply.store), "read");
    state_.upstreams_known = true;
  }
  range_done();
}

void
store_link::range_done() {
  if (--reads_left_ != 0) {
    return;
  }
  copy_.store = std::max(copy_.store, reading_from_);
  set_reachable(true, "read");
  watch();
}

void
store_link::watch() {
  // Everything is watched in one call: operators' and upstreams' keys and the instances' own.
  calls_.send(state_.settings.store, state_.wire.watch_call("", copy_.store, watch_wait),
              watch_limit, [this](const call_outcome& ended) {
                if (ended.whole()) {
                  on_watch(ended.status, ended.body);
                  return;
                }
                set_reachable(false, "watch ended");
                state_.loop.once(retry_pause, [this](const moment&) { watch(); });
              });
}

void
store_link::on_watch(int status, const std::string& body) {
  const auto answer = state_.wire.watch_reply(status, body);
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
  for (const auto& it : answer->changes) {
    apply(it, "watch");
  }
  copy_.store = std::max(copy_.store, answer->store);
  const auto peers = static_cast<std::int64_t>(state_.live_peers);
  state_.loop.once(std::min(watch_pause + watch_pause_per_peer * peers, longest_watch_pause),
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
    apply_instance(change);
  } else if (change.key == zone_lease_key(duties_zone)) {
    const auto record = change.value ? parse_zone_lease(*change.value)
                                     : result<zone_lease_record>{zone_lease_record{}};
    if (record) {
      events_.on_duties_holder(change.value ? std::optional{record->holder} : std::nullopt);
    }
  }
}

void
store_link::apply_config_value(const std::string& value, std::string_view source) {
  auto config = state_.wire.parse_config(value);
  if (!config) {
    log(log_event::config_refused, config.error());
    return;
  }
  if (state_.apply_config(std::move(*config), source)) {
    copy_.config = value;
  }
}

void
store_link::apply_upstream(const kv_change& change, std::string_view source) {
  const moment now = http1::event_loop::now();
  const upstream_id id{change.key.substr(state_.wire.upstream_prefix().size())};
  if (!change.value) {
    const auto how = state_.upstreams.remove(now, id, change.modified);
    if (how == upstream_change::removed) {
      copy_.upstreams.erase(change.key);
    }
    state_.on_upstream_change(id, how, source);
    return;
  }
  const auto entry = state_.wire.parse_upstream(change.key, *change.value);
  if (!entry) {
    log(log_event::upstream_unreadable, entry.error(), {{"key", change.key}});
    const auto how = state_.upstreams.remove(now, id, change.modified);
    state_.on_upstream_change(id, how, source);
    return;
  }
  auto& held = copy_.upstreams[change.key];
  if (held.second < change.modified) {
    held = {*change.value, change.modified};
  }
  state_.on_upstream_change(id, state_.upstreams.put(*entry, change.modified), source);
}

void
store_link::apply_instance(const kv_change& change) {
  const std::string name = change.key.substr(std::string_view{instance_prefix}.size());
  if (name == state_.settings.instance.value) {
    if (!change.value) {
      // Lapsed, or removed by a hand; the next renewal finds out.
      registration_ = lease_id{};
    }
    return;
  }
  if (!change.value) {
    const auto it = instances_.find(name);
    if (it != instances_.end()) {
      events_.on_instance(it->second, false);
      instances_.erase(it);
    }
    return;
  }
  const auto object = parse_json_object(*change.value, "instance");
  const auto peer =
      object ? parse_endpoint(object->value(QLatin1String("peer")).toString().toStdString())
             : std::nullopt;
  if (!peer) {
    log(log_event::peer_rejected, {{"peer", name}, {"why", "its registration cannot be read"}});
    return;
  }
  const registered_instance entry{instance_id{name}, *peer,
                                  object->value(QLatin1String("started_ms")).toInteger()};
  instances_[name] = entry;
  events_.on_instance(entry, true);
}

void
store_link::take_copy(const store_copy& from, const instance_id& peer) {
  const std::string source = "peer " + peer.value;
  if (!from.config.empty()) {
    apply_config_value(from.config, source);
  }
  if (from.store <= copy_.store && state_.upstreams_known) {
    return;
  }
  std::vector<upstream_id> present;
  for (const auto& [key, held] : from.upstreams) {
    present.push_back(upstream_id{key.substr(state_.wire.upstream_prefix().size())});
    apply_upstream({key, held.first, held.second, held.second}, source);
  }
  drop_removed(state_.upstreams.retain_as_peer(present, from.store), source);
  state_.upstreams_known = true;
  // The own watch goes on where it was; what it brings again is older or equal and changes nothing.
}

void
store_link::register_self() {
  if (registering_ || state_.stopping) {
    return;
  }
  registering_ = true;
  call({duty::membership, 0}, lease_grant{registration_ttl}, read_limit,
       [this](const platform_reply& reply) {
         if (!reply.answer) {
           registering_ = false;
           return;
         }
         const lease_id lease = std::get<lease_reply>(*reply.answer).lease;
         kv_txn txn;
         txn.writes.push_back({instance_prefix + state_.settings.instance.value,
                               self_record(state_.settings, started_ms_), lease});
         call({duty::membership, 0}, txn, read_limit, [this, lease](const platform_reply& written) {
           registering_ = false;
           if (written.answer) {
             registration_ = lease;
           }
         });
       });
}

void
store_link::renew_registration() {
  if (state_.stopping) {
    return;
  }
  if (registration_.empty()) {
    register_self();
    return;
  }
  call({duty::membership, 0}, lease_keep_alive{registration_}, read_limit,
       [this](const platform_reply& reply) {
         if (reply.answer && std::get<lease_reply>(*reply.answer).ttl == seconds{0}) {
           registration_ = lease_id{};
           register_self();
         }
       });
}

void
store_link::sign_off() {
  if (!registration_.empty()) {
    call({duty::membership, 0}, lease_revoke{registration_}, read_limit, {});
    registration_ = lease_id{};
  }
}

std::string
pack_copy(const store_copy& copy) {
  msgpack::sbuffer buf;
  msgpack::packer<msgpack::sbuffer> out{buf};
  out.pack_array(3);
  out.pack(copy.store.value);
  out.pack(copy.config);
  out.pack_array(static_cast<std::uint32_t>(copy.upstreams.size()));
  for (const auto& [key, held] : copy.upstreams) {
    out.pack_array(3);
    out.pack(key);
    out.pack(held.first);
    out.pack(held.second.value);
  }
  return {buf.data(), buf.size()};
}

result<store_copy>
unpack_copy(std::string_view bytes) {
  try {
    const msgpack::object_handle handle = msgpack::unpack(bytes.data(), bytes.size());
    const auto top = handle.get().as<std::vector<msgpack::object>>();
    store_copy copy;
    copy.store = revision{top.at(0).as<std::int64_t>()};
    copy.config = top.at(1).as<std::string>();
    for (const auto& it : top.at(2).as<std::vector<msgpack::object>>()) {
      const auto row = it.as<std::vector<msgpack::object>>();
      copy.upstreams.emplace(
          row.at(0).as<std::string>(),
          std::pair{row.at(1).as<std::string>(), revision{row.at(2).as<std::int64_t>()}});
    }
    return copy;
  } catch (const std::exception& ec) {
    return fail({error_code::invalid_argument, step::peer_call, "", ec.what()});
  }
}

} // namespace nutmegspur::proxy
