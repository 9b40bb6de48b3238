// Runs decision cores, the links between them and the fake platform in rounds of 100 ms.
#include "node_cluster.h"

#include <variant>

namespace nutmegspur::bench {

node_cluster::node_cluster(int zones, int instances_per_zone, int engines_per_zone) {
  std::vector<listed_instance> list;
  std::uint16_t port = 0;
  for (int zone = 0; zone < zones; ++zone) {
    const zone_id zone_name{"zone-" + std::to_string(zone)};
    for (int n = 0; n < instances_per_zone; ++n) {
      const instance_id id{"entry-" + std::to_string(zone) + "-" + std::to_string(n)};
      instance& it = nodes_[id];
      it.config.instance = id;
      it.config.zone = zone_name;
      it.config.peer_port = ++port;
      it.config.peer_secret = "a secret shared by all peers";
      zones_[id] = zone_name;
      list.push_back(
          {id.value, instance_kind::entry, zone_name, "r", "127.0.0.1", port, "", false});
    }
    for (int n = 0; n < engines_per_zone; ++n) {
      list.push_back({"engine-" + std::to_string(zone) + "-" + std::to_string(n),
                      instance_kind::engine, zone_name, "r", "127.0.0.1", ++port, "", false});
    }
  }
  store.set_instances(list);
  for (int n = 0; n < 8; ++n) {
    store.put(clock.now(), "cfg/team/team-" + std::to_string(n), R"({"weight":1})");
  }
  restart_all();
}

void
node_cluster::start(instance& it) {
  it.core = std::move(*node::make(it.config, ++processes_));
  it.dial_targets.clear();
}

void
node_cluster::restart_all() {
  links_.clear();
  in_flight_.clear();
  watches_.clear();
  for (auto& [id, it] : nodes_) {
    store.end_watches(clock.now(), id.value);
    store.forget(id.value);
    start(it);
  }
}

void
node_cluster::run(duration period) {
  for (duration passed{0}; passed < period; passed += round_length) {
    run_round();
  }
}

std::vector<std::uint64_t>
node_cluster::calls() const {
  std::vector<std::uint64_t> counts;
  for (std::size_t n = 0; n < std::variant_size_v<platform_request>; ++n) {
    counts.push_back(store.calls(n));
  }
  return counts;
}

void
node_cluster::run_round() {
  clock.advance(round_length);
  update_links();
  const auto arriving = std::exchange(in_flight_, {});
  for (const auto& [to, ev] : arriving) {
    if (links_.contains({to, ev.peer})) {
      deliver(nodes_.at(to), ev);
    }
  }
  for (const auto& it : store.take_due(clock.now())) {
    record_watch_end(instance_id{it.client}, it.what);
    deliver(nodes_.at(instance_id{it.client}), it.what);
  }
  send_watch_progress();
  for (auto& [id, it] : nodes_) {
    deliver(it, tick{});
  }
}

void
node_cluster::record_watch_end(const instance_id& id, const event& what) {
  if (const auto* ended = std::get_if<watch_ended>(&what)) {
    watches_.erase({id, ended->watch});
  }
  const auto* reply = std::get_if<platform_reply>(&what);
  if (reply != nullptr && !reply->answer) {
    watches_.erase({id, reply->call});
  }
}

// Every second each watch gets an empty batch with the store's revision, as a progress
// notification.
void
node_cluster::send_watch_progress() {
  if (store_is_down || clock.now().boot - last_progress_ < progress_period) {
    return;
  }
  last_progress_ = clock.now().boot;
  const auto active_watches = watches_;
  for (const auto& [id, call] : active_watches) {
    deliver(nodes_.at(id), watch_batch{call, {}, store.current()});
  }
}

void
node_cluster::deliver(instance& to, const event& ev) {
  for (auto& what : to.core->step(clock.now(), ev)) {
    carry_out(to, what);
  }
}

void
node_cluster::carry_out(instance& from, action& what) {
  const instance_id& id = from.config.instance;
  if (auto* message = std::get_if<send_to_peer>(&what)) {
    ++messages;
    in_flight_.emplace_back(message->peer, peer_received{id, std::move(message->message)});
  } else if (const auto* peers = std::get_if<set_peers>(&what)) {
    from.dial_targets.clear();
    for (const auto& it : peers->targets) {
      from.dial_targets.push_back(it.peer);
    }
  } else if (const auto* call = std::get_if<call_platform>(&what)) {
    if (std::holds_alternative<watch_start>(call->request)) {
      watches_.insert({id, call->call});
    } else if (const auto* stop = std::get_if<watch_stop>(&call->request)) {
      watches_.erase({id, stop->watch});
    }
    store.submit(clock.now(), id.value, *call);
  }
}

void
node_cluster::update_links() {
  std::set<link> links;
  for (const auto& [id, it] : nodes_) {
    for (const auto& to : it.dial_targets) {
      if (nodes_.contains(to)) {
        links.insert({id, to});
        links.insert({to, id});
      }
    }
  }
  const auto previous_links = std::exchange(links_, links);
  for (const auto& it : previous_links) {
    if (!links.contains(it)) {
      deliver(nodes_.at(it.first), peer_disconnected{it.second});
    }
  }
  for (const auto& it : links) {
    if (!previous_links.contains(it)) {
      deliver(nodes_.at(it.first), peer_connected{it.second, zones_.at(it.second)});
    }
  }
}

} // namespace nutmegspur::bench
