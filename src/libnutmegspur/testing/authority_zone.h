/// \file authority_zone.h
/// A zone of instances with the components that use the zone's authority (lease, orders, usage), on
/// a fake store, fake engines and a manual clock, with faults that a test sets.
///
/// The components are the ones that the daemon runs. A run is deterministic.
#pragma once

#include "testing/fake_engine.h"
#include "testing/fake_store.h"

#include <nutmegspur/order_manager.h>
#include <nutmegspur/usage_ledger.h>
#include <nutmegspur/zone_lease.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace nutmegspur::testing {

/// One entry process; it exists as long as it is in the zone's list.
struct zone_member {
  std::string name;
  unsigned rank = 0;
  std::unique_ptr<zone_lease> lease;
  std::unique_ptr<usage_ledger> usage;
  std::unique_ptr<order_manager> orders;
  std::set<upstream_id> marked; ///< Upstreams that get no new streams from this instance.

  bool stopping = false;
  bool paused = false;
  bool cut_from_engines = false;
  bool engine_answers_lost = false; ///< Orders arrive; answers and reports do not.
  bool cut_from_peers = false;
  std::deque<action> held_actions;
  std::deque<event> held_events;
};

/// How an action or an event is delivered, as chosen by a fault hook.
enum class delivery_mode {
  normal,
  drop,
  twice,
  late,      ///< Later than some of what was sent after it.
  very_late, ///< Later than the lease's time to live.
};

/// The zone under test.
class authority_zone {
 public:
  /// Called with each action before it is carried out, or each event before it is passed to its
  /// receiver.
  using action_hook = std::function<delivery_mode(zone_member&, const action&)>;
  using event_hook = std::function<delivery_mode(zone_member&, const event&)>;

  static constexpr seconds lease_ttl{10};
  static constexpr milliseconds short_delay{1500};
  static constexpr seconds long_delay{20};

  authority_zone();

  manual_clock clock;
  fake_store store;
  std::vector<fake_engine> engines;
  std::vector<std::unique_ptr<zone_member>> members;
  action_hook before_action;
  event_hook before_event;
  /// The state that the planner wants; every holder sets it each second.
  std::function<engine_state(const upstream_id&)> wanted_state;
  std::uint32_t wanted_upstreams = 1;
  /// Usage counted by all members so far, in requests.
  std::uint64_t counted = 0;
  /// Upper bound of the usage lost with killed processes, in requests.
  std::uint64_t max_lost = 0;
  bool counting = true;
  std::vector<std::string> trace;
  bool tracing = false;

  zone_member& add_member(unsigned rank);
  void kill(const std::string& name);
  void stop_gracefully(zone_member& it);
  void resume(zone_member& it);
  void run_for(duration span);
  [[nodiscard]] zone_member* holder();
  [[nodiscard]] zone_member* find(const std::string& name);

 private:
  struct in_flight {
    std::string to;
    event what;
  };

  struct stream {
    std::size_t engine = 0;
    time_point ends;
  };

  void build(zone_member& it);
  void feed(zone_member& to, const event& ev);
  void dispatch(zone_member& from, const action& what);
  void carry_out(zone_member& from, const action& what, delivery_mode how);
  void submit_call(zone_member& from, const call_platform& call, delivery_mode how);
  void deliver_order(zone_member& from, const send_order& what, delivery_mode how);
  void deliver_message(zone_member& from, const send_to_peer& what, delivery_mode how);
  void deliver_due();
  void receive(zone_member& to, const event& ev);
  void tick_all();
  void drive_streams();
  void drive_reports();
  void count_usage_and_plan();
  void replace_stopped();
  void replace_member(const std::string& name, unsigned rank);
  [[nodiscard]] std::optional<instance_id> other_member(const zone_member& it,
                                                        const std::optional<instance_id>& avoided);
  void note(const std::string& who, const std::string& what);

  std::multimap<time_point, in_flight> network_;
  std::vector<stream> streams_;
  std::uint64_t ticks_ = 0;
  int last_name_ = 0;
  std::map<std::string, std::deque<time_point>> recent_counts_;
};

} // namespace nutmegspur::testing
