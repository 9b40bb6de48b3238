/// \file ctl.h
/// The command `nutmegspur ctl`: the operators' command-line client.
#pragma once

#include <span>
#include <string>

namespace nutmegspur {

/// Exit statuses of `ctl`.
enum class ctl_status {
  ok = 0,
  refused = 1,    ///< The server rejected the call.
  usage = 2,      ///< Invalid command line or input file.
  unreachable = 3 ///< No response; whether a change was made is unknown.
};

/// Runs one client command and returns its exit status. `args` excludes the word `ctl`.
int run_ctl(std::span<const std::string> args);

} // namespace nutmegspur
