/// \file model_world.h
/// Simulates a scenario in one process on a manual clock: the real request tables, policies and
/// fleet planners of all entry instances run against the timing model of the engines.
///
/// Besides the engines only delays between zones, delayed reports and the scenario's faults are
/// simulated. The same scenario and policies give the same metrics on every run.
#pragma once

#include "measures.h"
#include "scenario.h"

#include <span>
#include <string>

namespace nutmegspur::load {

/// Policies that are simulated together.
struct policy_bundle {
  std::string name;
  std::string routing;
  std::string admission;
  bool plans_fleet = false; ///< Changes roles and uses reclaimable upstreams.
};

/// Returns the project's own bundle, then the baselines, which have fixed roles and only on-demand
/// upstreams.
std::span<const policy_bundle> policy_bundles();

/// Simulates the scenario. Fails if a policy is not registered.
result<run_metrics> run_simulation(const scenario& in, const policy_bundle& policy);

} // namespace nutmegspur::load
