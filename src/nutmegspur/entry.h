/// \file entry.h
/// The command `nutmegspur entry`: the daemon of an entry instance that serves callers directly.
#pragma once

#include <span>
#include <string>

namespace nutmegspur {

/// Exit statuses of the program.
enum class exit_status { ok = 0, failed = 1, usage = 2 };

/// Runs until a graceful shutdown (SIGTERM or SIGINT) is complete. `args` excludes the word
/// `entry`.
exit_status run_entry(std::span<const std::string> args);

} // namespace nutmegspur
