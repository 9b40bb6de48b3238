// The times of a stop, and the requests that fit into it.
#include <nutmegspur/mechanisms.h>
#include <nutmegspur/stop_window.h>

namespace nutmegspur {

stop_window
begin_stop(const moment& now, milliseconds limit, milliseconds exit_margin) {
  return {now.boot, now.boot + limit - exit_margin, limit};
}

bool
may_start(const stop_window& stop, const moment& now, const unstarted_request& request) {
  if (!enabled(mechanism::stop_window_check) || request.deadline + response_allowance <= stop.end) {
    return true;
  }
  const bool unnoticed = request.first_byte_at <= stop.begun + balancer_notice + transfer_allowance;
  return unnoticed && stop.end - now.boot >= stop.limit / 2;
}

} // namespace nutmegspur
