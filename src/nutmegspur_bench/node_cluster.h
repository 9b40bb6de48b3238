/// \file node_cluster.h
/// Complete decision cores of many instances on one fake platform, with a manual clock.
#pragma once

#include "testing/fake_store.h"

#include <nutmegspur/node.h>

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace nutmegspur::bench {

/// The cluster. Messages between instances and platform responses are delivered in the next round.
class node_cluster {
 public:
  static constexpr milliseconds round_length{100};
  static constexpr milliseconds progress_period{1'000};

  node_cluster(int zones, int instances_per_zone, int engines_per_zone);

  /// Replaces every instance by a new process at the same time.
  void restart_all();
  void run(duration period);

  /// Number of platform calls so far, by the index of the request in `platform_request`.
  [[nodiscard]] std::vector<std::uint64_t> calls() const;

  /// Number of open watches.
  [[nodiscard]] std::size_t watches() const { return watches_.size(); }

  [[nodiscard]] std::size_t size() const { return nodes_.size(); }

  manual_clock clock;
  testing::fake_store store;
  bool store_is_down = false; ///< Watches get no progress notifications.
  std::uint64_t messages = 0;

 private:
  struct instance {
    settings config;
    std::unique_ptr<node> core;
    std::vector<instance_id> dial_targets;
  };

  using link = std::pair<instance_id, instance_id>;

  void run_round();
  void deliver(instance& to, const event& ev);
  void carry_out(instance& from, action& what);
  void update_links();
  void start(instance& it);
  void record_watch_end(const instance_id& id, const event& what);
  void send_watch_progress();

  std::map<instance_id, instance> nodes_;
  std::map<instance_id, zone_id> zones_;
  std::set<link> links_;
  std::deque<std::pair<instance_id, peer_received>> in_flight_;
  std::set<std::pair<instance_id, call_id>> watches_;
  time_point last_progress_{};
  std::uint64_t processes_ = 0;
};

} // namespace nutmegspur::bench
