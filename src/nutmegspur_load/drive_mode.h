/// \file drive_mode.h
/// Sends a scenario's requests to running instances over HTTP, in real time.
///
/// The load is open loop: requests are sent at their planned times even if the system is slow.
#pragma once

#include "measures.h"
#include "scenario.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace nutmegspur::load {

/// Target and credentials of a run over HTTP.
struct drive_options {
  std::vector<std::string> urls; ///< Of entry instances, as "http://127.0.0.1:8080"; used in turn.
  std::string model;
  std::string key;                         ///< API key of teams that are not in `keys`.
  std::map<std::string, std::string> keys; ///< API keys by team.
  double seconds = 0;                      ///< Limit of the scenario's duration; 0 runs all of it.
};

/// Runs an event loop on the calling thread until every request has ended; a request is aborted
/// 2 s after its deadline. The policy of the result is "drive".
run_metrics run_drive(scenario in, const drive_options& options);

} // namespace nutmegspur::load
