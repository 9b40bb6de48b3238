/// \file member_cluster.h
/// Simulated cluster of membership parts on one manual clock. Connections can be cut and instances
/// stopped. Used by tests and benchmarks.
#pragma once

#include <nutmegspur/membership.h>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace nutmegspur::testing {

/// State of one instance of the cluster.
struct cluster_instance {
  listed_instance listed;
  std::unique_ptr<membership> part;
  bool running = true;
  std::vector<instance_id> connection_targets;
  std::vector<upstream_id> polled_engines;
  std::set<upstream_id> drains;
  std::uint64_t messages_sent = 0;
  std::uint64_t bytes_sent = 0; ///< Size of the encoded messages; counted if `count_traffic`.
  std::uint64_t list_calls = 0;
};

/// The cluster. A message arrives one round of `round_length` after it was sent.
class member_cluster {
 public:
  static constexpr milliseconds round_length{100};

  manual_clock clock;
  std::map<instance_id, cluster_instance> instances;
  std::vector<listed_instance> list; ///< The contents of the instance list.
  bool list_unavailable = false;
  bool count_traffic = false;
  /// Whether two instances can communicate.
  std::function<bool(const cluster_instance&, const cluster_instance&)> reachable =
      [](const auto&, const auto&) { return true; };

  instance_id add(const std::string& zone, const std::string& name) {
    instance_id id{name};
    cluster_instance& it = instances[id];
    it.listed = {name, instance_kind::entry, zone_id{zone}, "r", "127.0.0.1", next_port_++, "",
                 false};
    list.push_back(it.listed);
    start(id);
    return id;
  }

  upstream_id add_engine(const std::string& zone, const std::string& name) {
    list.push_back(
        {name, instance_kind::engine, zone_id{zone}, "r", "127.0.0.1", next_port_++, "", false});
    return upstream_id{name};
  }

  /// Starts an instance, or restarts it without its state.
  void start(const instance_id& id) {
    cluster_instance& it = instances.at(id);
    upstream_tracker_hooks hooks;
    hooks.drained = [&it](const upstream_id& upstream) { return it.drains.contains(upstream); };
    it.part = std::make_unique<membership>(
        membership_options{id, it.listed.zone, it.listed.address, it.listed.port}, hooks);
    it.running = true;
    it.connection_targets.clear();
  }

  void deliver(const instance_id& id, const event& ev) {
    cluster_instance& it = instances.at(id);
    action_list out;
    it.part->step(clock.now(), ev, out);
    for (auto& what : out) {
      execute(it, what);
    }
  }

  /// Runs one round: advances the clock, updates connections, delivers messages and a tick to each
  /// running instance.
  void round() {
    clock.advance(round_length);
    update_links();
    auto arriving = std::move(in_flight_);
    in_flight_.clear();
    for (auto& it : arriving) {
      if (links_.contains({it.first, it.second.peer}) && instances.at(it.first).running) {
        deliver(it.first, it.second);
      }
    }
    for (auto& [id, it] : instances) {
      if (it.running) {
        deliver(id, tick{});
      }
    }
  }

  void run(duration span) {
    for (duration passed{0}; passed < span; passed += round_length) {
      round();
    }
  }

  /// Runs rounds until `holds()`. Returns the simulated time that took, or empty if it took longer
  /// than `limit`.
  template <class F> std::optional<duration> run_until(F holds, duration limit) {
    for (duration passed{0}; passed <= limit; passed += round_length) {
      if (holds()) {
        return passed;
      }
      round();
    }
    return std::nullopt;
  }

  /// Number of instances that `id` is connected to.
  [[nodiscard]] std::size_t connection_count(const instance_id& id) const {
    return static_cast<std::size_t>(std::count_if(
        links_.begin(), links_.end(), [&id](const auto& it) { return it.first == id; }));
  }

  /// Whether `holds` is true for every running instance.
  template <class F> [[nodiscard]] bool all_running(F holds) const {
    return std::all_of(instances.begin(), instances.end(),
                       [&holds](const auto& it) { return !it.second.running || holds(it.second); });
  }

 private:
  using link = std::pair<instance_id, instance_id>;

  void execute(cluster_instance& from, action& what) {
    const instance_id id{from.listed.name};
    if (auto* message = std::get_if<send_to_peer>(&what)) {
      if (count_traffic) {
        from.messages_sent += 1;
        from.bytes_sent += encode(message->message).size();
      }
      in_flight_.emplace_back(message->peer, peer_received{id, std::move(message->message)});
    } else if (const auto* peers = std::get_if<set_peers>(&what)) {
      from.connection_targets.clear();
      for (const auto& it : peers->targets) {
        from.connection_targets.push_back(it.peer);
      }
    } else if (const auto* polled = std::get_if<set_polled_upstreams>(&what)) {
      from.polled_engines.clear();
      for (const auto& it : polled->targets) {
        from.polled_engines.push_back(it.upstream);
      }
    } else if (const auto* call = std::get_if<call_platform>(&what)) {
      from.list_calls += 1;
      result<platform_answer> answer = instances_reply{list};
      if (list_unavailable) {
        answer = fail({error_code::unavailable, step::platform_call, "platform",
                       "instance list unavailable"});
      }
      replies_.push_back({id, {call->call, std::move(answer), clock.now().boot}});
      deliver_replies();
    }
  }

  void deliver_replies() {
    if (delivering_) {
      return;
    }
    delivering_ = true;
    while (!replies_.empty()) {
      const auto [id, reply] = std::move(replies_.front());
      replies_.pop_front();
      deliver(id, reply);
    }
    delivering_ = false;
  }

  void update_links() {
    std::set<link> now;
    for (const auto& [id, it] : instances) {
      for (const auto& to : it.connection_targets) {
        const auto other = instances.find(to);
        if (it.running && other != instances.end() && other->second.running &&
            reachable(it, other->second)) {
          now.insert({id, to});
          now.insert({to, id});
        }
      }
    }
    const auto before = std::exchange(links_, now);
    for (const auto& it : before) {
      if (!now.contains(it) && instances.at(it.first).running) {
        deliver(it.first, peer_disconnected{it.second});
      }
    }
    for (const auto& it : now) {
      if (!before.contains(it)) {
        deliver(it.first, peer_connected{it.second, instances.at(it.second).listed.zone});
      }
    }
  }

  std::set<link> links_;
  std::deque<std::pair<instance_id, peer_received>> in_flight_;
  std::deque<std::pair<instance_id, platform_reply>> replies_;
  std::uint16_t next_port_ = 1000;
  bool delivering_ = false;
};

} // namespace nutmegspur::testing
