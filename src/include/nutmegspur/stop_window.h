/// \file stop_window.h
/// Which requests an instance still takes after it was told to stop, so that what it has taken is
/// answered before its process ends, and what it does not take is refused at once, not run.
#pragma once

#include <nutmegspur/clock.h>

namespace nutmegspur {

/// The times of a stop, fixed when it begins: later settings do not move them. Only `end` is moved,
/// forward to the moment at which all work has ended.
struct stop_window {
  time_point begun{}; ///< When the instance was told to stop.
  /// No work is done later; what is left gets its final response here, and the process ends.
  time_point end{};
  milliseconds limit{0}; ///< From the signal to the moment at which the platform kills the process.
};

/// Time for which a load balancer may send work after the signal, because it has not noticed yet.
/// It removes an instance after two failed probes, one second apart.
inline constexpr milliseconds balancer_notice{2'600};
/// Time that a request may be on its way from the balancer to its first byte here.
inline constexpr milliseconds transfer_allowance{100};
/// Time to write the response of a request that was answered at its deadline.
inline constexpr milliseconds response_allowance{100};

/// The window of a stop that begins now. `exit_margin`: time at the end of `limit` that the exit
/// itself takes.
[[nodiscard]] stop_window begin_stop(const moment& now, milliseconds limit,
                                     milliseconds exit_margin);

/// A request with nothing sent to an upstream that may have run.
struct unstarted_request {
  time_point first_byte_at{}; ///< When its first byte arrived.
  time_point deadline{};      ///< It is answered by then, whatever happens: an error at the latest.
};

/// Whether an attempt at `request` may start now: it is complete before the end even if it takes
/// until its deadline; or the request came while the balancer could not know of the stop, and at
/// least half of the limit is left for it.
[[nodiscard]] bool may_start(const stop_window& stop, const moment& now,
                             const unstarted_request& request);

} // namespace nutmegspur
