// Datagrams between instances, and copies of the store from peers.
#include "peer_group.h"

#include <nutmegspur/zone_lease.h>

#include <algorithm>

namespace nutmegspur::proxy {

namespace {

/// Peers are told this often, and less often where there are many: an instance sends at most about
/// a hundred notices a second.
constexpr milliseconds tell_period{100};
constexpr milliseconds tell_period_per_peer{10};
constexpr milliseconds usage_period{500};
constexpr milliseconds watch_peers_period{500};
/// A peer not heard for so long is taken to be gone or cut off.
constexpr milliseconds live_time{2'000};
constexpr milliseconds copy_limit{1'000};

} // namespace

peer_group::peer_group(proxy_state& state, http1::http_client& client, store_link& store,
                       std::int64_t started_ms)
    : state_(state), calls_(state.loop, client), store_(store), started_ms_(started_ms),
      socket_(state.loop,
              [this](std::string_view bytes, const endpoint& from) { on_datagram(bytes, from); }) {}

result<void>
peer_group::start() {
  if (auto bound = socket_.bind(state_.settings.peer_listen); !bound) {
    return bound;
  }
  state_.loop.every(tell_period, [this](const moment& now) { tell(now); });
  state_.loop.every(usage_period, [this](const moment& now) { tell_usage(now); });
  state_.loop.every(watch_peers_period, [this](const moment& now) { watch_peers(now); });
  return {};
}

void
peer_group::on_instance(const registered_instance& entry, bool present) {
  if (!present) {
    const auto it = peers_.find(entry.name);
    if (it != peers_.end()) {
      it->second.registered = false;
    }
    return;
  }
  peer& it = peers_[entry.name];
  it.at = entry.peer;
  it.registered = true;
}

bool
peer_group::live(const moment& now, const peer& it) const {
  return it.heard != time_point{} && now.boot - it.heard < live_time;
}

unsigned
peer_group::rank(const moment& now) const {
  unsigned before = 0;
  for (const auto& [name, it] : peers_) {
    before += live(now, it) && name < state_.settings.instance ? 1 : 0;
  }
  return before;
}

peer_notice
peer_group::notice(const moment& now) {
  peer_notice it;
  it.sender = state_.settings.instance;
  it.started_ms = started_ms_;
  it.sequence = ++sequence_;
  it.wall = now.wall;
  it.config_version = state_.config == nullptr ? 0 : state_.config->config().version;
  it.store = store_.copy().store;
  it.store_reachable = store_.reachable();
  it.loads = state_.loads.own(now);
  while (!state_.placed.empty() && state_.placed.front().first < now.boot) {
    state_.placed.pop_front();
  }
  for (const auto& [until, placed] : state_.placed) {
    it.placed.push_back(placed);
  }
  return it;
}

void
peer_group::tell_all(const moment& now) {
  peer_notice it = notice(now);
  it.usage = state_.usage.own(state_.clock.agreed(now).wall);
  const std::string bytes = pack_notice(it);
  for (const auto& [name, row] : peers_) {
    socket_.send(row.at, bytes);
  }
}

void
peer_group::tell(const moment& now) {
  if (now.boot < next_tell_) {
    return;
  }
  const auto targets = static_cast<std::int64_t>(peers_.size());
  next_tell_ =
      now.boot + std::max<duration>(tell_period_per_peer * targets - tell_period / 2, duration{0});
  const std::string bytes = pack_notice(notice(now));
  if (bytes.size() > max_notice_bytes) {
    log(log_event::peer_rejected, {{"why", "own notice is too long"}});
    return;
  }
  for (const auto& [name, it] : peers_) {
    if (it.registered || live(now, it)) {
      socket_.send(it.at, bytes);
    }
  }
  // Seeds may be instances that the store did not name yet.
  if (state_.live_peers == 0) {
    for (const auto& seed : state_.settings.seeds) {
      if (seed != state_.settings.peer_listen) {
        socket_.send(seed, bytes);
      }
    }
  }
}

void
peer_group::tell_usage(const moment& now) {
  state_.usage.trim(state_.clock.agreed(now).wall);
  const auto windows = state_.usage.own(state_.clock.agreed(now).wall);
  if (windows.empty()) {
    return;
  }
  peer_notice it = notice(now);
  it.usage = windows;
  const std::string bytes = pack_notice(it);
  // The holder, and those who may take the duty over: they must have the counts by then.
  unsigned candidates = 0;
  for (const auto& [name, row] : peers_) {
    const bool candidate = live(now, row) && candidates++ < zone_lease::max_candidates;
    if (candidate || !usage_holder_ || name == *usage_holder_) {
      socket_.send(row.at, bytes);
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
  it.heard = now.boot;
  state_.clock.on_peer(now, read->sender, read->wall);
  it.config_version = read->config_version;
  it.store = read->store;
  it.store_reachable = read->store_reachable;
  state_.loads.on_peer(now, read->sender, std::move(read->loads));
  for (const auto& placed : read->placed) {
    state_.caches.on_placed(placed.upstream, {placed.part},
                            state_.cache_tokens_of(placed.upstream));
  }
  for (const auto& window : read->usage) {
    state_.usage.on_peer(read->sender, window);
  }
  if (state_.config == nullptr || it.config_version > state_.config->config().version) {
    ask_for_copy(read->sender, it.at);
  }
}

void
peer_group::watch_peers(const moment& now) {
  std::size_t heard = 0;
  const peer* best = nullptr;
  const instance_id* best_name = nullptr;
  for (auto it = peers_.begin(); it != peers_.end();) {
    peer& row = it->second;
    if (live(now, row)) {
      heard++;
      if (row.store_reachable && (best == nullptr || row.store > best->store)) {
        best = &row;
        best_name = &it->first;
      }
    } else if (row.heard != time_point{}) {
      log(log_event::peer_lost, {{"peer", it->first.value}});
      state_.loads.forget_peer(it->first);
      row.heard = time_point{};
    }
    it = !row.registered && row.heard == time_point{} ? peers_.erase(it) : std::next(it);
  }
  if (heard != state_.live_peers) {
    state_.live_peers = heard;
    state_.share_retries();
  }
  if (!store_.reachable() && best != nullptr && best->store > store_.copy().store) {
    ask_for_copy(*best_name, best->at);
  }
}

void
peer_group::ask_for_copy(const instance_id& name, const endpoint& at) {
  if (!calls_.empty()) {
    return;
  }
  calls_.send(
      at, {"GET", "/store-copy", {}, {}}, copy_limit, [this, name](const call_outcome& ended) {
        const auto copy = ended.whole()
                              ? unpack_copy(ended.body)
                              : result<store_copy>{fail({error_code::unavailable, step::peer_call,
                                                         name.value, "no answer"})};
        if (!copy) {
          log(log_event::peer_rejected, copy.error());
          return;
        }
        store_.take_copy(*copy, name);
      });
}

} // namespace nutmegspur::proxy
