/// \file drive_mode.h
/// Drives a scenario's requests at real processes over HTTP, in real time: open loop, so that a
/// slow system is offered no less.
#pragma once

#include "measures.h"
#include "scenario.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace nutmegspur::load {

/// Where and how to drive.
struct drive_options {
  std::vector<std::string> urls; ///< Of entry instances, "http://127.0.0.1:8080"; used in turn.
  std::string model;
  std::string key;                         ///< For teams that have none of their own.
  std::map<std::string, std::string> keys; ///< By team.
  double seconds = 0;                      ///< Cuts the scenario short; 0 runs all of it.
};

/// Runs on the calling thread's event loop until every request has ended or its deadline is long
/// past.
run_metrics run_drive(scenario in, const drive_options& options);

} // namespace nutmegspur::load
