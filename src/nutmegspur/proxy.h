/// \file proxy.h
/// The command `nutmegspur proxy`: the daemon of an entry instance that routes requests by host and
/// path on a platform. An adapter (`wire_binding`) translates the platform's wire format.
#pragma once

#include "entry.h"

#include <span>
#include <string>

namespace nutmegspur {

/// Runs until a graceful shutdown (SIGTERM or SIGINT) is complete. `args` excludes the word
/// `proxy`.
exit_status run_proxy(std::span<const std::string> args);

} // namespace nutmegspur
