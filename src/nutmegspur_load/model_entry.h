/// \file model_entry.h
/// One simulated entry instance: its request table, policies and fleet planner, and its view of the
/// upstreams.
#pragma once

#include "model_world.h"

#include <nutmegspur/fleet_planner.h>
#include <nutmegspur/policy.h>
#include <nutmegspur/request_table.h>

#include <functional>
#include <map>
#include <memory>

namespace nutmegspur::load {

/// Authority over a zone that the simulation sets; while `held`, it is always valid for 10 s more.
class simulated_authority final : public authority_source {
 public:
  [[nodiscard]] std::optional<authority> current(time_point now) const override {
    return held ? std::optional{authority{fence{1}, now + seconds{10}}} : std::nullopt;
  }

  bool held = false;
};

/// Options of a simulated entry instance.
struct simulated_entry_options {
  std::size_t index = 0;
  zone_plan zone;
  std::uint64_t seed = 1;
  std::uint32_t block_tokens = 16;
  bool plans_fleet = false;
  fleet_options fleet;
};

/// An entry instance: a request table with its policies, claims and a fleet planner.
class simulated_entry {
 public:
  static result<std::unique_ptr<simulated_entry>> make(const simulated_entry_options& options,
                                                       const policy_bundle& policy,
                                                       const config_view& config,
                                                       fleet_hooks hooks);

  simulated_entry(const simulated_entry&) = delete;
  simulated_entry& operator=(const simulated_entry&) = delete;
  ~simulated_entry() = default;

  action_list step(const moment& now, const event& ev);

  simulated_entry_options options;
  upstream_map upstreams;
  std::map<upstream_id, std::uint64_t> events_seen;
  simulated_authority authority;
  std::unique_ptr<admission_policy> admission;

 private:
  simulated_entry(simulated_entry_options initial_options, std::unique_ptr<routing_policy> routing,
                  std::unique_ptr<admission_policy> admitter, const config_view& config,
                  fleet_hooks hooks);

  std::unique_ptr<routing_policy> routing_;
  claim_manager claims_;
  request_table table_;
  fleet_planner planner_;
};

/// Returns the configuration of a scenario: its teams, a key for each, and one model offered to
/// all.
config_view simulation_config(const scenario& in);

/// Returns the digest of a team's key in `simulation_config`; `team` is its index in the scenario.
std::string team_key_digest(std::size_t team);

/// Name of the only language model in a simulation.
inline constexpr const char* scenario_model = "model-1";

} // namespace nutmegspur::load
