/// \file ctl.h
/// The `ctl` command: the operators' client.
#pragma once

#include <span>
#include <string>

namespace nutmegspur {

/// Exit statuses of `ctl`.
enum class ctl_status {
  ok = 0,
  refused = 1,    ///< The server refused the call.
  usage = 2,      ///< The command line or a file is wrong.
  unreachable = 3 ///< No answer; what became of a change is not known.
};

/// Runs one command of the operators' client. `args` excludes the command's own name.
int run_ctl(std::span<const std::string> args);

} // namespace nutmegspur
