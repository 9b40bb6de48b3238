/// \file entry.h
/// The `entry` command: the daemon of one entry instance.
#pragma once

#include <span>
#include <string>

namespace nutmegspur {

/// Exit statuses of the program.
enum class exit_status { ok = 0, failed = 1, usage = 2 };

/// Runs until a graceful stop (SIGTERM or SIGINT) is done. `args` excludes the command's name.
exit_status run_entry(std::span<const std::string> args);

} // namespace nutmegspur
