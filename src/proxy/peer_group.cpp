// Notices between instances, and changes of the store requested from peers.
#include "peer_group.h"

#include <nutmegspur/member_ring.h>
#include <nutmegspur/zone_lease.h>

#include <algorithm>
#include <limits>
#include <set>

namespace nutmegspur::proxy {

namespace {

/// Bounds of the interval between notices. It grows with the size of a round to keep to the byte
/// rates below, which are together 14% of the slowest links (10 Mbit/s). Traffic to other zones is
/// billed.
constexpr milliseconds min_period{100};
constexpr milliseconds max_period{1'000};
constexpr std::size_t relay_bytes_per_second = 60'000;
constexpr std::size_t branch_bytes_per_second = 120'000;
/// Notices may be lost: their contents stay valid for three rounds, and at least for this time.
constexpr int lifetime_rounds = 3;
constexpr milliseconds min_lifetime{1'000};
/// Maximum number of placed parts in one notice; about 13 bytes each.
constexpr std::size_t max_placed = 800;
/// Maximum number of origins of streams in one notice; at most 200 bytes each.
constexpr std::size_t max_origins = 100;
/// Number of rounds in which a placed part is sent.
constexpr int placed_rounds = 2;
/// Usage counts are repeated at this interval, which grows with the number of instances: the holder
/// processes about a hundred notices a second.
constexpr milliseconds usage_period{500};
constexpr milliseconds usage_period_per_instance{10};
constexpr milliseconds max_usage_period{1'000};
constexpr milliseconds check_peers_period{500};
/// A peer without a notice for this long is considered gone or disconnected.
constexpr milliseconds liveness_timeout{2'500};
/// An instance whose registration is gone stays known for this long: registrations expire in an
/// outage of the store and are written again at the next renewal.
constexpr milliseconds unlisted_retention{6'000};
/// Without a notice from its relay for this long, an instance watches the store itself.
constexpr milliseconds relay_timeout{1'500};
/// Without a byte of the reply for this long, a request for an update has failed. The whole reply
/// may take longer: a relay passes a large configuration on to several instances over one link.
constexpr milliseconds update_progress_timeout{1'000};
/// An instance that watches the store asks a peer for a newer configuration only if its own watch
/// has not brought it after this time: otherwise the first relay that reads a version would send it
/// to all others.
constexpr milliseconds own_watch_time{500};
/// Pause after a request for the configuration that has failed.
constexpr milliseconds config_retry_pause{300};
/// Interval between two requests for the same content.
constexpr milliseconds update_request_period{2'000};
/// An instance whose relay sends updates that it cannot read, as one of another release may,
/// watches the store itself for this long.
constexpr milliseconds unreadable_relay_period{10'000};
/// Number of votes given to a relay's agreed time by an instance that receives notices only from
/// it.
constexpr std::size_t agreed_votes = 3;

milliseconds
period_for(std::size_t round_bytes, std::size_t bytes_per_second) {
  const auto millis = round_bytes * milliseconds{seconds{1}}.count() / bytes_per_second;
  return std::clamp(milliseconds{static_cast<std::int64_t>(millis)}, min_period, max_period);
}

/// Logs a call to a peer that failed, with what tells a silent peer from a slow answer.
void
log_failed_call(const error& why, const call_outcome& ended) {
  const auto taken =
      std::chrono::duration_cast<milliseconds>(http1::event_loop::now().boot - ended.sent_at.boot);
  log(log_event::peer_rejected, why,
      {{"how", std::string{to_name(ended.end)}},
       {"bytes", std::to_string(ended.body.size())},
       {"span_ms", std::to_string(taken.count())}});
}

} // namespace

peer_group::peer_group(proxy_state& state, http1::http_client& client, store_link& store,
                       std::int64_t started_ms)
    : state_(state), calls_(state.loop, client, state.held),
      config_calls_(state.loop, client, state.held), store_(store), started_ms_(started_ms),
      socket_(state.loop,
              [this](std::string_view bytes, const endpoint& from) { on_datagram(bytes, from); }),
      relays_(state.settings.instance, state.settings.zone), relay_period_(min_period),
      branch_period_(min_period) {}

result<void>
peer_group::start() {
  if (auto bound = socket_.bind(state_.settings.peer_listen); !bound) {
    return bound;
  }
  state_.loop.every(min_period, [this](const moment& now) { on_tick(now); });
  state_.loop.every(check_peers_period, [this](const moment& now) { check_peers(now); });
  return {};
}

void
peer_group::on_instance(const registered_instance& entry, bool present) {
  if (!present) {
    const auto it = peers_.find(entry.name);
    if (it != peers_.end()) {
      it->second.listed = false;
      it->second.unlisted_since = http1::event_loop::now().boot;
    }
    return;
  }
  peer& it = peers_[entry.name];
  it.at = entry.peer;
  it.listed = true;
  it.unlisted_since = time_point{};
  relays_.add(entry.name, entry.zone);
}

bool
peer_group::live(const moment& now, const peer& it) const {
  return it.last_notice != time_point{} && now.boot - it.last_notice < liveness_timeout;
}

bool
peer_group::in_branch(const moment& now, const peer& it) const {
  return it.scope == notice_scope::own && live(now, it);
}

bool
peer_group::in_branch(const moment& now, const instance_id& id) const {
  const auto it = peers_.find(id);
  return it != peers_.end() && in_branch(now, it->second);
}

milliseconds
peer_group::spread_time(const moment& now) const {
  milliseconds longest = period() * lifetime_rounds;
  for (const auto& [name, it] : peers_) {
    longest = live(now, it) ? std::max(longest, it.lifetime) : longest;
  }
  return longest;
}

unsigned
peer_group::rank(const moment& now) const {
  if (!relays_.is_relay()) {
    return std::numeric_limits<unsigned>::max();
  }
  unsigned preceding = 0;
  for (const auto& id : relays_.other_relays()) {
    const auto it = peers_.find(id);
    const bool included = it != peers_.end() && live(now, it->second);
    preceding += included && id < state_.settings.instance ? 1 : 0;
  }
  return preceding;
}

permit_keeper
peer_group::keeper_of(const moment& now, const listed_upstream& upstream) const {
  permit_keeper best{state_.settings.instance, state_.settings.peer_listen, true};
  std::pair<int, std::uint64_t> best_rank{-1, 0};
  const auto consider = [&](const permit_keeper& it, const zone_id& zone, bool listed) {
    // A registration ends when its instance stops, but also while the store is away.
    const int suitability = (zone == upstream.zone ? 2 : 0) + (listed ? 1 : 0);
    const std::pair rank{suitability, rendezvous_weight(upstream.id.value, it.name.value)};
    if (rank > best_rank) {
      best_rank = rank;
      best = it;
    }
  };
  if (relays_.is_relay() && !state_.stopping) {
    consider(permit_keeper{best}, state_.settings.zone, true);
  }
  for (const auto& id : relays_.other_relays()) {
    const auto it = peers_.find(id);
    const zone_id* zone = relays_.zone_of(id);
    if (it != peers_.end() && zone != nullptr && (!relays_.is_relay() || live(now, it->second))) {
      consider({id, it->second.at, false}, *zone, it->second.listed);
    }
  }
  return best;
}

std::vector<forward_peer>
peer_group::forwarders(const moment& now, const zone_id& zone) const {
  std::vector<forward_peer> peers;
  for (const auto& [name, it] : peers_) {
    if (!it.listed && !live(now, it)) {
      continue;
    }
    const zone_id* its_zone = relays_.zone_of(name);
    const bool near = its_zone != nullptr && *its_zone == state_.settings.zone;
    const bool at_upstream = its_zone != nullptr && *its_zone == zone;
    peers.push_back({name, it.at, near ? 0 : at_upstream ? 1 : 2});
  }
  std::stable_sort(peers.begin(), peers.end(),
                   [](const auto& a, const auto& b) { return a.nearness < b.nearness; });
  return peers;
}

std::vector<endpoint>
peer_group::origin_keepers(const std::string& request, std::size_t count) const {
  std::vector<instance_id> others;
  others.reserve(peers_.size());
  for (const auto& [name, it] : peers_) {
    others.push_back(name);
  }
  std::vector<endpoint> keepers;
  for (const auto& name : nutmegspur::origin_keepers(request, others, count)) {
    keepers.push_back(peers_.at(name).at);
  }
  return keepers;
}

void
peer_group::send_origins(const std::vector<stream_origin_notice>& origins) {
  std::map<endpoint, std::vector<stream_origin_notice>> by_keeper;
  for (const auto& it : origins) {
    for (const auto& at : origin_keepers(it.request, origin_keeper_count)) {
      by_keeper[at].push_back(it);
    }
  }
  for (const auto& [at, rows] : by_keeper) {
    for (std::size_t n = 0; n < rows.size(); n += max_origins) {
      const auto end = std::min(n + max_origins, rows.size());
      peer_notice it;
      it.sender = state_.settings.instance;
      it.zone = state_.settings.zone;
      it.started_ms = started_ms_;
      it.partial = true;
      it.sealed = sealed_window_;
      it.origins.assign(rows.begin() + static_cast<std::ptrdiff_t>(n),
                        rows.begin() + static_cast<std::ptrdiff_t>(end));
      send(at, it);
    }
  }
}

double
peer_group::connected_share(const moment& now) const {
  const auto known = std::count_if(peers_.begin(), peers_.end(), [&](const auto& row) {
    return row.second.listed || live(now, row.second);
  });
  return std::min(1.0, static_cast<double>(state_.live_peers + 1) / static_cast<double>(known + 1));
}

peer_notice
peer_group::notice(const moment& now, notice_scope scope) {
  peer_notice it;
  it.sender = state_.settings.instance;
  it.zone = state_.settings.zone;
  it.scope = scope;
  it.started_ms = started_ms_;
  it.sequence = ++sequence_;
  it.wall = scope == notice_scope::others ? state_.clock.agreed(now).wall : now.wall;
  it.config_version = state_.config == nullptr ? 0 : state_.config->config().version;
  it.store = store_.replica().position();
  it.store_reachable = store_.reachable();
  it.content_hash = store_.replica().stated_hash();
  it.lifetime = std::max(min_lifetime, period() * lifetime_rounds);
  it.sealed = sealed_window_;
  const wall_time agreed = state_.clock.agreed(now).wall;
  it.withheld = state_.withheld.current(agreed);
  it.removals = state_.removals.current(agreed);
  it.blame = state_.blame.current(agreed);
  it.limits = state_.limits.current(agreed);
  return it;
}

void
peer_group::add_placed(const moment& now, peer_notice& it,
                       const std::function<bool(const instance_id&)>& included) const {
  // If there are too many, adds only the newest: the others were in earlier notices.
  for (auto row = state_.placed.rbegin();
       row != state_.placed.rend() && it.placed.size() < max_placed; ++row) {
    if (row->until > now.boot && included(row->from)) {
      it.placed.push_back(row->part);
    }
  }
}

std::size_t
peer_group::send(const endpoint& to, const peer_notice& it) {
  const auto bytes = pack_notice_to_fit(it);
  if (!bytes) {
    log(log_event::peer_rejected, bytes.error());
    return 0;
  }
  socket_.send(to, *bytes);
  return bytes->size();
}

std::size_t
peer_group::notify_relays(const moment& now) {
  const auto included = [&](const instance_id& id) { return in_branch(now, id); };
  peer_notice it = notice(now, notice_scope::branch);
  it.loads = state_.loads.own_and_peers(now, included);
  add_placed(now, it,
             [&](const auto& from) { return from == state_.settings.instance || included(from); });
  it.instances = 1 + static_cast<std::uint32_t>(
                         std::count_if(peers_.begin(), peers_.end(), [&](const auto& row) {
                           return in_branch(now, row.second);
                         }));
  const auto bytes = pack_notice_to_fit(std::move(it));
  if (!bytes) {
    log(log_event::peer_rejected, bytes.error());
    return 0;
  }
  std::size_t sent = 0;
  const auto& relays = relays_.other_relays();
  for (const auto& [name, to] : peers_) {
    // A peer that sends as a relay is notified as one, even if this instance does not consider it
    // one.
    const bool sends_as_relay = to.scope == notice_scope::branch && live(now, to);
    if (sends_as_relay || std::binary_search(relays.begin(), relays.end(), name)) {
      socket_.send(to.at, *bytes);
      sent += bytes->size();
    }
  }
  return sent;
}

std::size_t
peer_group::notify_branch(const moment& now) {
  std::size_t sent = 0;
  for (const auto& [name, row] : peers_) {
    if (!in_branch(now, row)) {
      continue;
    }
    const auto included = [&name = name](const instance_id& id) { return id != name; };
    peer_notice it = notice(now, notice_scope::others);
    it.loads = state_.loads.own_and_peers(now, included);
    add_placed(now, it, included);
    it.instances = static_cast<std::uint32_t>(state_.live_peers);
    sent += send(row.at, it);
  }
  return sent;
}

std::size_t
peer_group::notify_own_relay(const moment& now) {
  const auto to = peers_.find(*relays_.own_relay());
  if (to == peers_.end()) {
    return 0;
  }
  peer_notice it = notice(now, notice_scope::own);
  it.loads = state_.loads.own(now);
  add_placed(now, it, [&](const auto& from) { return from == state_.settings.instance; });
  return send(to->second.at, it);
}

std::size_t
peer_group::notify_seeds(const moment& now) {
  // Seeds may be instances whose registrations this one has not read yet.
  peer_notice it = notice(now, notice_scope::branch);
  it.loads = state_.loads.own(now);
  std::size_t sent = 0;
  for (const auto& seed : state_.settings.seeds) {
    if (seed != state_.settings.peer_listen) {
      sent += send(seed, it);
    }
  }
  return sent;
}

void
peer_group::update_relay(const moment& now) {
  relays_.step(now);
  if (relays_.own_relay() != current_relay_) {
    current_relay_ = relays_.own_relay();
    // The notices now cover other instances; for a round or two only the load of this
    // instance is known.
    state_.loads.forget_peers();
    log(log_event::relay_chosen, {{"relay", current_relay_ ? current_relay_->value : "self"},
                                  {"relays", std::to_string(relays_.other_relays().size())}});
  }
  bool relay_notices_arrive = false;
  if (current_relay_) {
    const auto it = peers_.find(*current_relay_);
    // One lost notice of a relay with long rounds is not the end of its notices.
    relay_notices_arrive =
        it != peers_.end() && it->second.scope == notice_scope::others &&
        it->second.last_notice != time_point{} &&
        now.boot - it->second.last_notice < std::max(relay_timeout, it->second.lifetime * 3 / 4);
    // A relay that does not notice a restore of the store cannot pass on what comes after it.
    const bool relay_behind = it != peers_.end() && era_of(it->second.store) < store_.era();
    relay_notices_arrive = relay_notices_arrive && !(relay_behind && store_.era_settled(now)) &&
                           now.boot >= relay_unreadable_until_;
  }
  store_.set_watching(!relay_notices_arrive);
}

void
peer_group::on_tick(const moment& now) {
  update_relay(now);
  proxy_state::log_blame(state_.blame.step(state_.clock.agreed(now).wall), "own");
  while (!state_.placed.empty() && state_.placed.front().until < now.boot) {
    state_.placed.pop_front();
  }
  // A round that is due within half a tick is sent now: otherwise a period of a whole number of
  // ticks could take one tick more.
  const time_point soon = now.boot + min_period / 2;
  if (soon >= next_relay_round_) {
    send_relay_round(now);
  }
  if (soon >= next_branch_round_) {
    branch_period_ = period_for(notify_branch(now), branch_bytes_per_second);
    next_branch_round_ = now.boot + branch_period_;
  }
  // Half a period more, so that the last of these rounds is still included.
  state_.placed_period = period() * placed_rounds + period() / 2;
  if (now.boot >= next_usage_) {
    send_usage(now);
  }
}

void
peer_group::send_relay_round(const moment& now) {
  std::size_t sent = relays_.is_relay() ? notify_relays(now) : notify_own_relay(now);
  if (state_.live_peers == 0) {
    sent += notify_seeds(now);
  }
  relay_period_ = period_for(sent, relay_bytes_per_second);
  next_relay_round_ = now.boot + relay_period_;
}

void
peer_group::send_final_notices(const moment& now) {
  send_relay_round(now);
  notify_branch(now);
  send_usage(now);
}

void
peer_group::send_usage(const moment& now) {
  const auto by_count =
      usage_period_per_instance * static_cast<std::int64_t>(state_.live_peers + 1);
  next_usage_ = now.boot + std::clamp(by_count, usage_period, max_usage_period) - min_period / 2;
  const wall_time wall = state_.clock.agreed(now).wall;
  state_.usage.trim(wall);
  peer_notice it = notice(now, relays_.is_relay() ? notice_scope::branch : notice_scope::own);
  it.usage = state_.usage.own_windows(wall, sealed_window_);
  it.partial = true;
  if (it.usage.empty()) {
    return;
  }
  // The duty holder and the candidates to succeed it, which need the counts when they take over.
  const auto& relays = relays_.other_relays();
  std::set<instance_id> receivers{
      relays.begin(), relays.begin() + static_cast<std::ptrdiff_t>(std::min<std::size_t>(
                                           relays.size(), zone_lease::max_candidates))};
  if (usage_holder_) {
    receivers.insert(*usage_holder_);
  }
  for (const auto& id : receivers) {
    if (const auto to = peers_.find(id); to != peers_.end()) {
      send(to->second.at, it);
    }
  }
}

void
peer_group::on_datagram(std::string_view bytes, const endpoint& from) {
  auto read = unpack_notice(bytes);
  if (!read) {
    log(log_event::peer_rejected, read.error(), {{"from", to_text(from)}});
    return;
  }
  if (read->sender == state_.settings.instance) {
    return;
  }
  const moment now = http1::event_loop::now();
  for (const auto& window : read->usage) {
    state_.usage.merge_peer_counts(read->sender, window);
  }
  on_sealed(read->sealed);
  for (const auto& origin : read->origins) {
    state_.origins.add(now, origin.request, origin.origin);
  }
  if (read->partial) {
    return;
  }
  peer& it = peers_[read->sender];
  if (read->started_ms < it.started_ms ||
      (read->started_ms == it.started_ms && read->sequence <= it.last_sequence)) {
    return;
  }
  if (!live(now, it)) {
    log(log_event::peer_connected,
        {{"peer", read->sender.value}, {"started_ms", std::to_string(read->started_ms)}});
  }
  it.at = from;
  it.started_ms = read->started_ms;
  it.last_sequence = read->sequence;
  it.last_notice = now.boot;
  it.scope = read->scope;
  it.instances = read->instances;
  it.lifetime = read->lifetime;
  it.config_version = read->config_version;
  it.store = read->store;
  it.store_reachable = read->store_reachable;
  it.content_hash = read->content_hash;
  store_.on_peer_era(era_of(it.store), read->sender);
  relays_.add(read->sender, read->zone);
  relays_.on_notice(now, read->sender, read->lifetime / lifetime_rounds);
  state_.clock.on_peer(now, read->sender, read->wall,
                       read->scope == notice_scope::others ? agreed_votes : 1);
  for (const auto& withheld : read->withheld) {
    state_.withheld.add(withheld);
  }
  for (const auto& removal : read->removals) {
    state_.removals.add(removal);
    if (state_.upstreams.on_announced_removal(removal.upstream, removal.at)) {
      log(log_event::upstream_unlisted, {{"upstream", removal.upstream.value},
                                         {"peer", read->sender.value},
                                         {"revision", std::to_string(number_of(removal.at))}});
    }
  }
  proxy_state::log_blame(state_.blame.merge(state_.clock.agreed(now).wall, read->blame),
                         "peer " + read->sender.value);
  for (const auto& limit : read->limits) {
    if (state_.limits.merge(state_.clock.agreed(now).wall, limit)) {
      proxy_state::log_limit(limit, "peer " + read->sender.value);
    }
  }
  apply_load_and_placements(now, *read);
  sync_with_sender(now, read->sender, it);
}

void
peer_group::apply_load_and_placements(const moment& now, const peer_notice& from) {
  // Uses only the sum from its own relay: the sums of several relays would count load twice.
  const bool from_own_relay = relays_.own_relay() == from.sender;
  const bool included = from.scope == notice_scope::others ? from_own_relay : relays_.is_relay();
  if (included) {
    state_.loads.on_peer(now, from.sender, from.loads, from.lifetime);
  }
  for (const auto& placed : from.placed) {
    const auto added = state_.caches.on_placed(placed.upstream, {placed.part},
                                               state_.cache_tokens_of(placed.upstream));
    if (!added.empty()) {
      state_.record_placed(now, placed.upstream, added, from.sender);
    }
  }
}

void
peer_group::sync_with_sender(const moment& now, const instance_id& name, peer& it) {
  sync_config(now, name, it);
  const copy_position held{store_.replica().position(), copy_position::without_config};
  if (state_.config == nullptr) {
    request_update(name, it.at, held);
    return;
  }
  if (store_.watching()) {
    store_.check_content(it.store, it.content_hash, name);
    return;
  }
  if (relays_.own_relay() != name) {
    return;
  }
  store_.on_peer_state(it.store_reachable, name.value);
  const store_replica& replica = store_.replica();
  if (it.content_hash == 0) {
    return; // The relay is reading the store.
  }
  if (it.content_hash == replica.content_hash()) {
    store_.on_same_content(it.store);
    requested_content_ = 0;
    return;
  }
  if (it.content_hash == requested_content_ && now.boot < next_update_request_) {
    return;
  }
  // Requests the changes; everything if these did not make the contents equal, or cannot.
  const bool repeated =
      it.content_hash == requested_content_ || replica.contradicts(it.store, it.content_hash);
  requested_content_ = it.content_hash;
  next_update_request_ = now.boot + update_request_period;
  request_update(name, it.at, repeated ? copy_position{{}, held.config_version} : held);
}

void
peer_group::sync_config(const moment& now, const instance_id& name, const peer& it) {
  const std::int64_t held = store_.position().config_version;
  if (it.config_version <= held) {
    return;
  }
  if (newer_config_ <= held) {
    newer_config_ = it.config_version;
    newer_config_since_ = now.boot;
  }
  const bool own_watch_may_bring_it = state_.config != nullptr && store_.watching() &&
                                      store_.reachable() &&
                                      now.boot - newer_config_since_ < own_watch_time;
  if (!own_watch_may_bring_it && now.boot >= next_config_request_) {
    request_config(name, it.at);
  }
}

void
peer_group::request_config(const instance_id& name, const endpoint& at) {
  if (!config_calls_.empty()) {
    return;
  }
  config_calls_.send(at, {"GET", config_target(store_.position().config_version), {}, {}},
                     {.all = long_transfer,
                      .progress = update_progress_timeout,
                      .reply_bytes = max_store_reply_bytes},
                     [this, name, at](const call_outcome& ended) { on_config(name, at, ended); });
}

void
peer_group::on_config(const instance_id& name, const endpoint& at, const call_outcome& ended) {
  constexpr int not_found = 404;
  if (ended.complete() && ended.status == not_found) {
    // An earlier release sends the configuration with the replica.
    next_config_request_ = http1::event_loop::now().boot + config_retry_pause;
    request_update(name, at, store_.position());
    return;
  }
  const auto config = ended.complete()
                          ? unpack_config_copy(ended.body)
                          : result<std::string>{fail({error_code::unavailable, step::peer_call,
                                                      name.value, "no answer"})};
  if (!config) {
    log_failed_call(config.error(), ended);
    next_config_request_ = http1::event_loop::now().boot + config_retry_pause;
    return;
  }
  store_.apply_config_copy(*config, name);
}

void
peer_group::count_instances(const moment& now) {
  // A relay counts the branches of all relays; others take the total from their own relay.
  std::size_t count = 0;
  for (const auto& [name, it] : peers_) {
    if (live(now, it) && (relays_.is_relay() || relays_.own_relay() == name)) {
      count += it.instances;
    }
  }
  if (count != state_.live_peers) {
    state_.live_peers = count;
    state_.update_retry_allowances();
  }
}

void
peer_group::check_peers(const moment& now) {
  const peer* most_recent = nullptr;
  const instance_id* most_recent_name = nullptr;
  for (auto it = peers_.begin(); it != peers_.end();) {
    peer& row = it->second;
    if (live(now, row)) {
      if (row.store_reachable && (most_recent == nullptr || row.store > most_recent->store)) {
        most_recent = &row;
        most_recent_name = &it->first;
      }
    } else if (row.last_notice != time_point{}) {
      log(log_event::peer_lost, {{"peer", it->first.value}});
      state_.loads.forget_peer(it->first);
      row.last_notice = time_point{};
    }
    // An instance that was never registered counts as unlisted since its last notice timed out.
    if (row.last_notice == time_point{} && !row.listed && row.unlisted_since == time_point{}) {
      row.unlisted_since = now.boot;
    }
    const bool expired = row.last_notice == time_point{} && row.unlisted_since != time_point{} &&
                         now.boot - row.unlisted_since > unlisted_retention;
    if (expired) {
      relays_.remove(it->first);
    }
    it = expired ? peers_.erase(it) : std::next(it);
  }
  count_instances(now);
  const bool store_unreachable = store_.watching() && !store_.reachable();
  if (store_unreachable && most_recent != nullptr &&
      most_recent->store > store_.replica().position()) {
    request_update(*most_recent_name, most_recent->at,
                   {store_.replica().position(), copy_position::without_config});
  }
}

void
peer_group::request_update(const instance_id& name, const endpoint& at,
                           const copy_position& position) {
  if (!calls_.empty()) {
    return;
  }
  calls_.send(at, {"GET", update_target(position), {}, {}},
              {.all = long_transfer,
               .progress = update_progress_timeout,
               .reply_bytes = max_store_reply_bytes},
              [this, name](const call_outcome& ended) {
                const auto update =
                    ended.complete()
                        ? unpack_store_update(ended.body)
                        : result<store_update>{fail(
                              {error_code::unavailable, step::peer_call, name.value, "no answer"})};
                if (!update) {
                  log_failed_call(update.error(), ended);
                  if (ended.complete() && relays_.own_relay() == name) {
                    relay_unreadable_until_ =
                        http1::event_loop::now().boot + unreadable_relay_period;
                  }
                  return;
                }
                store_.apply_update(*update, name);
              });
}

} // namespace nutmegspur::proxy
