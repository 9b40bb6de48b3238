/// \file model_entry.cpp
/// Builds and steps a simulated entry instance; builds the configuration of a scenario.

#include "model_entry.h"

namespace nutmegspur::load {

namespace {

request_options
table_options(const simulated_entry_options& from) {
  request_options it;
  it.instance = instance_id{"entry-" + std::to_string(from.index)};
  it.zone = zone_id{from.zone.name};
  it.region = from.zone.region;
  it.seed = from.seed;
  it.cache_salt_secret = "model";
  return it;
}

} // namespace

result<std::unique_ptr<simulated_entry>>
simulated_entry::make(const simulated_entry_options& options, const policy_bundle& policy,
                      const config_view& config, fleet_hooks hooks) {
  routing_options routing;
  routing.seed = options.seed;
  routing.block_tokens = options.block_tokens;
  auto router = routing_registry::instance().make(policy.routing, routing);
  if (!router) {
    return fail(router.error());
  }
  auto admitter = admission_registry::instance().make(policy.admission, admission_options{});
  if (!admitter) {
    return fail(admitter.error());
  }
  return std::unique_ptr<simulated_entry>(new simulated_entry(
      options, std::move(*router), std::move(*admitter), config, std::move(hooks)));
}

simulated_entry::simulated_entry(simulated_entry_options initial_options,
                                 std::unique_ptr<routing_policy> routing,
                                 std::unique_ptr<admission_policy> admitter,
                                 const config_view& config, fleet_hooks hooks)
    : options(std::move(initial_options)), admission(std::move(admitter)),
      routing_(std::move(routing)),
      claims_({instance_id{"entry-" + std::to_string(options.index)}, options.seed}),
      table_(table_options(options),
             {[config] { return config; }, upstreams, *routing_, *admission, claims_, {}, {}}),
      planner_(options.fleet, std::move(hooks), upstreams, authority) {}

action_list
simulated_entry::step(const moment& now, const event& ev) {
  action_list out;
  table_.step(now, ev, out);
  if (options.plans_fleet) {
    planner_.step(now, ev, out);
  }
  return out;
}

std::string
team_key_digest(std::size_t team) {
  constexpr std::size_t digest_digits = 64;
  auto text = std::to_string(team);
  return std::string(digest_digits - text.size(), '0') + text;
}

config_view
simulation_config(const scenario& in) {
  auto config = std::make_shared<config_snapshot>();
  config->at = revision{1};
  offer_spec offer;
  offer.model = model_id{scenario_model};
  for (std::size_t i = 0; i < in.teams.size(); ++i) {
    const auto& team = in.teams[i];
    config->put({team.name, revision{1}, team_spec{team.weight}});
    key_spec key;
    key.team = team_id{team.name};
    key.secret_sha256 = team_key_digest(i);
    config->put({"key-" + team.name, revision{1}, key});
    offer.teams.push_back(team_id{team.name});
  }
  model_spec model;
  model.context_tokens = 1'000'000;
  config->put({scenario_model, revision{1}, model});
  config->put({"offer", revision{1}, offer});
  return config;
}

} // namespace nutmegspur::load
