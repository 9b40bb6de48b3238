/// \file upstream_availability.h
/// When a service's upstreams may be used again, for callers that are refused because none of them
/// may be now.
#pragma once

#include <nutmegspur/clock.h>

#include <optional>
#include <vector>

namespace nutmegspur {

/// What keeps requests from one upstream, as time that is left; zero where nothing does. An
/// upstream that will not serve requests of this kind again has none.
struct upstream_wait {
  /// Its circuit breaker admits no request. How long that lasts says nothing of the upstream: other
  /// instances have breakers of their own, and the list may show at any time that it was restarted.
  bool breaker_open = false;
  /// Until it is expected to take requests again; empty if that is not known.
  std::optional<milliseconds> withheld = milliseconds{0};
  milliseconds pause{0};  ///< Until the pause that it asked for ends.
  milliseconds permit{0}; ///< Until its keeper may be asked for a permit.
};

/// Returns the time until the first of `upstreams` may be used; all that keeps requests from it
/// must have ended. What is of unknown length counts as `unknown`, and so do an upstream that
/// nothing known keeps requests from and no upstreams at all.
[[nodiscard]] milliseconds first_availability(const std::vector<upstream_wait>& upstreams,
                                              milliseconds unknown);

} // namespace nutmegspur
