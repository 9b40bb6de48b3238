/// \file proxy.h
/// The command `nutmegspur proxy`: an entry instance that routes by host and path on a platform
/// whose wire format an adapter speaks.
#pragma once

#include "entry.h"

#include <span>
#include <string>

namespace nutmegspur {

exit_status run_proxy(std::span<const std::string> args);

} // namespace nutmegspur
