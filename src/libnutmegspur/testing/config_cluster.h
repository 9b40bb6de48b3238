/// \file config_cluster.h
/// Test fixture: configuration replicas and resource APIs of instances in several zones, on one
/// fake store, a simulated network and a manual clock. Tests inject faults. Whenever a replica's
/// configuration changes, it is compared with the store's content at the same revision.
#pragma once

#include "testing/fake_store.h"

#include <nutmegspur/config_replica.h>
#include <nutmegspur/resource_api.h>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace nutmegspur::testing {

/// Digest of the bootstrap operator key of every cluster.
std::string operator_digest();

/// How the simulated network delivers a message.
struct message_delivery {
  int copies = 1;                   ///< 0: the message is lost.
  duration delay = milliseconds{1}; ///< Of the first copy, and between one copy and the next.
};

/// An instance of the cluster.
struct config_member {
  std::string name;
  std::string zone;
  bool relay = false;
  bool up = true;
  bool paused = false;
  bool duplicate_batches = false; ///< Each batch of its watches is delivered twice.
  std::unique_ptr<config_replica> replica;
  std::unique_ptr<resource_api> api;
  std::vector<event> inbox;        ///< Events that arrived while it was paused.
  std::set<std::string> withdrawn; ///< All keys that its replica has reported as withdrawn.
  std::map<std::uint64_t, resource_response> answers;
  config_view last_view;
  revision last_revision; ///< The replica's revision at the last check.
};

/// The cluster. A relay is connected to all instances of its zone and to the relays of other zones;
/// any other instance is connected to the relays of its zone.
class config_cluster {
 public:
  using network_rule =
      std::function<message_delivery(const std::string& from, const std::string& to)>;

  explicit config_cluster(std::uint64_t seed);

  void start(const std::string& name, const std::string& zone, bool relay);
  void kill(const std::string& name);
  void pause(const std::string& name);
  void resume(const std::string& name);
  /// Ends the connection between two instances and prevents new ones until `heal_all`.
  void partition(const std::string& a, const std::string& b);
  void heal_all();

  /// Runs the cluster for `span` of simulated time.
  void run(duration span);
  /// Runs until `done` holds, for at most `limit`. Returns whether `done` holds.
  bool run_until(const std::function<bool()>& done, duration limit);

  /// Sends an operator's call to instance `name`. Returns the id for `answer`.
  std::uint64_t request(const std::string& name, resource_request what);
  std::uint64_t put(const std::string& name, const resource& it,
                    std::optional<revision> if_revision = {});
  /// The answer to a call, or null if none has arrived.
  [[nodiscard]] const resource_response* answer(const std::string& name, std::uint64_t id) const;

  [[nodiscard]] config_member& at(const std::string& name) { return *members_.at(name); }

  [[nodiscard]] std::vector<std::string> names() const;
  /// The running instances that do not hold every change up to `wanted`.
  [[nodiscard]] std::vector<std::string> behind(revision wanted) const;

  /// The first violation of an invariant, or empty.
  [[nodiscard]] const std::string& violation() const { return violation_; }

  fake_store store;
  manual_clock clock;
  network_rule network;

 private:
  struct message {
    time_point due;
    std::string from;
    std::string to;
    peer_message what;
  };

  void advance();
  void dispatch(config_member& to, const event& ev);
  void step(config_member& to, const event& ev);
  void execute(config_member& from, const action& what);
  void deliver();
  void check_invariants(config_member& it);
  void report_violation(const config_member& it, const std::string& what);
  [[nodiscard]] bool linked(const config_member& a, const config_member& b) const;
  [[nodiscard]] std::vector<instance_id> sync_peers_of(const std::string& name) const;

  std::map<std::string, std::unique_ptr<config_member>> members_;
  std::vector<message> messages_;
  std::set<std::pair<std::string, std::string>> partitions_;
  std::uint64_t last_request_ = 0;
  std::uint64_t steps_ = 0;
  std::string violation_;
};

} // namespace nutmegspur::testing
