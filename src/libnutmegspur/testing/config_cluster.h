/// \file config_cluster.h
/// Configuration replicas of several zones over one fake store and a fake network, on a manual
/// clock. Tests choose what goes wrong; each replica's revisions are checked at every step.
#pragma once

#include "testing/fake_store.h"

#include <nutmegspur/config_replica.h>
#include <nutmegspur/resource_api.h>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace nutmegspur::testing {

/// How the network treats a message between two instances.
enum class peer_fault { none, lost, doubled, delayed };

/// One instance of the cluster.
struct config_member {
  std::string name;
  std::string zone;
  bool relay = false;
  bool up = true;
  bool paused = false;
  std::unique_ptr<config_replica> replica;
  std::unique_ptr<resource_api> api;
  std::vector<event> inbox;                         ///< What came while it was paused.
  std::vector<std::string> withdrawn;               ///< All that its steps named.
  std::map<std::uint64_t, resource_answer> answers; ///< Last answer of each request.
  revision content;                                 ///< Of the snapshot last seen; it only grows.
};

/// The cluster. A relay is connected to its zone's members and to the relays of other zones.
class config_cluster {
 public:
  using network_rule = std::function<peer_fault(const std::string& from, const std::string& to)>;

  explicit config_cluster(std::uint64_t seed);

  /// Adds an instance and starts it.
  void start(const std::string& name, const std::string& zone, bool relay);
  /// The instance is gone at once.
  void kill(const std::string& name);
  void pause(const std::string& name);
  void resume(const std::string& name);
  /// Ends connections and refuses new ones between the two while `cut`.
  void cut(const std::string& a, const std::string& b, bool cut);

  /// Runs for `span`, with a tick of every replica each 100 ms.
  void run(duration span);
  /// Runs until `done` or until `limit` has passed; says whether it is done.
  bool run_until(const std::function<bool()>& done, duration limit);

  /// Hands a call of the operators' API to `name`; the answer comes in its `answers`.
  std::uint64_t request(const std::string& name, resource_request what);
  /// Puts `it` through `name` and runs until it is answered or `limit` has passed.
  std::optional<resource_answer> put(const std::string& name, const resource& it,
                                     duration limit = seconds{10});

  config_member& at(const std::string& name) { return *members_.at(name); }

  /// Whether every instance that is up and not paused has `revision` in force.
  [[nodiscard]] bool in_force(revision at) const;

  /// The first broken rule, or empty: a replica went back, or showed a state that never was.
  [[nodiscard]] const std::string& broken() const { return broken_; }

  fake_store store;
  manual_clock clock;
  network_rule network;
  std::vector<std::string> trace; ///< What happened, for a failure's message.

 private:
  struct message {
    time_point due;
    std::string from;
    std::string to;
    peer_message what;
  };

  void feed(config_member& to, const event& ev);
  void carry_out(config_member& from, const action& what);
  void deliver_messages();
  void deliver_store();
  void check(config_member& it);
  [[nodiscard]] bool linked(const config_member& a, const config_member& b) const;
  [[nodiscard]] std::vector<instance_id> sources_of(const config_member& it) const;
  void connect_all(config_member& it);

  std::map<std::string, std::unique_ptr<config_member>> members_;
  std::vector<message> messages_;
  std::set<std::pair<std::string, std::string>> cuts_;
  std::mt19937_64 random_;
  std::uint64_t last_request_ = 0;
  std::string broken_;
};

} // namespace nutmegspur::testing
