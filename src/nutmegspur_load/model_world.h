/// \file model_world.h
/// Runs a scenario through the decision core on a manual clock: real request tables, policies and
/// planners of all entry instances, against the engines' timing model, in one process.
///
/// Beside the engines it has only delays between zones, lagged reports and the scenario's faults.
/// The same scenario and policy give the same figures on every run.
#pragma once

#include "measures.h"
#include "scenario.h"

#include <span>
#include <string>

namespace nutmegspur::load {

/// Which policies run together.
struct policy_bundle {
  std::string name;
  std::string routing;
  std::string admission;
  bool plans_fleet = false; ///< Roles change, and reclaimable upstreams are used.
};

/// The project's own bundle first, then the baselines: fixed roles, on-demand upstreams only.
std::span<const policy_bundle> policy_bundles();

/// Runs the scenario. Fails if a policy is not registered.
result<run_metrics> run_simulation(const scenario& in, const policy_bundle& policy);

} // namespace nutmegspur::load
