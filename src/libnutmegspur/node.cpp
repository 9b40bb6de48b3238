// Composes the parts of the decision core for one instance.
#include <nutmegspur/config_replica.h>
#include <nutmegspur/event_log.h>
#include <nutmegspur/fairness_exchange.h>
#include <nutmegspur/fleet_planner.h>
#include <nutmegspur/membership.h>
#include <nutmegspur/node.h>
#include <nutmegspur/order_manager.h>
#include <nutmegspur/policy.h>
#include <nutmegspur/request_table.h>
#include <nutmegspur/resource_api.h>
#include <nutmegspur/shutdown.h>
#include <nutmegspur/usage_ledger.h>
#include <nutmegspur/zone_lease.h>

#include <algorithm>

namespace nutmegspur {

namespace {

/// A shutdown waits at most one usage window plus this margin for usage to be sealed and handed
/// over and for the lease to be released.
constexpr seconds usage_release_margin{20};
/// Maximum time, from when the configuration is complete, that readiness waits for the first
/// reports of the zone's engines.
constexpr seconds first_reports_timeout{3};

} // namespace

/// The parts, in the order in which they process an event: a part whose state others read comes
/// before them.
struct node::parts {
  settings config;
  std::unique_ptr<routing_policy> routing;
  std::unique_ptr<admission_policy> admission;
  config_replica replica;
  membership members;
  zone_lease lease;
  order_manager orders;
  usage_ledger usage;
  claim_manager claims;
  request_table requests;
  fairness_exchange fairness;
  fleet_planner fleet;
  resource_api resources;
  shutdown stopping;
  std::optional<bool> last_ready;
  std::optional<time_point> config_complete_at; ///< When the configuration was first complete.
  /// The upstreams whose reports this instance polls: on behalf of the zone, and for open orders.
  std::vector<set_polled_upstreams::target> polled_for_zone;
  std::vector<upstream_id> polled_for_orders;

  parts(const settings& given, std::uint64_t seed, std::unique_ptr<routing_policy> new_routing,
        std::unique_ptr<admission_policy> new_admission);

