/// \file upstream_crashes.h
/// Finds out whether attempts broke because an upstream's process ended, and counts that against
/// what it worked on.
#pragma once

#include "call_set.h"
#include "proxy_state.h"
#include "upstream_paths.h"

#include <nutmegspur/crash_watch.h>

namespace nutmegspur::proxy {

class upstream_crashes {
 public:
  /// Checks go through `client`; one whose connections requests do not use up.
  upstream_crashes(proxy_state& state, http1::http_client& client, upstream_paths& paths);

  /// An attempt with these suspects broke at `upstream`. Asks the upstream whether it runs, unless
  /// that is known.
  void on_attempt_broken(const listed_upstream& upstream, const crash_suspects& suspects);

 private:
  void check(const listed_upstream& upstream, int checks_left);
  void on_check_end(const listed_upstream& upstream, const call_outcome& outcome, int checks_left);
  void record_crash(const listed_upstream& upstream, const crash_suspects& suspects);

  proxy_state& state_;
  upstream_paths& paths_;
  call_set checks_;
  crash_watch watch_;
};

} // namespace nutmegspur::proxy
