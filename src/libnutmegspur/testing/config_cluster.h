/// \file config_cluster.h
/// Configuration replicas of several zones over one fake store and a fake network, on a manual
/// clock. Tests choose what goes wrong; what each replica holds is compared with the store's
/// history whenever it changes.
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

/// The operator's key of every cluster, by its digest.
std::string operator_digest();

/// What the network does with a message.
struct peer_fate {
  int copies = 1;                   ///< 0: lost.
  duration delay = milliseconds{1}; ///< Of the first copy; the second comes as much later.
};

/// One instance of the cluster.
struct config_member {
  std::string name;
  std::string zone;
  bool relay = false;
  bool up = true;
  bool paused = false;
  bool doubled_batches = false; ///< Each batch of its watches comes twice.
  std::unique_ptr<config_replica> replica;
  std::unique_ptr<resource_api> api;
  std::vector<event> inbox; ///< What came while it was paused.
  std::set<std::string> withdrawn;
  std::map<std::uint64_t, resource_response> answers;
  config_view seen;
  revision claimed; ///< Up to which it last said to hold everything.
};

/// The cluster. A relay is connected to its zone's members and to the relays of other zones; any
/// other instance to its zone's relays.
class config_cluster {
 public:
  using network_rule = std::function<peer_fate(const std::string& from, const std::string& to)>;

  explicit config_cluster(std::uint64_t seed);

  void start(const std::string& name, const std::string& zone, bool relay);
  void kill(const std::string& name);
  void pause(const std::string& name);
  void resume(const std::string& name);
  /// Ends the connection between two instances and refuses new ones, until it is mended.
  void cut(const std::string& a, const std::string& b);
  void mend_all();

  /// Runs for `span`.
  void run(duration span);
  /// Runs until `done`, at most for `limit`; says whether it is done.
  bool run_until(const std::function<bool()>& done, duration limit);

  /// Hands a call of the operators' API to `name`; gives the number of its answer.
  std::uint64_t request(const std::string& name, resource_request what);
  std::uint64_t put(const std::string& name, const resource& it,
                    std::optional<revision> if_revision = {});
  /// The answer, if it has come.
  [[nodiscard]] const resource_response* answer(const std::string& name, std::uint64_t id) const;

  [[nodiscard]] config_member& at(const std::string& name) { return *members_.at(name); }

  [[nodiscard]] std::vector<std::string> names() const;
  /// The instances that run and do not hold every change up to `wanted`.
  [[nodiscard]] std::vector<std::string> behind(revision wanted) const;

  /// The first broken rule, or empty.
  [[nodiscard]] const std::string& broken() const { return broken_; }

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
  void feed(config_member& to, const event& ev);
  void step(config_member& to, const event& ev);
  void carry_out(config_member& from, const action& what);
  void deliver();
  void check(config_member& it);
  void break_rule(const config_member& it, const std::string& what);
  [[nodiscard]] bool linked(const config_member& a, const config_member& b) const;
  [[nodiscard]] std::vector<instance_id> sources_of(const std::string& name) const;

  std::map<std::string, std::unique_ptr<config_member>> members_;
  std::vector<message> messages_;
  std::set<std::pair<std::string, std::string>> cuts_;
  std::uint64_t last_request_ = 0;
  std::uint64_t steps_ = 0;
  std::string broken_;
};

} // namespace nutmegspur::testing