  action_list step(const moment& now, const event& ev);
  void update_readiness(const moment& now, action_list& out);
  [[nodiscard]] bool awaiting_first_reports(const moment& now);
  [[nodiscard]] std::vector<instance_id> zone_peers() const;
  [[nodiscard]] std::optional<instance_id> usage_holder() const;
  [[nodiscard]] std::optional<instance_id> usage_copy_peer() const;
  [[nodiscard]] milliseconds config_age(const moment& now) const;
  request_dependencies make_request_dependencies();
  order_hooks make_order_hooks();
  fleet_hooks make_fleet_hooks();
  shutdown_dependencies make_shutdown_dependencies();
  [[nodiscard]] std::size_t unreleased_duties() const;
  [[nodiscard]] bool keeps_lease_for_usage() const;
  [[nodiscard]] std::vector<instance_id> other_zone_members() const;
  void merge_polled_upstreams(action_list& out);
};

node::parts::parts(const settings& given, std::uint64_t seed,
                   std::unique_ptr<routing_policy> new_routing,
                   std::unique_ptr<admission_policy> new_admission)
    : config(given), routing(std::move(new_routing)), admission(std::move(new_admission)),
      replica({given.instance, given.zone},
              {[this] { return members.is_relay(); }, [this] { return members.neighbours(); },
               [this] { return members.has_subscribers(); }}),
      members({given.instance, given.zone, given.bind_address, given.peer_port},
              {[this](const upstream_id& id) { return replica.view()->drained(id); },
               [this](const upstream_id& id) { return orders.marked(id); }}),
      lease({given.instance, given.zone, given.lease_ttl},
            {[this] { return static_cast<unsigned>(members.rank().value_or(~0U)); },
             [this] { return usage.busy() || orders.busy() || keeps_lease_for_usage(); }}),
      orders({given.instance, given.zone}, make_order_hooks(), lease),
      usage({.self = given.instance, .zone = given.zone, .window = given.usage_window},
            {[this] { return usage_holder(); }, [this] { return usage_copy_peer(); }}, lease),
      claims({.instance = given.instance, .seed = seed, .lifetime = given.idempotency_lifetime}),
      requests({.instance = given.instance,
                .zone = given.zone,
                .region = given.region,
                .seed = seed,
                .cache_salt_secret = given.peer_secret},
               make_request_dependencies()),
      fairness({[this] { return members.update_source(); }}, *admission),
      fleet({.zone = given.zone}, make_fleet_hooks(), members.upstreams(), lease),
      resources({given.instance, given.zone, given.bootstrap_operator_key_sha256}, replica),
      stopping({.balancer_lag = given.balancer_lag,
                .drain_limit = given.drain_limit,
                .release_limit = given.usage_window + usage_release_margin},
               make_shutdown_dependencies()) {}

request_dependencies
node::parts::make_request_dependencies() {
  return {.config = [this] { return replica.view(); },
          .upstreams = members.upstreams(),
          .routing = *routing,
          .admission = *admission,
          .claims = claims,
          .count_usage = [this](const moment& now, const usage_line& line,
                                action_list& out) { usage.count(now, line, out); },
          .config_age = [this](const moment& now) { return config_age(now); }};
}

order_hooks
node::parts::make_order_hooks() {
  order_hooks hooks;
  hooks.address = [this](const upstream_id& id) -> std::optional<engine_address> {
    const auto& all = members.upstreams();
    const auto it = all.find(id);
    if (it == all.end()) {
      return std::nullopt;
    }
    return engine_address{it->second.listed.address, it->second.listed.port};
  };
  hooks.has_streams = [this](const upstream_id& id) {
    const auto& all = members.upstreams();
    const auto it = all.find(id);
    return it != all.end() && it->second.own_in_flight > 0;
  };
  // Includes peers without a connection: the change must not proceed without their acknowledgement.
  hooks.drain.peers = [this] { return other_zone_members(); };
  return hooks;
}

fleet_hooks
node::parts::make_fleet_hooks() {
  return {
      .set_wanted_state =
          [this](const moment& now, const upstream_id& id, const engine_state& wanted,
                 action_list& out) { orders.set_wanted_state(now, id, wanted, out); },
      .set_wanted_upstreams =
          [this](const moment& now, const std::string& kind, std::uint32_t wanted,
                 action_list& out) { orders.set_wanted_upstreams(now, kind, wanted, out); },
      .instances = [this] { return static_cast<std::uint32_t>(other_zone_members().size() + 1); }};
}

shutdown_dependencies
node::parts::make_shutdown_dependencies() {
  return {.live_work = [this] { return requests.live() + claims.unfinished(); },
          .close = [this] { requests.close(); },
          .fail_live = [this](const moment& now,
                              action_list& out) { requests.fail_unfinished(now, out); },
          .release = [this](const moment& now, action_list& out) { usage.flush(now, out); },
          .unreleased_duties = [this] { return unreleased_duties(); }};
}

std::size_t
node::parts::unreleased_duties() const {
  std::size_t n = 0;
  n += lease.released() ? 0 : 1;
  n += usage.handed_over() ? 0 : 1;
  return n;
}

/// The zone's other instances that are considered alive.
std::vector<instance_id>
node::parts::other_zone_members() const {
  std::vector<instance_id> others;
  for (const auto& [id, it] : members.members().all()) {
    if (it.entry.zone == config.zone && id != config.instance && members.alive(id)) {
      others.push_back(id);
    }
  }
  return others;
}

/// An instance that is alone in its zone keeps the lease until it has handed over the usage of its
/// last request when it shuts down: no other instance could report that usage.
bool
node::parts::keeps_lease_for_usage() const {
  const bool releasing = stopping.phase() == shutdown_phase::releasing;
  return other_zone_members().empty() && !(releasing && usage.handed_over());
}

/// Adds the engines with an open order to the polled upstreams: this instance polls their reports
/// itself, even if another one polls them on behalf of the zone.
void
node::parts::merge_polled_upstreams(action_list& out) {
  set_polled_upstreams all;
  bool changed = false;
  std::erase_if(out, [&](const action& it) {
    const auto* polled = std::get_if<set_polled_upstreams>(&it);
    if (polled != nullptr) {
      polled_for_zone = polled->targets;
      changed = true;
    }
    return polled != nullptr;
  });
  auto changing = orders.changing_upstreams();
  changed = changed || changing != polled_for_orders;
  if (!changed) {
    return;
  }
  polled_for_orders = std::move(changing);
  all.targets = polled_for_zone;
  for (const auto& id : polled_for_orders) {
    const auto known = members.upstreams().find(id);
    const bool listed = std::any_of(all.targets.begin(), all.targets.end(),
                                    [&](const auto& it) { return it.upstream == id; });
    if (!listed && known != members.upstreams().end()) {
      all.targets.push_back({id, known->second.listed.address, known->second.listed.port});
    }
  }
  out.emplace_back(std::move(all));
}

milliseconds
node::parts::config_age(const moment& now) const {
  return std::chrono::duration_cast<milliseconds>(now.boot - replica.last_confirmed());
}

std::vector<instance_id>
node::parts::zone_peers() const {
  std::vector<instance_id> peers;
  for (const auto& it : members.neighbours()) {
    const member* known = members.members().find(it);
    if (known != nullptr && known->entry.zone == config.zone) {
      peers.push_back(it);
    }
  }
  return peers;
}

std::optional<instance_id>
node::parts::usage_holder() const {
  if (lease.last_seen_holder()) {
    return lease.last_seen_holder();
  }
  const auto relays = members.relays(config.zone);
  return relays.empty() ? std::nullopt : std::optional{relays.front()};
}

std::optional<instance_id>
node::parts::usage_copy_peer() const {
  const auto holder = usage_holder();
  for (const auto& it : zone_peers()) {
    if (it != holder) {
      return it;
    }
  }
  return std::nullopt;
}

/// Whether readiness must wait for the first report of an engine in this zone: until then it is
/// not known what the engine serves, and requests for it would be refused.
bool
node::parts::awaiting_first_reports(const moment& now) {
  if (!config_complete_at) {
    config_complete_at = now.boot;
  }
  if (now.boot >= *config_complete_at + first_reports_timeout) {
    return false;
  }
  const auto& all = members.upstreams();
  return members.listed().all().empty() ||
         std::any_of(all.begin(), all.end(), [this](const auto& row) {
           const upstream_state& it = row.second;
           return it.listed.kind == instance_kind::engine && it.listed.zone == config.zone &&
                  !it.leaving && it.load_measured.boot == time_point{};
         });
}

void
node::parts::update_readiness(const moment& now, action_list& out) {
  if (stopping.phase() != shutdown_phase::serving) {
    return;
  }
  bool ready = replica.ready();
  std::string reason = ready ? "" : "no complete configuration yet";
  if (ready && !last_ready.value_or(false) && awaiting_first_reports(now)) {
    ready = false;
    reason = "waiting for the first reports of the zone's engines";
  }
  if (last_ready == ready) {
    return;
  }
  last_ready = ready;
  out.emplace_back(set_ready{ready, std::move(reason)});
  if (ready) {
    out.emplace_back(write_log{log_event::process_ready, {}});
  }
}

action_list
node::parts::step(const moment& now, const event& ev) {
  action_list out;
  replica.step(now, ev, out);
  members.step(now, ev, out);
  lease.step(now, ev, out);
  orders.step(now, ev, out);
  usage.step(now, ev, out);
  claims.step(now, ev, out);
  requests.step(now, ev, out);
  fairness.step(now, ev, out);
  fleet.step(now, ev, out);
  resources.step(now, ev, out);
  merge_polled_upstreams(out);
  update_readiness(now, out);
  stopping.step(now, ev, out);
  return out;
}

node::node(std::unique_ptr<parts> all) : parts_(std::move(all)) {}

node::~node() = default;

result<std::unique_ptr<node>>
node::make(const settings& config, std::uint64_t seed) {
  routing_options chosen_routing_options;
  chosen_routing_options.seed = seed;
  auto routing = routing_registry::instance().make(config.routing_policy, chosen_routing_options);
  if (!routing) {
    return fail(routing.error());
  }
  admission_options chosen_admission_options;
  chosen_admission_options.max_waiting = config.max_in_flight;
  auto admission =
      admission_registry::instance().make(config.admission_policy, chosen_admission_options);
  if (!admission) {
    return fail(admission.error());
  }
  auto all = std::make_unique<parts>(config, seed, std::move(*routing), std::move(*admission));
  return std::unique_ptr<node>{new node{std::move(all)}};
}

action_list
node::step(const moment& now, const event& ev) {
  return parts_->step(now, ev);
}

} // namespace nutmegspur
